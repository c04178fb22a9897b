// End-to-end tests with endpoints that turn requests away and ask for a pause in their refusals.

#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace sedgechute;

namespace {

using then = scripted_reply::then;

std::string refusal_with(const std::string& attempt, const std::string& fields, int status = 503) {
  return "HTTP/1.1 " + std::to_string(status) + " No\r\nNot-Executed: 1\r\nAttempt-Id: " + attempt +
         "\r\n" + fields + "Content-Length: 0\r\n\r\n";
}

/// An endpoint that refuses all requests and notes when they arrive.
struct refusing_endpoint {
  explicit refusing_endpoint(const std::string& fields, int status = 503)
      : program{[this, fields, status](const auto& request) {
          const std::scoped_lock lock{mutex};
          arrivals.push_back(time.now());
          return scripted_reply{refusal_with(attempt_of(request), fields, status), then::keep, ""};
        }} {}

  /// \returns the requests that arrived between two times after the first one
  [[nodiscard]] std::size_t between(time_ms from, time_ms to) {
    const std::scoped_lock lock{mutex};
    std::size_t count = 0;
    for (const time_ms at : arrivals)
      count += at - arrivals.front() >= from && at - arrivals.front() < to ? 1U : 0U;
    return count;
  }

  steady_clock time;
  std::mutex mutex;
  std::vector<time_ms> arrivals;
  scripted_endpoint program;
};

constexpr time_ms settling{500}; // after which requests that were on their way have arrived
constexpr std::size_t allowed = 2;

/// Several callers send requests for a while.
/// \returns the answers
std::vector<std::string> call_for(relay_fixture& at, time_ms span) {
  constexpr int callers = 4;
  std::mutex mutex;
  std::vector<std::string> answers;
  std::vector<std::jthread> threads;
  std::atomic<int> calls{0};
  for (int i = 0; i < callers; ++i)
    threads.emplace_back([&] {
      const steady_clock time;
      for (const time_ms end = time.now() + span; time.now() < end;) {
        const std::string answer = at.call("/safe/", "id-" + std::to_string(++calls));
        const std::scoped_lock lock{mutex};
        answers.push_back(answer);
      }
    });
  threads.clear();
  return answers;
}

double retry_after_of(const std::string& answer) {
  const auto head = parse_response_head(answer.substr(0, answer.find("\r\n\r\n") + 4));
  const std::string* field = head ? head->fields.find("Retry-After") : nullptr;
  return field == nullptr ? -1 : std::stod(*field);
}

} // namespace

// An endpoint that had asked for a pause got as many requests as any other.
TEST_CASE("an endpoint that has asked for a pause gets no requests until its end") {
  refusing_endpoint pausing{"Retry-After: 1.5\r\n"};
  scripted_endpoint sound{answers("ok")};
  relay_fixture at;
  at.add_endpoint("e1", pausing.program.address());
  at.add_endpoint("e2", sound.address());
  for (const std::string& answer : call_for(at, time_ms{2500}))
    CHECK(status_of(answer) == 200);
  CHECK(pausing.between(time_ms{0}, time_ms{10000}) > 0);
  CHECK(pausing.between(settling, time_ms{1500}) <= allowed);
}

TEST_CASE("requests are refused at once while all endpoints pause, until the first one ends") {
  refusing_endpoint pausing{"Retry-After: 2.5\r\n"};
  refusing_endpoint other{"Retry-After: 1.8\r\n"};
  relay_fixture at;
  at.add_endpoint("e1", pausing.program.address());
  at.add_endpoint("e2", other.program.address());
  (void)call_for(at, time_ms{100});
  const steady_clock time;
  const time_ms began = time.now();
  const std::string answer = at.call("/safe/", "id-last");
  CHECK(status_of(answer) == 503);
  CHECK(retry_after_of(answer) >= 1.0);
  CHECK(retry_after_of(answer) <= 2.9);
  CHECK(time.now() - began < time_ms{1000});
  (void)call_for(at, time_ms{1200});
  CHECK(pausing.between(settling, time_ms{2500}) <= allowed);
  CHECK(other.between(settling, time_ms{1800}) <= allowed);
}

// Only a refusal of the endpoint itself is a request for a pause.
TEST_CASE(
    "an answer that is no refusal of the endpoint, or names no usable time, starts no pause") {
  for (const char* fields : {"", "Retry-After: -1\r\n", "Retry-After: nan\r\n",
                             "Retry-After: Fri, 04 Dec 2026 10:00:00 GMT\r\n"}) {
    CAPTURE(fields);
    refusing_endpoint full{fields};
    relay_fixture at;
    at.add_endpoint("e1", full.program.address());
    for (int i = 0; i < 5; ++i)
      (void)at.call("/safe/", "id-" + std::to_string(i));
    CHECK(full.between(time_ms{0}, time_ms{10000}) >= 5);
  }
  refusing_endpoint limiting{"Retry-After: 2\r\n", 429};
  relay_fixture at;
  at.add_endpoint("e1", limiting.program.address());
  for (int i = 0; i < 5; ++i)
    (void)at.call("/safe/", "id-" + std::to_string(i));
  CHECK(limiting.between(time_ms{0}, time_ms{10000}) >= 5);
}
