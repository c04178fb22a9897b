#include "config/config.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstdlib>

using namespace sedgechute;

namespace {

constexpr std::string_view salt = "00112233445566778899aabbccddeeff";

[[nodiscard]] document_record fleet_record(const std::string& id, document_revision replaces,
                                           const std::string& pool = "lm") {
  document_record record;
  record.record_id = id;
  record.kind = document_kind::fleet;
  record.name = std::string{fleet_document_name};
  record.replaces = replaces;
  record.body = R"({"schema":1,"data_centres":[],"share_total":1000,"pools":[{"name":")" + pool +
                R"(","kind":"engine","models":[{"name":"m"}]}]})";
  return record;
}

[[nodiscard]] std::string bearer_of(const std::string& team) {
  constexpr std::array<std::uint8_t, 4> secret{1, 2, 3, 4};
  return make_bearer_key(team + "key", secret);
}

[[nodiscard]] contract sample_contract(const std::string& team, std::int64_t tokens) {
  contract agreed;
  agreed.team = team_id{team};
  agreed.top_ups = {{"first", tokens}};
  agreed.keys = {hash_bearer_key(bearer_of(team), salt)};
  agreed.classes = {{"chat"}};
  agreed.default_class = "chat";
  agreed.pools = {pool_id{"lm"}};
  return agreed;
}

[[nodiscard]] document_record contract_record(const std::string& id, document_revision replaces,
                                              const contract& agreed) {
  document_record record;
  record.record_id = id;
  record.name = agreed.team.str();
  record.replaces = replaces;
  record.body = to_text(contract_table().write(agreed));
  return record;
}

} // namespace

TEST_CASE("a bearer key is known by its hash and by nothing less") {
  const std::string bearer = bearer_of("wearers");
  const hashed_key key = hash_bearer_key(bearer, salt);
  CHECK(key.id == "wearerskey");
  CHECK(matches(bearer, key));
  CHECK_FALSE(matches(bearer + "0", key));
  CHECK_FALSE(matches("sk-wearerskey-", key));
  CHECK(key_id_of("sk-a-b-c") == std::string_view{"a"});
  for (const char* bad : {"", "sk-", "sk-a", "sk--b", "sk-a-", "xx-a-b"})
    CHECK_FALSE(key_id_of(bad));
  CHECK_THROWS_AS(static_cast<void>(hash_bearer_key("no key", salt)), error);
}

// Two operators top up the same team at the same time. Had the later one won silently, the
// customer's first purchase would vanish from the budget with nobody told.
TEST_CASE("of two records that replace the same revision the first wins and the other conflicts") {
  document_store store;
  store.apply(5, fleet_record("f", 0), {});
  const auto first = store.apply(6, contract_record("a", 0, sample_contract("t", 100)), {});
  CHECK(first.outcome.verdict == publish_verdict::in_force);
  REQUIRE(first.agreed != nullptr);
  CHECK(first.agreed->revision == 6);
  const auto second = store.apply(9, contract_record("b", 0, sample_contract("t", 999)), {});
  CHECK(second.outcome.verdict == publish_verdict::conflict);
  CHECK(second.outcome.replaces == 0);
  CHECK(second.outcome.current == 6);
  CHECK(bought_tokens(store.contract_of(team_id{"t"})->value) == 100);
}

// A publish took effect but its answer was lost, so the operator repeats it after a colleague has
// already published the next revision. Run as a new publish, the repeat would be a conflict that
// says nothing about the first.
TEST_CASE("a repeated record gets the answer of its first copy and changes nothing") {
  document_store store;
  store.apply(5, fleet_record("f", 0), {});
  const auto record = contract_record("a", 0, sample_contract("t", 100));
  store.apply(6, record, {});
  store.apply(7, contract_record("b", 6, sample_contract("t", 200)), {});
  const auto repeat = store.apply(8, record, {});
  CHECK(repeat.repeated);
  CHECK(repeat.outcome.verdict == publish_verdict::in_force);
  CHECK(repeat.outcome.offset == 6);
  CHECK(store.revision_of(document_kind::contract, "t") == 7);
}

// A record was void when it came. A copy of it turns up days later, when its outcome is no longer
// remembered and what kept it from taking effect is gone: an operator would see a change in force
// that was refused and that nobody wants any more.
TEST_CASE("a copy of a record that comes after its outcome is forgotten is void") {
  document_store store{2};
  auto late = fleet_record("late", 0);
  late.name = "flet";
  store.apply(1, late, {});
  for (std::uint64_t offset = 2; offset < 5; ++offset) {
    auto other = fleet_record("o" + std::to_string(offset), 7);
    other.based_on = offset - 1;
    store.apply(offset, other, {});
  }
  late.name = "fleet";
  CHECK(store.apply(9, late, {}).outcome.verdict == publish_verdict::expired);
  CHECK(store.fleet() == nullptr);
}

