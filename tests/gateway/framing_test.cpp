#include "test_gateway.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::testing;

namespace {

const std::string start = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
                          "Authorization: Bearer good-key\r\n";

struct strict_host {
  strict_host() { host.dispatch.add("e1", engine.address()); }

  /// Sends the request and a second one behind it, and checks that the first is refused, the second
  /// never seen and the connection closed.
  void check(const std::string& request, int status, const std::string& kind) const {
    INFO(request.substr(0, 400));
    raw_caller caller = host.caller();
    (void)caller.send(request);
    (void)caller.send(chat_request_text(chat_body(false)));
    const raw_answer answer = caller.receive();
    CHECK(answer.status == status);
    CHECK(answer.kind() == kind);
    CHECK(caller.closed_by_host());
    CHECK(host.nothing_left());
    CHECK(host.budgets.made() == 0);
    CHECK(engine.runs() == 0);
  }
  void check_malformed(const std::string& request) const {
    check(request, 400, "malformed_request");
  }

  fake_engine engine{answer_words({"x"})};
  test_gateway host;
};

} // namespace

// A balancer in front and this host disagree on where a body ends. A caller then hides a second
// request in the first one's body, which runs under whoever's connection it is. Anything that two
// readers may read in two ways is refused, and nothing behind it is read.
TEST_CASE("a request whose body's end is ambiguous is refused and its connection closed") {
  const strict_host strict;
  const std::string body = chat_body(false);
  const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
  for (const std::string& framing :
       {length + length, length + "Content-Length: 0\r\n",
        length + "Transfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\n" + length,
        std::string{"Transfer-Encoding: xchunked\r\n"},
        std::string{"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"},
        std::string{"Transfer-Encoding: gzip, chunked\r\n"},
        std::string{"Transfer-Encoding : chunked\r\n"}, std::string{"Content-Length: +5\r\n"},
        std::string{"Content-Length: 5, 5\r\n"}, std::string{"Content-Length: 0x5\r\n"},
        std::string{"Content-Length:\r\n"}, std::string{"Content-Length: 99999999999999999999\r\n"},
        std::string{"Content-Length: 5 5\r\n"}})
    strict.check_malformed(start + framing + "\r\n" + body);
}

TEST_CASE("a header that is not plain lines of name, colon and value is refused") {
  const strict_host strict;
  const std::string end = "Content-Length: 2\r\n\r\n{}";
  for (const std::string& line :
       {std::string{"X: a\n"}, std::string{"X: a\r\n folded\r\n"}, std::string{"X: a\r\n\tb\r\n"},
        std::string{"no colon\r\n"}, std::string{": no name\r\n"}, std::string{"X Y: a\r\n"},
        std::string{"X\t: a\r\n"}, std::string{"X: a\rb\r\n"}, std::string{"X: a\0b\r\n", 8},
        std::string{"X: a\x01\r\n"}, std::string{"X: a\x7f\r\n"}, std::string{"X(): a\r\n"},
        std::string{"Host: other\r\n"}, std::string{"Authorization: Bearer other\r\n"},
        std::string{" X: a\r\n"}})
    strict.check_malformed(start + line + end);
}

TEST_CASE("a request line that is not method, target and version is refused") {
  const strict_host strict;
  for (const char* line :
       {"GET /healthz\r\n", "GET  /healthz HTTP/1.1\r\n", "GET /healthz HTTP/2.0\r\n",
        "GET /healthz HTTP/1.1 \r\n", "GET /heal thz HTTP/1.1\r\n", "GET /healthz HTTP/1.1\n",
        "G(T /healthz HTTP/1.1\r\n", "GET /\x01 HTTP/1.1\r\n", "GET healthz HTTP/1.1\r\n",
        "\x16\x03\x01\x02\r\n", "\r\n\r\n\r\n"})
    strict.check_malformed(std::string{line} + "Host: h\r\n\r\n");
}

