// A host whose memory for bodies or answers is used up.

#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

using namespace sedgechute;

namespace {

constexpr std::size_t body_limit = 20000;
constexpr std::size_t large_bytes = 18000;

relay_options bounded() {
  relay_options options;
  options.memory = {.bodies = body_limit, .answers = 40000, .reserve = 1000};
  return options;
}

config_ptr large_bodies() {
  auto config = std::make_shared<fleet_config>(*fixture_config({}));
  config->limits.body_bytes = 8U << 20U;
  return config;
}

std::string upload(const std::string& attempt, std::size_t bytes) {
  return request_text("/unsafe/", attempt, "", "POST", std::string(bytes, 'b'));
}

void check_refused(const std::string& answer, const std::string& attempt) {
  CHECK(status_of(answer) == 503);
  CHECK(answer.find("Attempt-Id: " + attempt) != std::string::npos);
  CHECK(answer.find("Retry-After") != std::string::npos);
  CHECK(answer.find("Connection: close") != std::string::npos);
}

bool holds(relay_fixture& host, std::size_t bytes) {
  steady_clock time;
  const held_bytes& memory = host.relay().memory();
  for (const time_ms until = time.now() + time_ms{3000};
       memory.held(held_message::body) != bytes && time.now() < until;)
    std::this_thread::sleep_for(std::chrono::milliseconds{2});
  return memory.held(held_message::body) == bytes;
}

} // namespace

// Large bodies that arrive slowly must neither exceed the memory nor keep small requests out.
TEST_CASE("while large bodies take up the memory, further large ones are refused by their header") {
  scripted_endpoint endpoint{answers("x")};
  relay_fixture host{1'000'000, bounded(), large_bodies()};
  host.add_endpoint("e1", endpoint.address());
  raw_caller slow{host.address()};
  const std::string text = upload("slow", large_bytes);
  slow.send(text.substr(0, text.size() - 1));
  CHECK(holds(host, large_bytes));
  raw_caller second{host.address()};
  const std::string refused = upload("second", large_bytes);
  second.send(refused.substr(0, refused.size() - large_bytes)); // its body has not been sent
  check_refused(second.read_all(), "second");
  CHECK(status_of(host.call("/unsafe/", "small", "", "POST", "body")) == 200);
  CHECK(status_of(host.call("/safe/", "none")) == 200);
  slow.send(text.substr(text.size() - 1));
  CHECK(status_of(slow.read_all()) == 200);
  CHECK(endpoint.seen().size() == 3);
  CHECK(holds(host, 0));
}

// A busy host waits for bodies without a thread. Uncounted, they would exceed the memory; counted
// for good after their callers have left, they would block all later ones.
TEST_CASE("a body that a busy host waits for counts until its caller leaves") {
  scripted_endpoint endpoint{answers("x")};
  relay_fixture host{1'000'000, bounded(), large_bodies()};
  host.add_endpoint("e1", endpoint.address());
  host.set_busy(true);
  raw_caller slow{host.address()};
  slow.send(upload("slow", large_bytes).substr(0, large_bytes / 2));
  CHECK(holds(host, large_bytes));
  raw_caller second{host.address()};
  const std::string refused = upload("second", large_bytes);
  second.send(refused.substr(0, refused.size() - large_bytes));
  check_refused(second.read_all(), "second");
  slow.close();
  CHECK(holds(host, 0));
  CHECK(status_of(host.call("/unsafe/", "third", "", "POST", std::string(large_bytes, 'b'))) ==
        503);
  CHECK(holds(host, 0));
  CHECK(endpoint.seen().empty());
}

// A reset under unread bytes can take the refusal from the caller, which then cannot tell that the
// request has not run.
TEST_CASE("a caller that sends its refused body slowly gets the refusal") {
  scripted_endpoint endpoint{answers("x")};
  relay_fixture host{1'000'000, bounded(), large_bodies()};
  host.add_endpoint("e1", endpoint.address());
  raw_caller caller{host.address()};
  const std::string text = upload("refused", 6U << 20U);
  caller.send(text.substr(0, text.size() / 2));
  std::this_thread::sleep_for(std::chrono::milliseconds{600}); // beyond the usual closing time
  caller.send(text.substr(text.size() / 2));
  CHECK(caller.last() == io_status::ok);
  check_refused(caller.read_all(), "refused");
  CHECK(endpoint.seen().empty());
}

// The size of a chunked body is not known from the header.
TEST_CASE("a chunked body is refused once it exceeds the memory") {
  scripted_endpoint endpoint{answers("x")};
  relay_fixture host{1'000'000, bounded(), large_bodies()};
  host.add_endpoint("e1", endpoint.address());
  raw_caller caller{host.address()};
  caller.send(request_text("/unsafe/", "chunked", "Transfer-Encoding: chunked\r\n", "POST") +
              "10000\r\n" + std::string(0x10000, 'b') + "\r\n0\r\n\r\n");
  check_refused(caller.read_all(), "chunked");
  CHECK(endpoint.seen().empty());
  CHECK(holds(host, 0));
}

// Answers larger than the limit must come one after the other, complete, and free their bytes.
TEST_CASE("answers beyond the limit of the memory are still delivered whole") {
  const std::string body(100000, 'a');
  scripted_endpoint endpoint{answers(body)};
  relay_fixture host{1'000'000, bounded(), large_bodies()};
  host.add_endpoint("e1", endpoint.address());
  raw_caller first{host.address()};
  raw_caller second{host.address()};
  first.send(request_text("/safe/", "a-1", "", "GET"));
  second.send(request_text("/safe/", "a-2", "", "GET"));
  for (raw_caller* caller : {&first, &second}) {
    const std::string answer = caller->read_all();
    CHECK(status_of(answer) == 200);
    CHECK(answer.ends_with("\r\n\r\n" + body));
  }
  CHECK(host.has_open(0));
  CHECK(host.relay().memory().held(held_message::answer) == 0);
}
