// Services that send what is no answer, or only a part of one.

#include "raw_endpoint.hpp"
#include "test_gateway.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace sedgechute;
using namespace sedgechute::testing;

namespace {

const std::string not_idempotent = "X-Sedgechute-Idempotent: false\r\n";

std::string service_request(const std::string& body) {
  return "POST /services/s/orders HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer good-key\r\n" +
         not_idempotent + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

raw_answer answer_to(const raw_reply& reply, std::size_t body_bytes = 4) {
  raw_endpoint service{reply};
  test_gateway host;
  host.dispatch.add("s1", service.address());
  return host.ask(service_request(std::string(body_bytes, 'b')));
}

} // namespace

// Guards against a status that is none, which a caller would get as that of an answer.
TEST_CASE("a service's answer whose status is no final status is no answer") {
  for (const char* const status : {"000", "099", "99", "0", "-20", "20x", "+20", "0200", "2000",
                                   "1000", "101", "199", "600", "999", ""}) {
    INFO(std::string{status});
    const std::string line = std::string{"HTTP/1.1 "} + status + " X\r\n";
    const raw_answer answer = answer_to({line + "Content-Length: 4\r\n\r\ndone"});
    CHECK(answer.status == 504);
    CHECK(answer.body.find("done") == std::string::npos);
    CHECK(answer.kind() == "outcome_unknown");
  }
}

TEST_CASE("a service's answer behind one that is none is not used") {
  const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
  for (const char* const first : {"HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 1000 X\r\n\r\n",
                                  "HTTP/1.1 101 Switching Protocols\r\n\r\n"}) {
    INFO(std::string{first});
    CHECK(answer_to({first + sound}).status == 504);
  }
  CHECK(answer_to({"HTTP/1.1 100 Continue\r\n\r\n" + sound}).body == "done");
}

// Guards against a second run of a request whose engine answered with what is no status.
TEST_CASE("an engine whose answer has no final status may have run the request") {
  for (const char* const status : {"000", "99", "101", "600"}) {
    INFO(std::string{status});
    raw_endpoint broken{{std::string{"HTTP/1.1 "} + status + " X\r\nContent-Length: 0\r\n\r\n"}};
    fake_engine sound{answer_words({"word"})};
    test_gateway host;
    host.dispatch.add("e1", broken.address());
    host.dispatch.add("e2", sound.address());
    CHECK(host.ask(chat_request_text(chat_body(false), not_idempotent)).status == 504);
    CHECK(sound.runs() == 0);
  }
}

// Guards against a part of an answer that is given to the caller as a whole one.
TEST_CASE("an answer without a length that is reset while its upload goes on is not whole") {
  using end = raw_reply::end;
  using std::chrono::milliseconds;
  for (const std::size_t body : {300'000U, 3'500'000U})
    for (const end after : {end::reset, end::close})
      for (const milliseconds pause : {milliseconds{0}, milliseconds{150}})
        for (const char* const head :
             {"HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\nContent-Length: 41\r\n\r\npart",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"}) {
          CAPTURE(body);
          INFO(std::string{head} << std::string{after == end::reset ? ", reset" : ", closed"}
                                 << " after " << pause.count());
          raw_endpoint service{{head, after, false, pause}};
          test_gateway host;
          host.dispatch.add("s1", service.address());
          raw_caller caller = host.caller();
          (void)caller.send(service_request(std::string(body, 'b')));
          const std::string got = caller.receive_until("0\r\n\r\n");
          CHECK_FALSE((got.starts_with("HTTP/1.1 200") && got.ends_with("0\r\n\r\n")));
          CHECK(host.nothing_left());
        }
}

// Guards against a host that keeps all that a faulty service sends.
TEST_CASE("bytes without an end that are no answer are given up at a bound") {
  constexpr std::size_t block = 1U << 20U;
  constexpr std::size_t blocks = 64;
  const auto flood = [&](const std::string& begin, const std::string& unit) {
    std::string bytes;
    while (bytes.size() < block)
      bytes += unit;
    raw_reply reply{begin + bytes};
    reply.repeats = blocks;
    return answer_to(reply).status;
  };
  CHECK(flood("", "x") == 504);
  CHECK(flood("", std::string(1, '\0')) == 504);
  CHECK(flood("", "\r\n") == 504);
  CHECK(flood("HTTP/1.1 200 ", "x") == 504);
  CHECK(flood("HTTP/1.1 200 OK\r\nA: ", "x") == 504);
  CHECK(flood("HTTP/1.1 200 OK\r\n", "A: b\r\n") == 504);
  CHECK(flood("", "HTTP/1.1 100 Continue\r\n\r\n") == 504);
}