TEST_CASE("a budget below what is committed, an unknown pool or shares too great are void") {
  document_store store;
  store.apply(5, fleet_record("f", 0), {});
  const auto committed = [](const team_id&) { return std::int64_t{150}; };
  const auto low = store.apply(6, contract_record("a", 0, sample_contract("t", 100)), committed);
  CHECK(low.outcome.verdict == publish_verdict::invalid);
  CHECK(low.outcome.reason.find("150 are spent") != std::string::npos);
  contract wrong_pool = sample_contract("t", 200);
  wrong_pool.pools = {pool_id{"ln"}};
  const auto pool = store.apply(7, contract_record("b", 0, wrong_pool), committed);
  CHECK(pool.outcome.reason.find("did you mean \"lm\"") != std::string::npos);
  contract greedy = sample_contract("t", 200);
  greedy.share = 1001;
  const auto share = store.apply(8, contract_record("c", 0, greedy), committed);
  CHECK(share.outcome.verdict == publish_verdict::invalid);
  const auto good = store.apply(9, contract_record("d", 0, sample_contract("t", 200)), committed);
  CHECK(good.outcome.verdict == publish_verdict::in_force);
  const auto removed = store.apply(10, fleet_record("g", 5, "other"), committed);
  CHECK(removed.outcome.verdict == publish_verdict::invalid);
  CHECK(removed.outcome.reason.find("no longer fit") != std::string::npos);
}

TEST_CASE("a key id of another team is void, and keys rotate with overlap") {
  document_store store;
  store.apply(1, fleet_record("f", 0), {});
  store.apply(2, contract_record("a", 0, sample_contract("t", 10)), {});
  contract thief = sample_contract("u", 10);
  thief.keys = {hash_bearer_key(bearer_of("t"), salt)};
  CHECK(store.apply(3, contract_record("b", 0, thief), {}).outcome.verdict ==
        publish_verdict::invalid);
  contract rotated = sample_contract("t", 10);
  rotated.keys.push_back(hash_bearer_key(bearer_of("t2"), salt));
  store.apply(4, contract_record("c", 2, rotated), {});
  REQUIRE(store.authenticate(bearer_of("t")) != nullptr);
  CHECK(store.authenticate(bearer_of("t2"))->value.team == team_id{"t"});
  rotated.keys.erase(rotated.keys.begin());
  store.apply(5, contract_record("d", 4, rotated), {});
  CHECK(store.authenticate(bearer_of("t")) == nullptr);
  CHECK(store.authenticate(bearer_of("t2")) != nullptr);
  CHECK(store.authenticate("sk-t2key-00") == nullptr);
}

// During a rolling update one host still runs the older program when an operator publishes a
// document of the next schema. Were it void there, that host would go on under the old limits.
TEST_CASE("a host that can't read a newer schema says so") {
  document_store store;
  auto newer = fleet_record("f", 0);
  newer.body.replace(newer.body.find(":1"), 2, ":2");
  CHECK(store.apply(1, newer, {}).outcome.verdict == publish_verdict::unreadable);
  CHECK(store.needs_newer_program());
}

TEST_CASE("requests in flight keep the contract that admitted them") {
  document_store store;
  store.apply(1, fleet_record("f", 0), {});
  store.apply(2, contract_record("a", 0, sample_contract("t", 10)), {});
  const contract_ptr admitted = store.contract_of(team_id{"t"});
  store.apply(3, contract_record("b", 2, sample_contract("t", 20)), {});
  CHECK(admitted->revision == 2);
  CHECK(bought_tokens(admitted->value) == 10);
  CHECK(store.contract_of(team_id{"t"})->revision == 3);
}

TEST_CASE("a damaged checkpoint, or one older than the host's own state, is refused") {
  document_store store;
  store.apply(1, fleet_record("f", 0), {});
  const auto older = store.snapshot();
  store.apply(2, contract_record("a", 0, sample_contract("t", 10)), {});
  auto damaged = store.snapshot();
  CHECK_THROWS_AS(store.restore(older), error);
  damaged.contracts.front().revision = 3;
  document_store fresh;
  CHECK_THROWS_AS(fresh.restore(damaged), error);
  CHECK(fresh.last_offset() == 0);
  fresh.restore(store.snapshot());
  CHECK(fresh.digest() == store.digest());
  CHECK(fresh.authenticate(bearer_of("t")) != nullptr);
}

// A damaged checkpoint names a text of four billion bytes. A reader that trusts the length takes
// the host's memory before it notices, and every host of the fleet starts from that checkpoint.
TEST_CASE("damaged packed contracts are refused before anything is set aside for them") {
  const std::string packed = pack_identity(sample_contract("t", 10));
  contract read;
  for (std::size_t length = 0; length < packed.size(); ++length)
    CHECK_THROWS_AS(unpack_identity(std::string_view{packed}.substr(0, length), read), error);
  CHECK_THROWS_AS(unpack_identity("\xff\xff\xff\xff\x0f", read), error);
  unpack_identity(packed, read);
  CHECK(read.team == team_id{"t"});
}
