// End-to-end tests with endpoints that fall silent in the middle of an answer and then go on.

#include "pausing_endpoint.hpp"
#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace sedgechute;

namespace {

using then = scripted_reply::then;

// Longer than a request of the fixture's routes waits for a silent endpoint before it looks for
// another one, and shorter than its deadline.
constexpr time_ms pause{1200};
constexpr time_ms longest_deadline{1950}; // the routes of the fixture end later
constexpr time_ms longest_read{3000};

// While two endpoints have a request: where none is heard, it is sent to the second one after half
// of its deadline, at most 100 ms later.
constexpr time_ms beside_second{1120};

std::string safe_request() {
  return request_text("/safe/x", "a", "", "GET", "", longest_deadline);
}

scripted_endpoint::script pausing_streams(time_ms silence = pause) {
  return [silence](const auto& request) {
    return scripted_reply{stream_head(attempt_of(request)) + event_chunk(1), then::keep,
                          event_chunk(2) + event_chunk(3) + "0\r\n\r\n", silence};
  };
}

scripted_endpoint::script late_answers(time_ms silence = pause) {
  return [silence](const auto& request) {
    return scripted_reply{"", then::keep, whole_answer(attempt_of(request), "late"), silence};
  };
}

scripted_endpoint::script refusals() {
  return replies("HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", then::keep);
}

relay_options without_retries() {
  relay_options options;
  options.retries.ratio = 0;
  options.retries.slack = 1; // less than one retry, as only a fraction of the budget is used
  return options;
}

/// Endpoints that begin a stream and are then silent until one moment.
scripted_endpoint::script silent_until(const steady_clock& time, time_ms moment) {
  return [&time, moment](const auto& request) {
    return scripted_reply{stream_head(attempt_of(request)) + event_chunk(1), then::keep,
                          event_chunk(2) + event_chunk(3) + "0\r\n\r\n",
                          std::max(moment - time.now(), time_ms{1})};
  };
}

/// \returns the answer to one request on a new connection
std::string answer_to(const relay_fixture& host, const std::string& request) {
  raw_caller caller{host.address()};
  caller.send(request);
  return caller.read_all(longest_read);
}

/// \returns the answers to one request each, sent at the same moment
std::vector<std::string> answers_to(const relay_fixture& host,
                                    const std::vector<std::string>& requests) {
  std::vector<std::unique_ptr<raw_caller>> callers;
  for (const std::string& request : requests) {
    callers.push_back(std::make_unique<raw_caller>(host.address()));
    callers.back()->send(request);
  }
  std::vector<std::string> answers;
  answers.reserve(callers.size());
  for (const auto& caller : callers)
    answers.push_back(caller->read_all(longest_read));
  return answers;
}

} // namespace

// A stream was cut after a second of silence although no retry was left to take it up elsewhere.
TEST_CASE("a stream whose endpoint falls silent is not cut when no retry is left") {
  scripted_endpoint silent{pausing_streams()};
  scripted_endpoint other{pausing_streams()};
  relay_fixture host{1000000, without_retries()};
  host.add_endpoint("e1", silent.address());
  host.add_endpoint("e2", other.address());
  CHECK(has_all_events_once(answer_to(host, stream_request("a", longest_deadline))));
  CHECK(silent.seen().size() + other.seen().size() == 1);
}

// A stream was cut after a second of silence although its service has no other endpoint.
TEST_CASE("a stream whose endpoint falls silent is not cut when there is no other endpoint") {
  scripted_endpoint silent{pausing_streams()};
  relay_fixture host;
  host.add_endpoint("e1", silent.address());
  CHECK(has_all_events_once(answer_to(host, stream_request("a", longest_deadline))));
  CHECK(silent.seen().size() == 1);
}

// A stream was cut after a second of silence because the other endpoint refused to take it up.
TEST_CASE("a stream whose endpoint falls silent is not cut when the other endpoint refuses it") {
  scripted_endpoint full{refusals()};
  scripted_endpoint silent{pausing_streams()};
  relay_fixture host;
  host.add_endpoint("e1", silent.address());
  raw_caller caller{host.address()};
  caller.send(stream_request("a", longest_deadline));
  REQUIRE(host.has_open(1));
  while (silent.seen().empty())
    std::this_thread::sleep_for(std::chrono::milliseconds{2});
  host.add_endpoint("e2", full.address());
  CHECK(has_all_events_once(caller.read_all(longest_read)));
  CHECK(silent.seen().size() == 1);
}

