#include "relay/relay.hpp"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

using namespace sedgechute;

namespace {

constexpr std::size_t most = 48;

/// A host that prepares one request per step.
class host_model {
 public:
  bool offer(const std::string& team) {
    if (exceeds_share(preparing_.load(team), most))
      return false;
    taken_.push_back(preparing_.begin(team));
    return true;
  }
  void prepare_one() {
    if (!taken_.empty())
      taken_.erase(taken_.begin());
  }
  [[nodiscard]] std::size_t waiting() const { return preparing_.total(); }

 private:
  preparing_requests preparing_;
  std::vector<preparing_requests::guard> taken_;
};

} // namespace

// One team's callers send 7.5 times what a host of 0.12 of a core can handle. Accepted requests
// must not wait for seconds, and the few requests of other teams must not be refused.
TEST_CASE("a team with many requests is limited to its share and locks out no other team") {
  host_model host;
  int hot = 0;
  int others = 0;
  for (int step = 0; step < 1000; ++step) {
    for (int i = 0; i < 7; ++i)
      hot += host.offer("hot") ? 1 : 0;
    if (step % 4 == 0)
      others += host.offer("team-" + std::to_string(step % 3)) ? 1 : 0;
    host.prepare_one();
    CHECK(host.waiting() <= 2 * most);
  }
  CHECK(others == 250);
  CHECK(hot >= 700);
  CHECK(hot <= 900);
}

TEST_CASE("a host below its limit accepts requests of any team") {
  CHECK_FALSE(exceeds_share({.total = most - 1, .of_team = most - 1, .teams = 1}, most));
  CHECK(exceeds_share({.total = most, .of_team = most, .teams = 1}, most));
  CHECK_FALSE(exceeds_share({.total = most, .of_team = 3, .teams = 4}, most));
  CHECK(exceeds_share({.total = 2 * most, .of_team = 0, .teams = 4}, most));
}

TEST_CASE("the limit of a small host does not fall below a minimum") {
  CHECK(max_preparing(0.001) == 8);
  CHECK(max_preparing(0.12) == 48);
  CHECK(max_preparing(0.5) == 200);
}

TEST_CASE("a request counts for its team once that is known, and until it ends") {
  preparing_requests all;
  auto guard = all.begin("");
  CHECK(all.load("a").of_team == 0);
  guard.assign_team("a");
  CHECK(all.total() == 1);
  CHECK(all.load("a").of_team == 1);
  CHECK(all.load("a").teams == 1);
  CHECK(all.load("b").teams == 2);
  preparing_requests::guard moved{std::move(guard)};
  CHECK(all.total() == 1);
  moved.end();
  moved.end();
  CHECK(all.total() == 0);
}
