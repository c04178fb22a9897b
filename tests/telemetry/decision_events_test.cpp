#include "telemetry/telemetry.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace sedgechute;

namespace {

decision about(decision_kind kind, const std::string& request, std::int64_t at) {
  return {.kind = kind, .at = time_ms{at}, .request = request, .team = "lens"};
}

} // namespace

TEST_CASE("decisions are found by request, in order, and the oldest are forgotten") {
  decision_events events{3, 1000};
  for (int i = 0; i < 5; ++i)
    events.record(about(decision_kind::refused, "r" + std::to_string(i), i));
  events.record(about(decision_kind::admitted, "r4", 9));
  CHECK(events.find({}).size() == 4);
  CHECK(events.find({.request = "r0"}).empty());
  const auto story = events.find({.request = "r4"});
  REQUIRE(story.size() == 2);
  CHECK(story[0].kind == decision_kind::refused);
  CHECK(story[1].kind == decision_kind::admitted);
  CHECK(events.find({.after = story[0].sequence}).size() == 1);
}

// Ten thousand requests a second come. What an operator looks for is the one refusal among them;
// kept in one ring with the routine, it would be overwritten within a second.
TEST_CASE("under load routine decisions are sampled by request and refusals are all kept") {
  decision_events events{100'000, 100};
  std::uint64_t offered = 0;
  for (std::int64_t second = 0; second < 12; ++second) {
    for (int i = 0; i < 1000; ++i) {
      const std::string request = std::to_string(second) + "-" + std::to_string(i);
      events.record(about(decision_kind::admitted, request, second * 1000));
      events.record(about(decision_kind::answered, request, second * 1000));
      offered += 2;
    }
    events.record(about(decision_kind::refused, "refused", second * 1000));
  }
  CHECK(events.find({.request = "refused"}).size() == 12);
  std::multiset<std::string> requests;
  std::uint64_t kept = 0;
  for (const decision& one : events.find({.most = 1'000'000}))
    if (is_routine(one.kind)) {
      requests.insert(one.request);
      ++kept;
    }
  for (const std::string& request : requests)
    CHECK(requests.count(request) == 2);
  CHECK(kept + events.sampled_out() == offered);
  CHECK(kept < offered / 2);
}

TEST_CASE("a decision is one JSON object without empty members") {
  const decision chosen{.kind = decision_kind::endpoint_chosen,
                        .at = time_ms{5},
                        .request = "r",
                        .reason = "least \"wait\"",
                        .sequence = 3};
  CHECK(to_json(chosen) == R"({"seq":3,"at_ms":5,"kind":"endpoint_chosen","request_id":"r",)"
                           R"("reason":"least \"wait\"","amount":0,"stands_for":1})");
}