// A safe request was refused with "may have run" after its endpoint had been silent for less than
// a second, although no retry was left.
TEST_CASE("a request whose endpoint falls silent is not refused when no retry is left") {
  scripted_endpoint silent{late_answers()};
  scripted_endpoint other{late_answers()};
  relay_fixture host{1000000, without_retries()};
  host.add_endpoint("e1", silent.address());
  host.add_endpoint("e2", other.address());
  const std::string answer = answer_to(host, safe_request());
  CHECK(status_of(answer) == 200);
  CHECK(answer.ends_with("late"));
  CHECK(silent.seen().size() + other.seen().size() == 1);
}

// Endpoints that all fell silent at once got each other's requests, and their answers were lost.
TEST_CASE("no request is sent twice while all endpoints of its service are silent") {
  constexpr std::size_t endpoints = 4;
  const steady_clock time;
  const time_ms moment = time.now() + time_ms{1100};
  std::vector<std::unique_ptr<scripted_endpoint>> silent;
  relay_fixture host;
  std::vector<std::string> requests;
  for (std::size_t i = 0; i < endpoints; ++i) {
    silent.push_back(std::make_unique<scripted_endpoint>(silent_until(time, moment)));
    host.add_endpoint("e" + std::to_string(i), silent.back()->address());
    for (int j = 0; j < 2; ++j)
      requests.push_back(
          stream_request("a" + std::to_string(i) + std::to_string(j), longest_deadline));
  }
  for (const std::string& answer : answers_to(host, requests))
    CHECK(has_all_events_once(answer));
  std::size_t runs = 0;
  for (const auto& one : silent)
    runs += one->seen().size();
  CHECK(runs == requests.size());
}

namespace {

/// One host with an endpoint that gets the first request and another that is added later.
struct second_choice {
  second_choice(const scripted_endpoint::script& first_script,
                const scripted_endpoint::script& second_script)
      : first{first_script}, second{second_script} {
    host.add_endpoint("e1", first.address());
  }

  [[nodiscard]] std::string answer_to(const std::string& request) {
    raw_caller caller{host.address()};
    caller.send(request);
    while (first.seen().empty())
      std::this_thread::sleep_for(std::chrono::milliseconds{2});
    host.add_endpoint("e2", second.address());
    return caller.read_all(longest_read);
  }

  scripted_endpoint first;
  scripted_endpoint second;
  relay_fixture host;
};

} // namespace

// Guards against streams that wait for an endpoint that is silent for good.
TEST_CASE("a stream whose endpoint stays silent goes on at another one") {
  second_choice fleet{silent_streams(), resumed_streams()};
  CHECK(has_all_events_once(fleet.answer_to(stream_request("a", longest_deadline))));
  CHECK(fleet.second.seen().size() == 1);
  CHECK(fleet.first.saw_caller_leave(time_ms{1000}));
}

// Guards against events that a caller receives from both endpoints.
TEST_CASE("a stream that another endpoint has taken up gets no event of the silent one") {
  second_choice fleet{pausing_streams(), [](const auto& request) {
                        return scripted_reply{stream_head(attempt_of(request)) + event_chunk(2),
                                              then::keep, event_chunk(3) + "0\r\n\r\n",
                                              time_ms{700}};
                      }};
  CHECK(has_all_events_once(fleet.answer_to(stream_request("a", longest_deadline))));
  CHECK(fleet.second.seen().size() == 1);
}

// Guards against streams that are lost because the second endpoint is silent as well.
TEST_CASE("a stream goes on at its endpoint while another one has yielded nothing") {
  second_choice fleet{pausing_streams(), replies("", then::hang)};
  CHECK(has_all_events_once(fleet.answer_to(stream_request("a", longest_deadline))));
  CHECK(fleet.second.seen().size() == 1);
  CHECK(fleet.second.saw_caller_leave(time_ms{1000}));
}

// Guards against streams that are lost because the second endpoint dies.
TEST_CASE("a stream goes on at its endpoint after another one has broken off") {
  second_choice fleet{pausing_streams(), replies("", then::reset)};
  CHECK(has_all_events_once(fleet.answer_to(stream_request("a", longest_deadline))));
  CHECK(fleet.second.seen().size() == 1);
}

