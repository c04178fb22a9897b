#include "claims/claims.hpp"
#include "claims/impl/claim_table.hpp"
#include "claims/impl/table_transfer.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::literals;

namespace {

incarnation host(std::uint64_t number) {
  return {host_id{"h" + std::to_string(number)}, number};
}

claim attempt(std::uint32_t number, request_state state, std::uint64_t entry = 1) {
  claim c;
  c.id = {team_id{"t"}, "order-17"};
  c.fingerprint = 7;
  c.attempt = number;
  c.entry = host(entry);
  c.ticket = number;
  c.state = state;
  return c;
}

claim_request request_by(std::uint64_t entry) {
  claim_request request;
  request.wanted = attempt(0, request_state::claimed, entry);
  request.wanted.ticket = 99;
  return request;
}

std::optional<claim_verdict> verdict_on(const std::optional<stored_claim>& stored) {
  decision_basis basis;
  basis.stored = stored;
  basis.is_live = [](const incarnation&) { return true; };
  return decide(request_by(5), basis);
}

} // namespace

// Holder and witness of a key are lost. An entry host reports its refused first attempt to the new
// holder, which doesn't know that a second attempt ran. A retry must not be granted.
TEST_CASE("a report of a refused attempt doesn't prove that no later attempt ran") {
  const report_step step = evaluate_report(attempt(1, request_state::refused), std::nullopt);
  REQUIRE(step.action == report_action::propose);
  CHECK(step.next.may_have_run);
  CHECK(verdict_on(stored_claim{step.next, std::nullopt}) == claim_verdict::unknown);

  const stored_claim first{attempt(1, request_state::abandoned), std::nullopt};
  const report_step later = evaluate_report(attempt(2, request_state::refused), first);
  REQUIRE(later.action == report_action::propose);
  CHECK(verdict_on(stored_claim{later.next, std::nullopt}) == claim_verdict::unknown);
}

// A witness takes over before it has the whole table. It has the refused first attempt but not the
// second one, which was granted later.
TEST_CASE("a holder that may lack claims grants no key because of an earlier refused attempt") {
  claim_pool pool;
  claim_table table{pool};
  table.merge(1_s, attempt(1, request_state::refused));
  CHECK(verdict_on(table.find(attempt(1, request_state::refused).id)) == claim_verdict::granted);
  table.assume_all_may_have_run();
  CHECK(verdict_on(table.find(attempt(1, request_state::refused).id)) == claim_verdict::unknown);
}

// Two concurrent epochs have both granted a third attempt. One was refused, the other ran.
// Whichever is kept, a retry must not be granted as if nothing had run.
TEST_CASE("merging two attempts of the same number keeps that one of them may have run") {
  const claim ran = attempt(3, request_state::answered, 1);
  const claim refused = attempt(3, request_state::refused, 2);
  for (const auto& [a, b] : {std::pair{ran, refused}, std::pair{refused, ran}}) {
    const claim kept = merge_forked(a, b);
    CHECK((kept.may_have_run || kept.state == request_state::answered));
    CHECK(merge_forked(kept, a) == merge_forked(merge_forked(kept, a), a));
  }
  const claim paused = attempt(2, request_state::claimed, 3);
  CHECK(merge_forked(paused, refused).unfinished == std::vector{host(3)});
}

// A transferred table has no texts of keys, but a retry with the text must find its claim.
TEST_CASE("a claim transferred without its key's text is found by the text") {
  const claim known = attempt(2, request_state::answered, 3);
  claim_pool pool;
  claim_table first{pool};
  first.merge(1_s, known);
  claim_table second{pool};
  for (const claim& handed_over : first.committed())
    second.merge(2_s, handed_over);
  CHECK(second.find(known.id)->committed == known);
  CHECK_FALSE(second.merge(3_s, attempt(1, request_state::answered)));
  second.sweep(
      1, [](const stored_key&, const packed_claim& packed) { return touched_at(packed) == 2_s; });
  CHECK_FALSE(second.find(known.id));
}

TEST_CASE("copies of a claim converge in any order of arrival") {
  const std::vector<claim> states{
      attempt(1, request_state::claimed), attempt(1, request_state::refused),
      attempt(2, request_state::claimed, 2), attempt(2, request_state::answered, 2)};
  std::vector<std::size_t> order{0, 1, 2, 3};
  do {
    claim_pool pool;
    claim_table table{pool};
    for (const std::size_t i : order)
      table.merge(1_s, states[i]);
    CHECK(table.find(states[0].id)->committed == states.back());
    CHECK(pool.claims == 1);
  } while (std::next_permutation(order.begin(), order.end()));
}

