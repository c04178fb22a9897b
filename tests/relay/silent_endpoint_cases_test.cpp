// End-to-end tests of what may happen to a host, its endpoints and its callers while an endpoint
// is silent in the middle of a stream.

#include "pausing_endpoint.hpp"
#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace sedgechute;

namespace {

using then = scripted_reply::then;

constexpr time_ms longest_wait{5000};
constexpr time_ms deadline{20000}; // of the requests, so that no wait of a test comes near it
constexpr std::uint64_t prompt_tokens = 10;
constexpr std::uint64_t tokens_per_event = 5;
constexpr std::uint64_t whole_stream = prompt_tokens + 3 * tokens_per_event;
constexpr std::uint64_t first_event = prompt_tokens + tokens_per_event;

template <typename Predicate>
bool comes_true(const Predicate& is_so) {
  const steady_clock time;
  const time_ms until = time.now() + longest_wait;
  while (!is_so() && time.now() < until)
    std::this_thread::sleep_for(std::chrono::milliseconds{2});
  return is_so();
}

fixture_terms three_attempts() {
  return {.attempts = 3, .timeout = deadline};
}

double noted(relay_fixture& at, silence_decision decision) {
  return at.figures().counter_at(metric::silent_endpoints, {name_of(decision)}).Value();
}

/// \returns whether the host decides so on a silence, at the latest after some seconds
bool decides(relay_fixture& at, silence_decision decision) {
  return comes_true([&] { return noted(at, decision) > 0; });
}

/// \returns whether nothing of the requests is left, and the team has paid for them once
bool has_settled(relay_fixture& at, std::uint64_t tokens) {
  return at.has_open(0) && at.endpoints().own_use(false).empty() &&
         at.budgets().finish(longest_wait) && at.budgets().totals()["team-a"].used == tokens;
}

scripted_endpoint::script whole_streams() {
  return [](const auto& request) {
    return scripted_reply{stream_head(attempt_of(request)) + event_chunk(1), then::keep,
                          event_chunk(2) + event_chunk(3) + "0\r\n\r\n"};
  };
}

scripted_endpoint::script hanging() {
  return replies("", then::hang);
}

/// One caller whose stream has begun at a host's only endpoint, which is then silent. Others are
/// listed later.
class silent_stream {
 public:
  explicit silent_stream(const fixture_terms& terms = three_attempts())
      : host{terms.prepaid, {}, fixture_config(terms)} {}

  /// \returns a script whose replies are silent after their first bytes until `go_on`
  [[nodiscard]] scripted_endpoint::script until_go_on(scripted_endpoint::script first_bytes) {
    return [this, first_bytes = std::move(first_bytes)](const auto& request) {
      scripted_reply reply = first_bytes(request);
      reply.may_go_on = [this] { return goes_on_.load(); };
      return reply;
    };
  }
  /// \brief Adds an endpoint that is silent after the first event until `go_on`.
  scripted_endpoint& add_gated(const std::string& build = "") {
    return add(until_go_on(whole_streams()), "s", build);
  }
  scripted_endpoint& add(const scripted_endpoint::script& script, const std::string& service = "s",
                         const std::string& build = "") {
    endpoints_.push_back(std::make_unique<scripted_endpoint>(script));
    list(endpoints_.size() - 1, service, build);
    return *endpoints_.back();
  }
  void list(std::size_t endpoint, const std::string& service = "s", const std::string& build = "") {
    host.endpoints().put({id_of(endpoint), service, endpoints_[endpoint]->address(),
                          data_centre_id{"dc"}, 8, false, started, time_ms{0}, build});
  }

  /// \returns whether the caller receives the first event
  [[nodiscard]] bool begin(relay_fixture& at) {
    caller_ = std::make_unique<raw_caller>(at.address());
    caller_->send(stream_request("a", deadline, "Connection: close\r\n"));
    return comes_true([this] {
      answer_ += caller_->read_all(time_ms{10}, time_ms{100});
      return answer_.find("id: 1\n") != std::string::npos;
    });
  }
  [[nodiscard]] bool begin() { return begin(host); }
  void go_on() { goes_on_ = true; }
  /// \returns the answer, once the host has closed the connection
  [[nodiscard]] const std::string& answer() {
    answer_ += caller_->read_all(longest_wait);
    return answer_;
  }
  [[nodiscard]] raw_caller& caller() { return *caller_; }