// Guards against a request that is lost with its silent endpoint while another one runs it.
TEST_CASE("a request is answered by another endpoint while the silent one breaks off") {
  for (const time_ms broken_off : {time_ms{800}, beside_second}) {
    second_choice fleet{
        [=](const auto&) {
          std::this_thread::sleep_for(std::chrono::milliseconds{broken_off.count()});
          return scripted_reply{"", then::reset, ""};
        },
        [](const auto& request) {
          return scripted_reply{"", then::keep, whole_answer(attempt_of(request), "second"),
                                time_ms{500}};
        }};
    CHECK(fleet.answer_to(safe_request()).ends_with("second"));
    CHECK(fleet.second.seen().size() == 1);
  }
}

// Guards against answers that wait for an endpoint whose answer is lost.
TEST_CASE("a request whose endpoint stays silent is answered by another one") {
  second_choice fleet{replies("", then::hang), answers("second")};
  CHECK(fleet.answer_to(safe_request()).ends_with("second"));
  CHECK(fleet.first.saw_caller_leave(time_ms{1000}));
}

// A stream was worked on by both endpoints for as long as the second one needed to its first event.
TEST_CASE("the silent endpoint of a stream is left 400 ms after it was sent to another one") {
  second_choice fleet{silent_streams(), [](const auto& request) {
                        return scripted_reply{"", then::keep,
                                              stream_head(attempt_of(request)) + event_chunk(2) +
                                                  event_chunk(3) + "0\r\n\r\n",
                                              time_ms{600}};
                      }};
  raw_caller caller{fleet.host.address()};
  caller.send(stream_request("a", longest_deadline));
  while (fleet.first.seen().empty())
    std::this_thread::sleep_for(std::chrono::milliseconds{2});
  fleet.host.add_endpoint("e2", fleet.second.address());
  while (fleet.second.seen().empty())
    std::this_thread::sleep_for(std::chrono::milliseconds{2});
  CHECK(fleet.first.saw_caller_leave(time_ms{400}));
  CHECK(has_all_events_once(caller.read_all(longest_read)));
  CHECK(fleet.second.seen().size() == 1);
}

// Guards against a header without events that keeps both endpoints at work.
TEST_CASE("the silent endpoint of a stream is left although the other one has sent its header") {
  second_choice fleet{silent_streams(), [](const auto& request) {
                        return scripted_reply{stream_head(attempt_of(request)), then::keep,
                                              event_chunk(2) + event_chunk(3) + "0\r\n\r\n",
                                              time_ms{600}};
                      }};
  CHECK(has_all_events_once(fleet.answer_to(stream_request("a", longest_deadline))));
  CHECK(fleet.first.saw_caller_leave(time_ms{0}));
}

// Guards against part of a stream that passes for a whole one after its first endpoint was left.
TEST_CASE("a stream ends broken when no attempt is left after its silent endpoint was left") {
  second_choice fleet{silent_streams(), [](const auto&) {
                        std::this_thread::sleep_for(std::chrono::milliseconds{600});
                        return scripted_reply{"", then::reset, ""};
                      }};
  CHECK_FALSE(ends_in_order(fleet.answer_to(stream_request("a", longest_deadline))));
  CHECK(fleet.second.seen().size() == 1);
}

// Guards against an error of the second endpoint that takes the place of the first one's answer.
TEST_CASE("a request whose endpoint falls silent is not answered with the error of another one") {
  second_choice fleet{
      late_answers(), [](const auto& request) {
        return scripted_reply{whole_answer(attempt_of(request), "failed", 500), then::keep, ""};
      }};
  CHECK(fleet.answer_to(safe_request()).ends_with("late"));
  CHECK(fleet.second.seen().size() == 1);
}

// Guards against a second run of what may run only once.
TEST_CASE("a request that may run once waits for its silent endpoint alone") {
  second_choice fleet{late_answers(), answers("second")};
  CHECK(fleet.answer_to(request_text("/unsafe/x", "a", "", "POST", "b", longest_deadline))
            .ends_with("late"));
  CHECK(fleet.second.seen().empty());
}