// A new holder has sent its empty table. It then receives a table of a lost epoch and sends again.
// A late copy of the first acknowledgement must not acknowledge the second transfer.
TEST_CASE("a late acknowledgement of an earlier transfer is ignored") {
  table_transfer second = start_transfer(2, {attempt(1, request_state::answered)});
  note_ack(second, {claim_shard{}, 5, 1, 0});
  CHECK_FALSE(is_finished(second));
  note_ack(second, {claim_shard{}, 5, 2, 0});
  CHECK(is_finished(second));
}

TEST_CASE("a table of several parts is complete when its last part has arrived, in any order") {
  std::vector<claim> claims;
  for (std::uint32_t i = 0; i < 2 * max_claims_per_part + 1; ++i)
    claims.push_back(attempt(i + 1, request_state::answered));
  table_transfer transfer = start_transfer(1, claims);
  transfer_rate_limiter unlimited{100000};
  unlimited.refill(1_s);
  std::vector<table_part> parts = due_parts(transfer, 1_s, 150_ms, claim_shard{}, 5, unlimited);
  REQUIRE(parts.size() == 3);
  CHECK(due_parts(transfer, 1_s, 150_ms, claim_shard{}, 5, unlimited).empty());
  arriving_table arriving;
  CHECK_FALSE(note_arrival(arriving, parts[2]));
  CHECK_FALSE(note_arrival(arriving, parts[0]));
  CHECK_FALSE(note_arrival(arriving, parts[0]));
  CHECK(note_arrival(arriving, parts[1]));
  for (const std::uint32_t part : {0U, 2U})
    note_ack(transfer, {claim_shard{}, 5, 1, part});
  CHECK(due_parts(transfer, 2_s, 150_ms, claim_shard{}, 5, unlimited).size() == 1);
  note_ack(transfer, {claim_shard{}, 5, 1, 1});
  CHECK(is_finished(transfer));
}

// After the loss of a host, the tables of its shards are sent to new witnesses. Without a rate
// limit they would saturate the network and delay requests.
TEST_CASE("a whole table is sent within the rate limit") {
  const std::vector<claim> claims(3 * max_claims_per_part, attempt(1, request_state::answered));
  table_transfer transfer = start_transfer(1, claims);
  transfer_rate_limiter allowance{static_cast<std::int64_t>(max_claims_per_part)};
  std::size_t sent = 0;
  for (time_ms now = 10_s; now < 14_s; now += 50_ms) {
    allowance.refill(now);
    for (const table_part& part : due_parts(transfer, now, 150_ms, claim_shard{}, 5, allowance)) {
      sent += part.claims.size();
      note_ack(transfer, {claim_shard{}, 5, 1, part.part});
      release_acknowledged(transfer);
    }
    const auto seconds = static_cast<std::size_t>((now - 10_s).count()) / 1000;
    CHECK(sent <= (seconds + 2) * max_claims_per_part);
  }
  CHECK(is_finished(transfer));
  CHECK(sent == claims.size());
  CHECK(transfer.parts.front().empty());
}

TEST_CASE("a delegation is valid only if it replaces the current epoch") {
  shard_map map{claims_options{}};
  const claim_shard shard{data_centre_id{"a"}, true, 0};
  CHECK(map.apply(1_s, 10, {1, claim_delegation{shard, 0, host(1), host(2), 0}}));
  CHECK_FALSE(map.apply(1_s, 11, {2, claim_delegation{shard, 0, host(3), host(4), 0}}));
  CHECK(map.apply(1_s, 12, {3, claim_delegation{shard, 10, host(2), host(3), 10}}));
  CHECK_FALSE(map.apply(1_s, 13, {3, claim_delegation{shard, 10, host(2), host(3), 10}}));
  CHECK(map.find(shard)->epoch == 12);
  CHECK(map.find(shard)->known_since == 10);
  CHECK_FALSE(map.has_unknown_claims(1_s, *map.find(shard)));
  CHECK(map.apply(2_s, 14, {4, claim_delegation{shard, 12, host(5), host(6), 0}}));
  CHECK(map.has_unknown_claims(2_s, *map.find(shard)));
  CHECK(map.find(shard)->lost.size() == 2);
}

TEST_CASE("a host lost twice must report for each epoch that it has stopped") {
  shard_map map{claims_options{}};
  const claim_shard shard{data_centre_id{"a"}, false, 0};
  CHECK(map.apply(1_s, 1, {1, claim_delegation{shard, 0, host(1), {}, 0}}));
  CHECK(map.apply(1_s, 2, {2, claim_delegation{shard, 1, host(2), {}, 0}}));
  map.note_stopped(1_s, shard, 2, host(1));
  CHECK(map.find(shard)->lost.empty());
  CHECK(map.apply(1_s, 3, {3, claim_delegation{shard, 2, host(1), {}, 0}}));
  CHECK(map.apply(1_s, 4, {4, claim_delegation{shard, 3, host(2), {}, 0}}));
  map.note_stopped(1_s, shard, 2, host(1));
  CHECK(map.find(shard)->lost.size() == 2);
}