  [[nodiscard]] std::size_t runs() const {
    std::size_t all = 0;
    for (const auto& one : endpoints_)
      all += one->seen().size();
    return all;
  }
  /// \returns whether all endpoints together get that many requests
  [[nodiscard]] bool reaches(std::size_t requests) const {
    return comes_true([&] { return runs() >= requests; });
  }

  [[nodiscard]] static endpoint_id id_of(std::size_t endpoint) {
    return endpoint_id{"e" + std::to_string(endpoint)};
  }

  static constexpr time_ms started{1};
  relay_fixture host;

 private:
  std::atomic<bool> goes_on_{false};
  std::vector<std::unique_ptr<scripted_endpoint>> endpoints_;
  std::unique_ptr<raw_caller> caller_;
  std::string answer_;
};

} // namespace

// Guards against answers that end, or run again, where no other endpoint may take them.
TEST_CASE("a stream waits for its silent endpoint while the others are of another build") {
  silent_stream stream;
  stream.add_gated("v1");
  stream.add_gated("v2");
  REQUIRE(stream.begin());
  REQUIRE(decides(stream.host, silence_decision::no_endpoint));
  stream.go_on();
  CHECK(has_all_events_once(stream.answer()));
  CHECK(stream.runs() == 1);
  CHECK(has_settled(stream.host, whole_stream));
}

TEST_CASE("a stream waits for its silent endpoint while the others are limited or full") {
  silent_stream stream;
  stream.add_gated();
  scripted_endpoint& limited = stream.add(resumed_streams());
  scripted_endpoint& full = stream.add(resumed_streams());
  endpoint_directory& endpoints = stream.host.endpoints();
  const auto hash_of = [](std::size_t endpoint) {
    return incarnation_of(silent_stream::id_of(endpoint), silent_stream::started);
  };
  // A host that does not know the others yet sends nothing to endpoints with limits.
  endpoints.take_limits({{hash_of(1), 1.0, time_ms{0}}});
  endpoints.take_brittle({{hash_of(2), 1.0, time_ms{0}}});
  const auto place = endpoints.place({.service = "s", .avoid = {hash_of(0)}});
  REQUIRE(place);
  REQUIRE(place->endpoint == silent_stream::id_of(2));
  endpoints.cancel(*place, deadline);
  REQUIRE(stream.begin());
  REQUIRE(decides(stream.host, silence_decision::no_endpoint));
  stream.go_on();
  CHECK(has_all_events_once(stream.answer()));
  CHECK(limited.seen().empty());
  CHECK(full.seen().empty());
  CHECK(has_settled(stream.host, whole_stream));
}

// Guards against time limits of a later configuration that end a request.
TEST_CASE("a stream at a silent endpoint outlives shorter time limits of a new configuration") {
  silent_stream stream;
  stream.add_gated();
  REQUIRE(stream.begin());
  stream.host.set_config(
      fixture_config({.version = 4, .timeout = time_ms{100}, .idle_timeout = time_ms{50}}));
  REQUIRE(decides(stream.host, silence_decision::no_endpoint));
  stream.go_on();
  CHECK(has_all_events_once(stream.answer()));
  CHECK(stream.runs() == 1);
}

// Guards against requests that wait beyond their deadline for a silent endpoint.
TEST_CASE("a stream at a silent endpoint is cut at the time limit under which it was taken") {
  silent_stream stream{{.timeout = time_ms{2000}}};
  scripted_endpoint& silent = stream.add(silent_streams());
  REQUIRE(stream.begin());
  stream.host.set_config(fixture_config({.version = 4, .timeout = deadline}));
  CHECK_FALSE(ends_in_order(stream.answer()));
  CHECK(stream.caller().last() == io_status::reset);
  CHECK(silent.saw_caller_leave(longest_wait));
  CHECK(has_settled(stream.host, first_event));
}