TEST_CASE("a header that is too large is refused with 413") {
  const strict_host strict;
  std::string many = "GET /healthz HTTP/1.1\r\nHost: h\r\n";
  for (int i = 0; i < 65; ++i)
    many += "X-" + std::to_string(i) + ": v\r\n";
  strict.check(many + "\r\n", 413, "payload_too_large");
  strict.check("GET /" + std::string(100000, 'a') + " HTTP/1.1\r\nHost: h\r\n\r\n", 413,
               "payload_too_large");
  strict.check("GET /healthz HTTP/1.1\r\nHost: h\r\nX: " + std::string(9000, 'a') + "\r\n\r\n", 413,
               "payload_too_large");
  strict.check(std::string(200000, 'A'), 413, "payload_too_large");
}

// A refused request's body holds the text of another request. Read as one, it would run unasked.
TEST_CASE("a request hidden in a body is never taken for a request") {
  const strict_host strict;
  const std::string hidden = chat_request_text(chat_body(false));
  strict.check("GET /healthz HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
                   hidden,
               400, "malformed_request");
  fake_engine engine{answer_words({"x"})};
  test_gateway host;
  host.dispatch.add("e1", engine.address());
  raw_caller caller = host.caller();
  CHECK(caller.send("GET /healthz HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                    std::to_string(hidden.size()) + "\r\n\r\n" + hidden));
  CHECK(caller.receive().status == 200);
  CHECK(caller.closed_by_host());
  CHECK(engine.runs() == 0);
}

TEST_CASE("pipelined requests are answered in their order") {
  fake_engine engine{answer_words({"x"})};
  test_gateway host;
  host.dispatch.add("e1", engine.address());
  raw_caller caller = host.caller();
  std::string all;
  for (int i = 0; i < 40; ++i)
    all += chat_request_text(chat_body(i % 2 == 0)) + "GET /v1/models HTTP/1.1\r\nHost: h\r\n"
                                                      "Authorization: Bearer good-key\r\n\r\n";
  CHECK(caller.send(all));
  for (int i = 0; i < 40; ++i) {
    const raw_answer chat = caller.receive();
    INFO(chat.body);
    REQUIRE(chat.status == 200);
    CHECK(chat.body.find(i % 2 == 0 ? "[DONE]" : "\"content\":\"x\"") != std::string::npos);
    CHECK(caller.receive().body.find("\"object\":\"list\"") != std::string::npos);
  }
  CHECK(host.nothing_left());
}

TEST_CASE("an HTTP/1.0 caller gets answers without chunked coding") {
  fake_engine engine{answer_words({"one", "two"})};
  test_gateway host;
  host.dispatch.add("e1", engine.address());
  for (const bool stream : {false, true}) {
    const std::string body = chat_body(stream);
    const raw_answer answer =
        host.ask("POST /v1/chat/completions HTTP/1.0\r\nAuthorization: Bearer good-key\r\n"
                 "Content-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
    CHECK(answer.status == 200);
    CHECK(answer.field("Transfer-Encoding").empty());
    CHECK(answer.body.find(stream ? "data: [DONE]\n\n" : "onetwo") != std::string::npos);
  }
  CHECK(host.nothing_left());
}

TEST_CASE("a caller that asks first is told to send its body, and only when it is wanted") {
  fake_engine engine{answer_words({"x"})};
  test_gateway host;
  host.dispatch.add("e1", engine.address());
  const std::string body = chat_body(false);
  const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
  raw_caller caller = host.caller();
  CHECK(caller.send(start + "Expect: 100-continue\r\n" + length + "\r\n"));
  CHECK(caller.receive().status == 100);
  CHECK(caller.send(body));
  CHECK(caller.receive().status == 200);
  raw_caller too_large = host.caller();
  CHECK(too_large.send(start + "Expect: 100-continue\r\nContent-Length: 100001\r\n\r\n"));
  CHECK(too_large.receive().status == 413);
  CHECK(host.nothing_left());
}

TEST_CASE("HEAD gets no body") {
  test_gateway host;
  raw_caller caller = host.caller();
  CHECK(caller.send("HEAD /healthz HTTP/1.1\r\nHost: h\r\n\r\n"));
  const raw_answer answer = caller.receive(true);
  CHECK(answer.status == 200);
  CHECK(caller.send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"));
  CHECK(caller.receive().status == 200);
}
