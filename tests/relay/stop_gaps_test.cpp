// What a stop must hold to also where a wait, an answer or a connection crosses one of its moments.

#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <sys/socket.h>

#include <chrono>
#include <thread>

using namespace sedgechute;

namespace {

using then = scripted_reply::then;

void sleep_for(time_ms span) {
  std::this_thread::sleep_for(std::chrono::milliseconds{span.count()});
}

/// An address that completes no connection: its backlog is full.
class silent_address {
 public:
  silent_address() : socket_{Poco::Net::SocketAddress{"127.0.0.1", 0}, 1} {
    (void)::listen(socket_.impl()->sockfd(), 0);
    for (int i = 0; i < 8; ++i) {
      Poco::Net::StreamSocket one;
      one.connectNB(socket_.address());
      fill_.push_back(one);
    }
    sleep_for(time_ms{200});
  }
  [[nodiscard]] std::string address() const { return socket_.address().toString(); }

 private:
  Poco::Net::ServerSocket socket_;
  std::vector<Poco::Net::StreamSocket> fill_;
};

} // namespace

// A balancer opens a connection to a stopping host after the notice, and the request comes on it a
// round trip later. The host takes new connections until its end, but closes this one unread.
TEST_CASE("a connection that is opened after the notice may bring its request") {
  scripted_endpoint endpoint{answers("x")};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  at.relay().stop().begin();
  at.relay().stop().close_idle();
  raw_caller caller{at.address()};
  sleep_for(time_ms{20});
  caller.send(request_text("/safe/", "id-1"));
  CHECK(status_of(caller.read_all()) == 200);
}

// A request runs when its host is told to stop. Its answer is written afterwards and its connection
// closed behind it, but the answer does not say so: its caller's next request crosses the close.
TEST_CASE("an answer that is written after the signal says that its connection ends") {
  scripted_endpoint endpoint{[](const auto& request) {
    return scripted_reply{"", then::keep, whole_answer(attempt_of(request), "x"), time_ms{300}};
  }};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/unsafe/", "id-1", "", "POST", "b"));
  REQUIRE(at.has_open(1));
  at.relay().stop().begin();
  const std::string answer = caller.read_all(time_ms{1000});
  CHECK(status_of(answer) == 200);
  CHECK(caller.last() == io_status::ended);
  CHECK(answer.find("Connection: close") != std::string::npos);
}

// The same with a request whose header came before the signal and whose body came after it.
TEST_CASE("an answer to a request whose body came after the signal says that its connection ends") {
  scripted_endpoint endpoint{answers("x")};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  raw_caller caller{at.address()};
  const std::string text = request_text("/unsafe/", "id-1", "", "POST", "body");
  caller.send(text.substr(0, text.size() - 2));
  sleep_for(time_ms{100});
  at.relay().stop().begin();
  caller.send(text.substr(text.size() - 2));
  const std::string answer = caller.read_all(time_ms{1000});
  CHECK(status_of(answer) == 200);
  CHECK(answer.find("Connection: close") != std::string::npos);
}

// The grace is over while a request waits for a connection to an endpoint that does not answer. The
// wait ends, and the request is sent to another endpoint although its host is about to end.
TEST_CASE("nothing is sent on after the cut") {
  scripted_endpoint good{answers("x")};
  const silent_address silent;
  relay_fixture at;
  at.add_endpoint("e-silent", silent.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/unsafe/", "id-1", "", "POST", "b"));
  REQUIRE(at.has_open(1));
  at.add_endpoint("e-good", good.address());
  at.relay().stop().begin();
  at.relay().stop().cut();
  const std::string answer = caller.read_all(time_ms{1500});
  sleep_for(time_ms{200});
  CHECK(good.connections() == 0);
  CHECK(answer.find("outcome_unknown") == std::string::npos);
  CHECK(status_of(answer) == 503);
}

// An endpoint's "not run" comes so late that no other endpoint can end the request before the cut.
// Its caller could go elsewhere at once; it is sent on again, and cut.
TEST_CASE("a request that has not run is sent again only if it can end before the cut") {
  relay_options options;
  options.stop = {time_ms{900}, time_ms{100}, time_ms{200}};
  scripted_endpoint full{[](const auto&) {
    return scripted_reply{"", then::keep,
                          "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                          time_ms{600}};
  }};
  scripted_endpoint slow{[](const auto& request) {
    return scripted_reply{"", then::keep, whole_answer(attempt_of(request), "x"), time_ms{1000}};
  }};
  relay_fixture at{1000000, options};
  at.add_endpoint("e-full", full.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/unsafe/", "id-1", "", "POST", "b"));
  for (int i = 0; i < 100 && full.seen().empty(); ++i)
    sleep_for(time_ms{5});
  REQUIRE(full.seen().size() == 1);
  at.relay().stop().begin(); // the cut comes 700 ms later
  at.add_endpoint("e-slow", slow.address());
  std::thread stop{[&] {
    sleep_for(time_ms{700});
    at.relay().stop().cut();
  }};
  const std::string answer = caller.read_all(time_ms{2000});
  stop.join();
  CHECK(slow.seen().empty());
  CHECK(status_of(answer) == 503);
}
