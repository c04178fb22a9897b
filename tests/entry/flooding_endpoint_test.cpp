// A host as a process, and endpoints that send bytes without an end to many requests at once.

#include "entry_program.hpp"
#include "raw_endpoint.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace sedgechute;
using testing::raw_endpoint;
using testing::raw_reply;

namespace {

constexpr double mb = 1U << 20U;
constexpr std::size_t block = std::size_t{1} << 18U;
constexpr std::size_t blocks = 128; // 32 MB for each request
constexpr int requests = 200;
constexpr double most_resident = 88 * mb; // of a machine with 110 MB

const std::string answer_head = "HTTP/1.1 200 OK\r\nResponse-Signature: mark\r\n";

raw_reply flood(const std::string& begin, const std::string& unit) {
  raw_reply reply;
  reply.bytes = begin;
  while (reply.bytes.size() < block)
    reply.bytes += unit;
  reply.repeats = blocks;
  return reply;
}

/// \returns bytes that the process holds
double resident(const entry_program& host) {
  const std::string page = host.look_at("/metrics").second;
  const std::size_t at = page.find("\nsedgechute_resident_bytes{");
  return at == std::string::npos ? -1 : std::stod(page.substr(page.find(' ', at + 1) + 1));
}

struct flood_result {
  int whole{0};   ///< requests that were answered with success
  double peak{0}; ///< bytes that the process held
  int after{0};   ///< status of a request to a sound endpoint, afterwards
  bool runs{false};
};

flood_result play(const raw_reply& reply, const std::string& route) {
  raw_endpoint faulty{reply};
  scripted_endpoint sound{[](const auto& request) {
    return scripted_reply{whole_answer(attempt_of(request), "ok"), scripted_reply::then::keep, ""};
  }};
  entry_program host{R"("grace_s":4,"memory_mb":110)"};
  host.add_endpoint("faulty", faulty.address());
  REQUIRE(host.ready());
  std::atomic<int> left{requests};
  std::atomic<int> whole{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < requests; ++i)
    callers.emplace_back([&, i] {
      const auto [status, bytes] = host.ask(route, "f-" + std::to_string(i));
      whole += status == 200 && (bytes.ends_with("0\r\n\r\n") || route != "once") ? 1 : 0;
      --left;
    });
  flood_result seen;
  while (left > 0)
    seen.peak = std::max(seen.peak, resident(host));
  for (std::thread& one : callers)
    one.join();
  seen.whole = whole;
  host.store().put("keyed.servers", "faulty", std::nullopt);
  host.add_endpoint("sound", sound.address());
  const steady_clock time;
  for (const time_ms until = time.now() + time_ms{5000}; seen.after != 200 && time.now() < until;)
    seen.after = host.ask("safe", "after-" + std::to_string(time.now().count())).first;
  seen.runs = host.runs();
  return seen;
}

void check_bounded(const raw_reply& reply, const std::string& route) {
  const flood_result seen = play(reply, route);
  CHECK(seen.runs);
  CHECK(seen.whole == 0);
  CHECK(seen.peak <= most_resident);
  CHECK(seen.after == 200);
}

} // namespace

// Guards against a host that keeps all that a faulty endpoint sends, and ends with it.
TEST_CASE("bytes without an end that are no answer do not fill the memory of a host") {
  check_bounded(flood("", "x"), "safe");
  check_bounded(flood("", std::string(1, '\0')), "unsafe");
  check_bounded(flood("HTTP/1.1 200 OK\r\nA: ", "x"), "once");
  check_bounded(flood("HTTP/1.1 200 OK\r\n", "A: b\r\n"), "unsafe");
  check_bounded(flood("", "HTTP/1.1 100 Continue\r\n\r\n"), "safe");
}

TEST_CASE("bodies without an end do not fill the memory of a host") {
  const std::string chunked = answer_head + "Transfer-Encoding: chunked\r\n\r\n";
  check_bounded(flood(answer_head + "\r\n", "x"), "safe");
  check_bounded(flood(chunked, "1;" + std::string(200, 'e') + "\r\nx\r\n"), "unsafe");
  check_bounded(flood(chunked + "0\r\n", "T: x\r\n"), "safe");
  check_bounded(flood(chunked, "10\r\n: a comment, x\n\r\n"), "once");
}
