#include "relay/relay.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

TEST_CASE("fields are found without regard to case and keep their order") {
  const request_head head = parse_request_head(
      "GET /a/b?x=1 HTTP/1.1\r\nHost: example\r\nX-One: 1\r\nx-two:  2 \r\n\r\n");
  CHECK(head.method == "GET");
  CHECK(head.target == "/a/b?x=1");
  CHECK(head.path() == "/a/b");
  REQUIRE(head.fields.find("X-TWO") != nullptr);
  CHECK(*head.fields.find("X-TWO") == "2");
  CHECK(head.fields.number("x-one") == 1);
  CHECK_FALSE(head.fields.number("host"));
}

TEST_CASE("hop-by-hop fields are removed, including those listed in Connection") {
  header_fields fields;
  fields.add("Connection", "close, X-Mine");
  fields.add("Keep-Alive", "timeout=5");
  fields.add("Transfer-Encoding", "chunked");
  fields.add("X-Mine", "1");
  fields.add("X-Other", "2");
  fields.remove_hop_by_hop();
  REQUIRE(fields.all().size() == 1);
  CHECK(fields.all().front().name == "X-Other");
}

TEST_CASE("invalid response headers are rejected") {
  CHECK_FALSE(parse_response_head("garbage\r\n\r\n"));
  CHECK_FALSE(parse_response_head("HTTP/1.1 99 Low\r\n\r\n"));
  CHECK_FALSE(parse_response_head("HTTP/1.1 2x0 Odd\r\n\r\n"));
  CHECK_FALSE(parse_response_head("HTTP/1.1 200 OK\r\nno colon here\r\n\r\n"));
  for (const char* const status : {"000", "099", "99", "0", "-20", "20x", "+200", "0200", "2000",
                                   "1000", "600", "999", "200OK", ""}) {
    INFO(std::string{status});
    CHECK_FALSE(parse_response_head(std::string{"HTTP/1.1 "} + status + " X\r\n\r\n"));
    CHECK_FALSE(parse_response_head(std::string{"HTTP/1.1 "} + status + "\r\n\r\n"));
  }
  CHECK_FALSE(parse_response_head("HTTP/1.x 200 OK\r\n\r\n"));
  CHECK_FALSE(parse_response_head("HTTP/1.10 200 OK\r\n\r\n"));
  CHECK(parse_response_head("HTTP/1.1 200\r\n\r\n").has_value());
  CHECK(parse_response_head("HTTP/1.1 200 \r\n\r\n").has_value());
  const auto head = parse_response_head("HTTP/1.0 200 OK\r\nA: b\r\n\r\n");
  REQUIRE(head.has_value());
  CHECK(head->status == 200);
  CHECK(head->old_version);
}
