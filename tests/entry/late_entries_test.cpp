// A host as a process. Writes of an endpoint reach the store late, after later ones.

#include "entry/entry.hpp"
#include "entry_program.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <string>
#include <thread>

using namespace sedgechute;

namespace {

constexpr std::int64_t first_start = 1'790'000'000'000;
constexpr std::int64_t later_start = first_start + 60000;

/// \returns an endpoint's answer to a request, with the id that it was sent for
scripted_reply answer(const scripted_endpoint::seen_request& request) {
  return {whole_answer(attempt_of(request), "ok"), scripted_reply::then::keep, ""};
}

/// A host and two endpoints, of which one leaves.
class late_fixture {
 public:
  explicit late_fixture(const std::string& settings = R"("grace_s":4,"drain_bound_ms":1000)")
      : host_{settings} {
    host_.add_endpoint("stays", stays_.address());
    REQUIRE(host_.ready());
    // Until then it waits whether entries that are missing come back.
    std::this_thread::sleep_for(
        std::chrono::milliseconds{fleet_watch_options{}.lapse_grace.count()});
  }

  struct entry {
    std::uint64_t sequence{};
    bool draining{false};
    std::int64_t started{0}; ///< 0: not reported
  };

  void write(const entry& one) {
    host_.store().put(
        "keyed.servers", "leaves",
        R"({"Service":"s","Address":")" + leaves_.address() +
            R"(","Zone":"dc","Version":"v1","Slots":16,"State":")" +
            (one.draining ? "draining" : "ready") + R"(","ColdRemainingMs":0,)" +
            (one.started != 0 ? R"("born":)" + std::to_string(one.started) + "," : std::string{}) +
            R"("Sequence":)" + std::to_string(one.sequence) + "}");
  }
  void restart_host() {
    host_.restart();
    REQUIRE(host_.ready());
  }
  void remove() { host_.store().put("keyed.servers", "leaves", std::nullopt); }

  /// \returns how many of some requests the endpoint that leaves gets
  std::size_t sent(int requests = 40) {
    const std::size_t before = leaves_.seen().size();
    for (int i = 0; i < requests; ++i)
      CHECK(host_.ask("safe", "late-" + std::to_string(++asked_)).first == 200);
    return leaves_.seen().size() - before;
  }

  /// \brief Sends requests until the endpoint gets one or a time is over.
  bool gets_requests(time_ms most = time_ms{8000}) {
    const steady_clock time;
    for (const time_ms until = time.now() + most; time.now() < until;)
      if (sent(4) > 0)
        return true;
    return false;
  }

  /// \brief Waits until every change of the list has been read.
  static void pass_drain_bound() { std::this_thread::sleep_for(std::chrono::milliseconds{1000}); }

  [[nodiscard]] std::string metrics() const { return host_.look_at("/metrics").second; }
  [[nodiscard]] std::string log() const { return host_.output(); }

 private:
  scripted_endpoint leaves_{answer};
  scripted_endpoint stays_{answer};
  entry_program host_;
  int asked_{0};
};

/// \brief Plays writes of an endpoint that leaves and one that reaches the store late.
/// \param last  writes up to the one that says that it leaves
void check_stays_away(const std::function<void(late_fixture&)>& last,
                      const late_fixture::entry& late) {
  late_fixture at;
  last(at);
  late_fixture::pass_drain_bound();
  REQUIRE(at.sent() == 0);
  at.write(late);
  late_fixture::pass_drain_bound();
  CHECK(at.sent() == 0);
  CHECK(at.metrics().find(R"(sedgechute_outdated_entries_total{)") != std::string::npos);
  CHECK(at.log().find("entry_outdated") != std::string::npos);
}

void begin(late_fixture& at, std::uint64_t sequence, std::int64_t started = 0) {
  at.write({sequence, false, started});
  REQUIRE(at.gets_requests());
}

} // namespace

TEST_CASE("a late entry does not take back that its endpoint leaves") {
  const auto leave = [](late_fixture& at) {
    begin(at, 100);
    at.write({103, true});
  };
  check_stays_away(leave, {101});
  check_stays_away(leave, {102});
}

// Guards against judging only the last of the entries that are read together.
TEST_CASE("a late entry that is read together with the leaving does not take it back") {
  check_stays_away(
      [](late_fixture& at) {
        begin(at, 100);
        at.write({103, true});
        at.write({101});
      },
      {102});
}

TEST_CASE("a late entry does not bring back an endpoint whose entry was removed") {
  const auto leave = [](late_fixture& at) {
    begin(at, 100);
    at.remove();
  };
  check_stays_away(leave, {99});
  check_stays_away(leave, {100});
}

// Guards against a removal that is forgotten because an entry that is rejected came after it.
TEST_CASE("an endpoint whose removal is read together with a late entry gets no requests") {
  check_stays_away(
      [](late_fixture& at) {
        begin(at, 100);
        at.remove();
        at.write({99});
      },
      {98});
}

TEST_CASE("a late entry of an earlier start does not take back that its endpoint leaves") {
  check_stays_away(
      [](late_fixture& at) {
        begin(at, 90, first_start);
        at.write({101, false, later_start});
        at.write({103, true, later_start});
      },
      {91, false, first_start});
}

TEST_CASE("an endpoint that has started again after leaving gets requests") {
  late_fixture at;
  begin(at, 100, first_start);
  at.write({103, true, first_start});
  late_fixture::pass_drain_bound();
  REQUIRE(at.sent() == 0);
  at.write({1, false, later_start});
  CHECK(at.gets_requests());
}

TEST_CASE("an entry that expired while its endpoint was alive comes back with a higher number") {
  late_fixture at;
  begin(at, 100);
  at.remove();
  late_fixture::pass_drain_bound();
  at.write({103});
  CHECK(at.gets_requests());
}

// Guards against one number of another writer that shuts an endpoint out for good.
TEST_CASE("an endpoint whose entry got a far too high number is followed again") {
  late_fixture at{R"("grace_s":4,"drain_bound_ms":1000,"heartbeat_ms":100)"};
  begin(at, 100);
  at.write({std::uint64_t{1} << 53U, true});
  late_fixture::pass_drain_bound();
  REQUIRE(at.sent() == 0);
  at.write({101});
  CHECK(at.gets_requests());
  at.write({102, true});
  late_fixture::pass_drain_bound();
  CHECK(at.sent() == 0);
  CHECK(at.log().find("entry_adopted") != std::string::npos);
}

// A host that starts cannot know that the newest entry of the list is a late one.
TEST_CASE("a host that starts after a late entry follows the endpoint's next one") {
  late_fixture at;
  begin(at, 100);
  at.write({103, true});
  at.write({101});
  at.restart_host();
  at.write({104, true});
  late_fixture::pass_drain_bound();
  CHECK(at.sent() == 0);
}
