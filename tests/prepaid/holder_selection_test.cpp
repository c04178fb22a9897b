#include "prepaid/prepaid.hpp"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace sedgechute;

namespace {

std::vector<std::string> hosts_named(int count) {
  std::vector<std::string> hosts;
  for (int i = 0; i < count; ++i)
    hosts.push_back("host-" + std::to_string(i));
  return hosts;
}

int holders_of(std::size_t partition, const std::vector<std::string>& centre) {
  int holders = 0;
  for (const std::string& host : centre)
    holders += holds_tokens_of(partition, host, centre) ? 1 : 0;
  return holders;
}

bool is_near(const std::string& host) {
  return host == "near";
}

} // namespace

TEST_CASE("in a small data centre every host holds tokens of every team") {
  CHECK(holders_of(0, hosts_named(1)) == 1);
  CHECK(holders_of(0, hosts_named(4)) == 4);
}

TEST_CASE("in a large data centre a few hosts hold a partition's tokens, and others another's") {
  const std::vector<std::string> centre = hosts_named(26);
  std::set<std::string> all;
  for (std::size_t partition = 0; partition < 4; ++partition) {
    CHECK(holders_of(partition, centre) == 2);
    for (const std::string& host : centre)
      if (holds_tokens_of(partition, host, centre))
        all.insert(host);
  }
  CHECK(all.size() > 5);
}

// A host leaves for good. Each of its partitions gets one other holder; all other holders stay.
TEST_CASE("when a host leaves only its own teams get another holder") {
  const std::vector<std::string> before = hosts_named(26);
  std::vector<std::string> after = before;
  after.pop_back();
  for (std::size_t partition = 0; partition < 24; ++partition)
    for (const std::string& host : after)
      if (holds_tokens_of(partition, host, before))
        CHECK(holds_tokens_of(partition, host, after));
}

TEST_CASE("all hosts find a team's accounts in the same partition, and teams in different ones") {
  std::set<std::size_t> seen;
  for (int team = 0; team < 24; ++team) {
    const std::size_t partition = account_partition("team-" + std::to_string(team), 4);
    CHECK(partition < 4);
    seen.insert(partition);
  }
  CHECK(seen.size() == 4);
}

// All hosts read the same accounts. If each asked the host that holds most, all would ask that one
// at once and none the others.
TEST_CASE("hosts that hold much and near ones are asked first more often, but not always") {
  random_source random{7};
  std::map<std::string, int> first;
  constexpr int rounds = 4000;
  for (int i = 0; i < rounds; ++i)
    ++first[borrowing_order({{"far", 1000}, {"near", 1000}, {"little", 100}, {"none", 0}}, is_near,
                            random)
                .front()
                .host];
  CHECK(first["near"] > 2 * first["far"]);
  CHECK(first["far"] > 2 * first["little"]);
  CHECK(first["little"] > 0);
  CHECK(first["none"] < rounds / 100);
}

TEST_CASE("the borrowing order contains every holder") {
  random_source random{7};
  const auto order = borrowing_order({{"a", 5}, {"near", 7}, {"b", 9}}, is_near, random);
  REQUIRE(order.size() == 3);
  std::set<std::string> hosts;
  for (const token_holder& holder : order)
    hosts.insert(holder.host);
  CHECK(hosts.size() == 3);
  CHECK(borrowing_order({}, is_near, random).empty());
}