// Guards against a second send to endpoints of another service.
TEST_CASE("a stream goes on at its service although a new configuration names another one") {
  silent_stream stream;
  stream.add(silent_streams());
  REQUIRE(stream.begin());
  stream.host.set_config(fixture_config({.version = 4, .service = "t"}));
  scripted_endpoint& of_new_service = stream.add(resumed_streams(), "t");
  scripted_endpoint& of_service = stream.add(resumed_streams());
  CHECK(has_all_events_once(stream.answer()));
  CHECK(of_service.seen().size() == 1);
  CHECK(of_new_service.seen().empty());
}

// Guards against answers that end with the listing of their silent endpoint, and against a second
// run at the same one.
TEST_CASE("a stream goes on at a silent endpoint that is unlisted for a while") {
  silent_stream stream;
  stream.add_gated();
  REQUIRE(stream.begin());
  stream.host.endpoints().remove(silent_stream::id_of(0));
  REQUIRE(decides(stream.host, silence_decision::no_endpoint));
  stream.list(0);
  std::this_thread::sleep_for(std::chrono::milliseconds{3 * silence_check_interval().count()});
  stream.go_on();
  CHECK(has_all_events_once(stream.answer()));
  CHECK(stream.runs() == 1);
  CHECK(has_settled(stream.host, whole_stream));
}

TEST_CASE("a stream at a silent endpoint goes on while its host stops") {
  silent_stream stream;
  stream.add_gated();
  REQUIRE(stream.begin());
  stream.host.relay().stop().begin();
  REQUIRE(decides(stream.host, silence_decision::no_endpoint));
  stream.go_on();
  CHECK(has_all_events_once(stream.answer()));
  CHECK(stream.runs() == 1);
}

// Guards against a second send that is given up for the stop and takes the first one with it.
TEST_CASE("a stream at a silent endpoint goes on after its host has ceased to take requests") {
  silent_stream stream;
  stream.add_gated();
  REQUIRE(stream.begin());
  stream.host.relay().stop().begin();
  stream.host.relay().stop().end_taking();
  stream.add(hanging());
  REQUIRE(comes_true([&] {
    return noted(stream.host, silence_decision::send_beside) +
               noted(stream.host, silence_decision::no_endpoint) >
           0;
  }));
  stream.go_on();
  CHECK(has_all_events_once(stream.answer()));
}

// Guards against connections that outlive the cut at the end of a stop.
TEST_CASE("the cut at the end of a stop ends both sends of a stream") {
  silent_stream stream;
  scripted_endpoint& first = stream.add(silent_streams());
  REQUIRE(stream.begin());
  scripted_endpoint& second = stream.add(hanging());
  REQUIRE(stream.reaches(2));
  stream.host.relay().stop().begin();
  stream.host.relay().stop().cut();
  CHECK_FALSE(ends_in_order(stream.answer()));
  CHECK(stream.caller().last() == io_status::reset);
  CHECK(first.saw_caller_leave(longest_wait));
  CHECK(second.saw_caller_leave(longest_wait));
  CHECK(has_settled(stream.host, first_event));
}

// Guards against a send that goes on for a caller who has left.
TEST_CASE("both endpoints of a stream see that its caller leaves") {
  silent_stream stream;
  scripted_endpoint& first = stream.add(silent_streams());
  REQUIRE(stream.begin());
  scripted_endpoint& second = stream.add(hanging());
  REQUIRE(stream.reaches(2));
  stream.caller().close();
  CHECK(first.saw_caller_leave(longest_wait));
  CHECK(second.saw_caller_leave(longest_wait));
  CHECK(has_settled(stream.host, first_event));
}

// Guards against a host that gives up a forwarded request whose endpoint is silent.
TEST_CASE("a host waits for another one whose endpoint is silent") {
  silent_stream stream;
  relay_fixture without_paths{1000000, {}, fixture_config(three_attempts())};
  without_paths.add_endpoint("far", "127.0.0.1:1");
  without_paths.relay().set_hosts({{"h1", stream.host.address_for_hosts(), ""}});
  SUBCASE("until it goes on") {
    stream.add_gated();
    REQUIRE(stream.begin(without_paths));
    REQUIRE(decides(stream.host, silence_decision::no_endpoint));
    stream.go_on();
  }
  SUBCASE("until another endpoint of that host goes on with the stream") {
    stream.add(silent_streams());
    REQUIRE(stream.begin(without_paths));
    stream.add(resumed_streams());
  }
  CHECK(has_all_events_once(stream.answer()));
  CHECK(has_settled(stream.host, whole_stream));
  CHECK(has_settled(without_paths, 0));
}

