// What a host holds of large bodies when its settings say nothing of its memory.

#include "entry_program.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace sedgechute;

namespace {

constexpr std::size_t mb = std::size_t{1} << 20U;
constexpr std::size_t body_bytes = 4 * mb;
constexpr int callers = 60;
constexpr std::string_view limits =
    R"(,"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
    R"("IdleTimeoutMs":15000}})";

/// \returns the value of a metric, or -1 where the page lacks it
double value_of(const std::string& page, const std::string& series) {
  const std::size_t at = page.find("\n" + series);
  return at == std::string::npos ? -1 : std::stod(page.substr(page.find(' ', at + 1) + 1));
}

std::string upload_head(const std::string& attempt, const std::string& framing) {
  return "POST /unsafe/1 HTTP/1.1\r\nHost: f\r\nAttempt-Id: " + attempt +
         "\r\nDeadline-Ms: 9000\r\nAuthorization: Token k\r\n" + framing + "\r\n\r\n";
}

struct memory_use {
  double held{};     ///< bytes of bodies
  double resident{}; ///< bytes of the process
};

/// \returns what a host uses once the bodies that it holds no longer grow
memory_use use_of(const entry_program& host) {
  memory_use last{.held = -1};
  for (int i = 0; i < 40; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    const std::string page = host.look_at("/metrics").second;
    const memory_use now{.held =
                             value_of(page, R"(sedgechute_held_bytes{host="h0",kind="bodies"})"),
                         .resident = value_of(page, R"(sedgechute_resident_bytes{host="h0"})")};
    if (now.held > 0 && now.held == last.held)
      return now;
    last = now;
  }
  return last;
}

/// \brief Callers send the heads of large uploads, and what `sent` says of their bodies.
memory_use use_with_uploads(const std::string& settings, const std::string& framing,
                            const std::string& sent) {
  scripted_endpoint endpoint{answers("ok")};
  std::string configuration = entry_program::with_route(2, "more");
  configuration.pop_back();
  entry_program host{settings, log_reader::reads, configuration.append(limits)};
  host.add_endpoint("e1", endpoint.address());
  REQUIRE(host.ready());
  const steady_clock time;
  std::vector<std::unique_ptr<connection>> links;
  for (int i = 0; i < callers; ++i) {
    links.push_back(connect_to(host.callers(), time_ms{1000}, time).link);
    REQUIRE(links.back());
    (void)links.back()->write_all(upload_head("u" + std::to_string(i), framing) + sent,
                                  time.now() + time_ms{2000});
  }
  const memory_use used = use_of(host);
  CHECK(host.ask("safe", "small").first == 200);
  return used;
}

void check_bounded(const memory_use& used) {
  CHECK(used.held >= 4 * mb);
  CHECK(used.held <= 64 * mb);
  CHECK(used.resident <= 88 * mb);
}

const std::string stated = "Content-Length: " + std::to_string(body_bytes);

} // namespace

// A host whose settings name no memory must reject bodies before it exceeds its machine.
TEST_CASE("a host without a setting for its memory bounds the bodies that it holds") {
  check_bounded(use_with_uploads(R"("grace_s":4)", stated, std::string(body_bytes - 1, 'b')));
}

TEST_CASE("a host whose setting for its memory is null bounds the bodies that it holds") {
  check_bounded(use_with_uploads(R"("grace_s":4,"memory_mb":null)", stated, "b"));
}

// A string that grows takes up to twice its length.
TEST_CASE("a host without a setting for its memory bounds chunked bodies that it holds") {
  constexpr std::size_t chunk_bytes = 33 * mb / 16;
  const std::string chunk = "210000\r\n" + std::string(chunk_bytes, 'b') + "\r\n";
  check_bounded(use_with_uploads(R"("grace_s":4)", "Transfer-Encoding: chunked", chunk));
}
