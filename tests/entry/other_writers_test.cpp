// A host as a process, while other programs write into the topics that it reads.

#include "entry_program.hpp"

#include <doctest/doctest.h>

#include <Poco/Net/DatagramSocket.h>

#include <chrono>
#include <csignal>
#include <future>

using namespace sedgechute;

namespace {

using then = scripted_reply::then;

constexpr time_ms one_look{1500}; // the list of endpoints is read more than twice in it

void sleep_for(time_ms span) {
  std::this_thread::sleep_for(std::chrono::milliseconds{span.count()});
}

std::size_t lines_with(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
    ++count;
  return count;
}

} // namespace

// Another program overwrites the entry of the only endpoint, in the middle of a stream. The stream
// comes to its end; new requests are refused, not sent to an address that may be anybody's; once
// the endpoint has written its entry again it is used again.
TEST_CASE("an endpoint whose entry is overwritten gets no new request, and ends what it runs") {
  scripted_endpoint endpoint{[](const scripted_endpoint::seen_request& request) -> scripted_reply {
    if (request.head.target.find("/once/") != std::string::npos)
      return {stream_head(attempt_of(request)) + event_chunk(1), then::keep,
              event_chunk(2) + "0\r\n\r\n", time_ms{2500}};
    return {whole_answer(attempt_of(request), "ok"), then::keep, ""};
  }};
  entry_program host{R"("grace_s":4)"};
  host.add_endpoint("e1", endpoint.address());
  REQUIRE(host.ready());
  auto stream = std::async(std::launch::async, [&] { return host.ask("once", "a1"); });
  sleep_for(time_ms{200});
  host.store().put("keyed.servers", "e1", "\xff garbage");
  sleep_for(one_look);
  CHECK(host.ask("safe", "a2").first == 503);
  CHECK(endpoint.seen().size() == 1);
  const auto [status, body] = stream.get();
  CHECK(status == 200);
  CHECK(body.ends_with(event_chunk(2) + "0\r\n\r\n"));
  host.add_endpoint("e1", endpoint.address());
  sleep_for(one_look);
  CHECK(host.ask("safe", "a3").first == 200);
  host.signal(SIGTERM);
  CHECK(host.wait(time_ms{6000}) == 0);
  CHECK(lines_with(host.output(), "\"event\":\"entry_unusable\"") == 1);
}

// Another program overwrites the configuration with one that has no routes, and then with bytes
// that mean nothing. Callers go on as before: what cannot be read changes nothing.
TEST_CASE("a configuration that cannot be read changes nothing") {
  scripted_endpoint endpoint{[](const scripted_endpoint::seen_request& request) -> scripted_reply {
    return {whole_answer(attempt_of(request), "ok"), then::keep, ""};
  }};
  entry_program host{R"("grace_s":4)"};
  host.add_endpoint("e1", endpoint.address());
  REQUIRE(host.ready());
  for (const char* bad : {R"({"Version":99})", R"({"Version":99,"Routes":{},"Services":[]})",
                          R"({"Version":"99","Routes":[],"Services":[]})", "\xff", "[]", "{}"}) {
    host.store().put("keyed.op", "config", bad);
    sleep_for(time_ms{150});
    CHECK(host.ask("safe", std::string{"a"} + bad[0]).first == 200);
  }
}

// A host starts while the only configuration that there is cannot be read. It is not ready, and
// becomes ready with the next good one.
TEST_CASE("a host without a configuration that can be read is not ready") {
  entry_program host{R"("grace_s":4)", log_reader::reads,
                     R"({"Version":2,"Routes":{},"Services":[]})"};
  sleep_for(time_ms{1500});
  CHECK_FALSE(host.ready_now());
  host.store().put("keyed.op", "config", R"({"Version":3,"Routes":[],"Services":[]})");
  CHECK(host.ready());
}

// Somebody sends datagrams of any bytes to the address at which hosts talk to each other.
TEST_CASE("datagrams that mean nothing cost a host one line for each sender") {
  entry_program host{R"("grace_s":4)"};
  REQUIRE(host.ready());
  Poco::Net::DatagramSocket sender;
  const Poco::Net::SocketAddress to{host.peers()};
  random_source random{7};
  for (int i = 0; i < 2000; ++i) {
    std::string bytes(random.below(60), '\0');
    for (char& byte : bytes)
      byte = static_cast<char>(random.below(256));
    if (!bytes.empty() && i % 2 == 0)
      bytes.front() = static_cast<char>(1 + i / 2 % 2); // the kinds that there are
    sender.sendTo(bytes.data(), static_cast<int>(bytes.size()), to);
  }
  sleep_for(time_ms{300});
  CHECK(host.ready_now());
  host.signal(SIGTERM);
  CHECK(host.wait(time_ms{6000}) == 0);
  const std::size_t lines = lines_with(host.output(), "\"document\":\"datagrams\"");
  CHECK(lines >= 1);
  CHECK(lines <= 50); // one, and one more after each that happens to mean something
}