// Guards against streams that are lost because two endpoints are silent for good.
TEST_CASE("a stream goes on at a third endpoint when two are silent for good") {
  silent_stream stream;
  scripted_endpoint& first = stream.add(silent_streams());
  REQUIRE(stream.begin());
  scripted_endpoint& second = stream.add(hanging());
  REQUIRE(stream.reaches(2));
  // With as many endpoints silent as there are unused ones, all would count as silent.
  stream.add(resumed_streams());
  stream.add(resumed_streams());
  CHECK(has_all_events_once(stream.answer()));
  CHECK(stream.runs() == 3);
  CHECK(first.saw_caller_leave(longest_wait));
  CHECK(second.saw_caller_leave(longest_wait));
  CHECK(has_settled(stream.host, whole_stream));
}

// Guards against sends that go on after the first endpoint has.
TEST_CASE("a stream that goes on at its first endpoint ends the second send") {
  silent_stream stream;
  stream.add_gated();
  REQUIRE(stream.begin());
  scripted_endpoint& second = stream.add(hanging());
  REQUIRE(stream.reaches(2));
  stream.go_on();
  CHECK(has_all_events_once(stream.answer()));
  CHECK(second.saw_caller_leave(longest_wait));
  CHECK(stream.runs() == 2);
  CHECK(has_settled(stream.host, whole_stream));
}

// Guards against sends that go on after the second endpoint has, and against three at once.
TEST_CASE("a stream that goes on at its second endpoint has left the first and ends the third") {
  silent_stream stream;
  scripted_endpoint& first = stream.add(silent_streams());
  REQUIRE(stream.begin());
  stream.add(stream.until_go_on([](const auto& request) {
    return scripted_reply{"", then::keep,
                          stream_head(attempt_of(request)) + event_chunk(2) + event_chunk(3) +
                              "0\r\n\r\n"};
  }));
  REQUIRE(stream.reaches(2));
  CHECK(first.saw_caller_leave(longest_wait));
  scripted_endpoint& third = stream.add(hanging());
  scripted_endpoint& fourth = stream.add(hanging());
  REQUIRE(stream.reaches(3));
  stream.go_on();
  CHECK(has_all_events_once(stream.answer()));
  CHECK((third.seen().empty() ? fourth : third).saw_caller_leave(longest_wait));
  CHECK(stream.runs() == 3);
  CHECK(has_settled(stream.host, whole_stream));
}

// Guards against streams that are lost as the second endpoint breaks off after the first was left.
TEST_CASE("a stream goes on at a third endpoint when the second fails after the first was left") {
  silent_stream stream;
  scripted_endpoint& first = stream.add(silent_streams());
  REQUIRE(stream.begin());
  stream.add(stream.until_go_on([](const auto&) { return scripted_reply{"", then::reset, ""}; }));
  REQUIRE(first.saw_caller_leave(longest_wait));
  stream.add(resumed_streams());
  stream.go_on();
  CHECK(has_all_events_once(stream.answer()));
  CHECK(stream.runs() == 3);
  CHECK(has_settled(stream.host, whole_stream));
}

// Guards against events that are lost or doubled as a stream changes its endpoint twice.
TEST_CASE(
    "a stream that another endpoint has taken up goes on at a third when that one breaks off") {
  silent_stream stream;
  scripted_endpoint& first = stream.add(silent_streams());
  REQUIRE(stream.begin());
  scripted_endpoint& second = stream.add(stream.until_go_on([](const auto& request) {
    return scripted_reply{stream_head(attempt_of(request)) + event_chunk(2), then::close, ""};
  }));
  REQUIRE(first.saw_caller_leave(longest_wait)); // the second has taken over
  scripted_endpoint& third = stream.add(resumed_streams());
  stream.go_on();
  CHECK(has_all_events_once(stream.answer()));
  CHECK(second.seen().size() == 1);
  CHECK(third.seen().size() == 1);
  CHECK(has_settled(stream.host, whole_stream));
}