namespace {

std::string lengthless_head(const std::string& attempt, const std::string& type) {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
         "\r\nResponse-Signature: mark\r\nContent-Type: " + type + "\r\n\r\n";
}

/// An endpoint that begins an answer without a length and then sends nothing; a request for
/// `/crash` resets all its connections.
scripted_endpoint::script crashes_silently(const std::string& type, const std::string& part) {
  return [=](const auto& request) {
    if (request.head.target == "/crash")
      return scripted_reply{"", then::crash, ""};
    return scripted_reply{lengthless_head(attempt_of(request), type) + part, then::hang, ""};
  };
}

/// \returns the answer to a request whose endpoint is silent, then reset beside a second one that
/// breaks off later
std::string answer_after_reset(const std::string& type, const std::string& part,
                               const std::string& request) {
  scripted_endpoint first{crashes_silently(type, part)};
  scripted_endpoint second{[](const auto&) {
    std::this_thread::sleep_for(std::chrono::milliseconds{800});
    return scripted_reply{"", then::reset, ""};
  }};
  relay_fixture host;
  host.add_endpoint("e1", first.address());
  raw_caller caller{host.address()};
  caller.send(request);
  while (first.seen().empty())
    std::this_thread::sleep_for(std::chrono::milliseconds{2});
  host.add_endpoint("e2", second.address());
  while (second.seen().empty())
    std::this_thread::sleep_for(std::chrono::milliseconds{2});
  raw_caller crash{first.address()};
  crash.send("GET /crash HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  return caller.read_all(longest_read);
}

} // namespace

// Guards against part of an answer that passes for a whole one after its connection was reset
// while another endpoint was tried.
TEST_CASE("an answer without a length is not whole when its silent endpoint is reset") {
  const std::string answer = answer_after_reset("text/plain", "part", safe_request());
  CHECK(status_of(answer) != 200);
}

// Guards against a stream that ends in order although its connection was reset while another
// endpoint was tried.
TEST_CASE("a stream without a length does not end in order when its silent endpoint is reset") {
  const std::string answer = answer_after_reset("text/event-stream", "id: 1\ndata: x\n\n",
                                                stream_request("a", longest_deadline));
  CHECK_FALSE(ends_in_order(answer));
}

// Guards against a request that is lost because its silent endpoint wakes up and refuses it.
TEST_CASE("a request is answered by another endpoint although the silent one refuses it") {
  for (const time_ms refused : {time_ms{800}, beside_second}) {
    second_choice fleet{
        [=](const auto&) {
          return scripted_reply{"", then::keep,
                                "HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                                refused};
        },
        [](const auto& request) {
          return scripted_reply{"", then::keep, whole_answer(attempt_of(request), "second"),
                                time_ms{500}};
        }};
    CHECK(fleet.answer_to(safe_request()).ends_with("second"));
  }
}

// Guards against a promise that nothing has run, made although the second endpoint may have run
// the request.
TEST_CASE("a request that its silent endpoint refuses may have run at the second one") {
  for (const time_ms refused : {time_ms{900}, beside_second}) {
    second_choice fleet{[=](const auto&) {
                          return scripted_reply{"", then::keep,
                                                "HTTP/1.1 503 No\r\nNot-Executed: 1\r\n"
                                                "Content-Length: 0\r\n\r\n",
                                                refused};
                        },
                        replies("", then::hang)};
    const std::string answer = fleet.answer_to(safe_request());
    CHECK(fleet.second.seen().size() == 1);
    CHECK(status_of(answer) == 504);
  }
}

// Guards against an error that the caller never gets because its first endpoint stays silent.
TEST_CASE("a request whose endpoint stays silent is answered with the error of another one") {
  second_choice fleet{
      replies("", then::hang), [](const auto& request) {
        return scripted_reply{whole_answer(attempt_of(request), "failed", 500), then::keep, ""};
      }};
  const std::string answer = fleet.answer_to(safe_request());
  CHECK(fleet.second.seen().size() == 1);
  CHECK(status_of(answer) == 500);
}

// Guards against endpoints that work on for a caller that has left.
TEST_CASE("a caller that leaves ends both sends of its request") {
  scripted_endpoint first{replies("", then::hang)};
  scripted_endpoint second{replies("", then::hang)};
  relay_fixture host;
  host.add_endpoint("e1", first.address());
  host.add_endpoint("e2", second.address());
  raw_caller caller{host.address()};
  caller.send(safe_request());
  while (first.seen().empty() || second.seen().empty())
    std::this_thread::sleep_for(std::chrono::milliseconds{2});
  caller.close();
  CHECK(first.saw_caller_leave(time_ms{1000}));
  CHECK(second.saw_caller_leave(time_ms{1000}));
}
