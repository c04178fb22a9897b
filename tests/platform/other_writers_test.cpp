// Records that other programs left in the store's topics, among the expected ones.

#include "platform/platform.hpp"
#include "standin/standin.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace sedgechute;

namespace {

constexpr time_ms timeout{500};

struct fixture {
  standin::topic_store store{standin::topic_store_options{}};

  [[nodiscard]] std::string address() { return store.server().address().toString(); }
};

std::string endpoint_at(const std::string& address) {
  return R"({"Service":"s","Address":")" + address +
         R"(","Zone":"z","Version":"v1","Slots":8,"State":"ready","ColdRemainingMs":0,"Sequence":1})";
}

} // namespace

TEST_CASE("configurations and endpoints are found, and unreadable ones are named") {
  fixture at;
  at.store.put("keyed.op", "config", R"({"Version":3,"Routes":[],"Services":[]})");
  at.store.put("keyed.op", "other", "ignored");
  at.store.put("keyed.op", "config", R"({"Version":4,"Routes":{}})");
  at.store.put("keyed.servers", "i-1", endpoint_at("1.2.3.4:5"));
  at.store.put("keyed.servers", "i-2", "garbage");
  at.store.put("keyed.servers", "i-1", std::nullopt);
  fleet_topics topics{at.address(), timeout, timeout};
  const config_changes configs = topics.configs_from(0, time_ms{});
  REQUIRE(configs.versions.size() == 1);
  CHECK(configs.versions.back()->version == 3);
  REQUIRE(configs.faults.size() == 1);
  CHECK(configs.faults.front().key == "config");
  CHECK(configs.faults.front().why.find("Services") != std::string::npos);
  const endpoint_changes endpoints = topics.endpoints_from(0);
  REQUIRE(endpoints.changes.size() == 3);
  CHECK(endpoints.changes[0].entry.has_value());
  CHECK_FALSE(endpoints.changes[1].entry.has_value());
  CHECK(endpoints.changes[1].id.str() == "i-2");
  CHECK_FALSE(endpoints.changes[1].fault.empty());
  CHECK_FALSE(endpoints.changes[2].entry.has_value());
  CHECK(endpoints.changes[2].fault.empty());
}

// Another program writes an entry under a key that is not text. The store returns all newest
// entries on one page, so a host that starts would find no endpoints or no other hosts.
TEST_CASE("an entry with invalid bytes does not affect the others on its page") {
  fixture at;
  const std::vector<std::string> keys{"\xff\xfe", "\xed\xa0\x80", std::string("\0", 1),    "",
                                      "i \n",     "\"}]}",        std::string(255, '\x80')};
  for (const std::string& key : keys) {
    at.store.put("keyed.servers", key, "\xff\xfe\x00garbage");
    at.store.put("keyed.hosts", key, "\xff\xfe\x00garbage");
    at.store.put("keyed.accounts", key, "\xff\xfe\x00garbage");
  }
  at.store.put("keyed.servers", "i-1", endpoint_at("1.2.3.4:5"));
  at.store.put("keyed.hosts", "h1", "10.0.0.1:7 dc");
  at.store.put("keyed.accounts", account_key("team", "h1"), encode_account({1, 500, 20, 3}));
  fleet_topics topics{at.address(), timeout, timeout};
  const auto is_good = [](const endpoint_change& one) { return one.entry.has_value(); };
  for (const endpoint_changes& page : {topics.newest_endpoints(), topics.endpoints_from(0)}) {
    CHECK(std::count_if(page.changes.begin(), page.changes.end(), is_good) == 1);
    CHECK(page.changes.size() > keys.size() / 2); // the store may report some of them as one
  }
  host_topic hosts{at.address(), timeout};
  REQUIRE(hosts.hosts().hosts.size() == 1);
  CHECK(hosts.hosts().hosts.front() == host_entry{"h1", "10.0.0.1:7", "dc"});
  account_topic accounts{at.address(), timeout, 0};
  for (const account_page& page : {accounts.newest(), accounts.read(0)}) {
    REQUIRE(page.records.size() == 1);
    CHECK(page.records.front().host == "h1");
    CHECK_FALSE(page.faults.empty());
  }
}

// Entries are truncated at each possible byte, as by a writer that stops in the middle of one.
TEST_CASE("truncated entries do not affect the others") {
  fixture at;
  at.store.put("keyed.servers", "i-1", endpoint_at("1.2.3.4:5"));
  const std::string cut = endpoint_at("1.2.3.4:6");
  for (std::size_t length = 1; length < cut.size(); ++length)
    at.store.put("keyed.servers", "i-" + std::to_string(length + 1), cut.substr(0, length));
  at.store.put("keyed.servers", "i-last", endpoint_at("1.2.3.4:7"));
  fleet_topics topics{at.address(), timeout, timeout};
  const endpoint_changes page = topics.newest_endpoints();
  const auto is_good = [](const endpoint_change& one) { return one.entry.has_value(); };
  CHECK(std::count_if(page.changes.begin(), page.changes.end(), is_good) == 2);
  CHECK(page.changes.size() == cut.size() + 1);
}

// One host entry has no address, or a host name instead. If it made the others unreadable, hosts
// would no longer find each other and could not lend tokens.
TEST_CASE("an unreadable entry names no host and does not affect the others") {
  fixture at;
  at.store.put("keyed.hosts", "h1", "10.0.0.1:7 dc");
  for (const char* value : {"", " ", "garbage", "10.0.0.2:7", "10.0.0.2:7 ", "10.0.0.2 dc",
                            "host.example:7 dc", "10.0.0.2:0 dc", " dc", "10.0.0.2:7 d\nc"})
    CHECK_THROWS_AS((void)parse_host_record("h2", value), error);
  for (const char* name : {"", "h\n2", "\t"})
    CHECK_THROWS_AS((void)parse_host_record(name, "10.0.0.2:7 dc"), error);
  host_topic topic{at.address(), timeout};
  topic.announce({"h2", "10.0.0.2:7", "dc two"});
  CHECK(topic.hosts().hosts.size() == 2);
  at.store.put("keyed.hosts", "h2", "garbage");
  host_listing listing = topic.hosts();
  REQUIRE(listing.hosts.size() == 1);
  CHECK(listing.hosts.front().name == "h1");
  REQUIRE(listing.faults.size() == 1);
  CHECK(listing.faults.front().key == "h2");
  topic.announce({"h2", "10.0.0.2:7", "dc two"});
  listing = topic.hosts();
  CHECK(listing.hosts.size() == 2);
  CHECK(listing.faults.empty());
}

// One record among the accounts is unreadable. The whole log would count as unavailable, on all
// hosts and for all teams, until the record was removed.
TEST_CASE("an invalid account is reported, and the others are read") {
  fixture at;
  account_topic topic{at.address(), timeout, 0};
  const account_record good{"team", "h1", {1, 500, 20, 3}};
  REQUIRE(topic.append_at(0, {good}) == 1);
  const std::string key = account_key("team", "h2");
  const std::string huge = std::to_string(~std::uint64_t{0});
  const std::vector<std::string> values{"",
                                        "garbage",
                                        "1 2 3",
                                        "1 500 20 3 4 5 6 7 8 9 2",
                                        "1 -5 20 3",
                                        "1 " + huge + " 0 0",
                                        "1 5 " + huge + " 0 0 0 0 0 0 0 0",
                                        "1 5 2 3 extra",
                                        "1 5 2 3 4 5 6 " + huge + " 8 9 0",
                                        "1.5 5 2 3"};
  for (const std::string& value : values) {
    INFO(value);
    CHECK_FALSE(decode_account(key, value));
  }
  CHECK_FALSE(decode_account("no-host", encode_account(good.value)));
  CHECK_FALSE(decode_account("\nh", encode_account(good.value)));
  CHECK_FALSE(decode_account("t\n", encode_account(good.value)));
  CHECK_FALSE(decode_account("t\nh\nx", encode_account(good.value)));
  at.store.put("keyed.accounts", key, "garbage");
  at.store.put("keyed.accounts", account_key("team", "h3"), std::nullopt);
  const account_page page = topic.read(0);
  REQUIRE(page.records.size() == 1);
  CHECK(page.records.front() == good);
  REQUIRE(page.faults.size() == 2);
  CHECK(page.faults[0].key == key);
  CHECK(page.end == 3);
}

TEST_CASE("a recorded budget is read beside the accounts") {
  fixture at;
  account_topic topic{at.address(), timeout, 0};
  const account_record account{"team", "h1", {1, 500, 20, 3}};
  const account_record recording{"team", "h2", {1, 500, 20, 3}, 9000};
  REQUIRE(topic.append_at(0, {account, recording}) == 3);
  for (const account_page& page : {topic.newest(), topic.read(0), topic.retained()}) {
    CHECK(page.records.size() == 2);
    REQUIRE(page.budgets.size() == 1);
    CHECK(page.budgets.front() == budget_record{"team", 9000});
    CHECK(page.faults.empty());
  }
  at.store.put("keyed.accounts", budget_key("team"), "garbage");
  const account_page page = topic.newest();
  CHECK(page.budgets.empty());
  REQUIRE(page.faults.size() == 1);
  CHECK(read_budget_key(page.faults.front().key) == "team");
}

// The owner of an account writes it again after another program overwrote it; both records are on
// one page. If the later one were ignored, others would write the account anew.
TEST_CASE("an invalid account is marked as superseded by a later valid one") {
  fixture at;
  account_topic topic{at.address(), timeout, 0};
  const account_record good{"team", "h1", {1, 500, 20, 3}};
  at.store.put("keyed.accounts", account_key("team", "h1"), "garbage");
  at.store.put("keyed.accounts", account_key("team", "h2"), "garbage");
  REQUIRE(topic.append_at(2, {good}) == 3);
  const account_page page = topic.read(0);
  REQUIRE(page.faults.size() == 2);
  CHECK(page.faults[0].superseded);
  CHECK_FALSE(page.faults[1].superseded);
}
