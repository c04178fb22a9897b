#include "relay/relay.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

constexpr std::size_t max_header = 1024;
constexpr std::size_t max_body = 4096;

request_preview preview(const std::string& bytes) {
  return preview_request(bytes, max_header, max_body, max_body);
}

} // namespace

TEST_CASE("a request is complete with the last byte of its body") {
  const std::string text = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
  for (std::size_t i = 0; i < text.size(); ++i)
    CHECK(preview(text.substr(0, i)).state == preview_state::arriving);
  const request_preview whole = preview(text + "GET ");
  REQUIRE(whole.state == preview_state::whole);
  CHECK(whole.bytes == text.size());
  CHECK(whole.head.target == "/a");
}

// The poll would keep bodies of any size in its buffers, uncounted, until they are whole.
TEST_CASE("a large body is not waited for") {
  const std::string text = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab";
  const request_preview seen = preview_request(text, max_header, max_body, 2);
  REQUIRE(seen.state == preview_state::large);
  CHECK(seen.head.target == "/a");
  CHECK(seen.bytes == text.size() + 1);
  CHECK(preview_request(text + "c", max_header, max_body, 2).state == preview_state::whole);
}

// Requests without a plain body length are not previewed: a wrong guess of a request's end would
// take bytes of the next request for its own.
TEST_CASE("a request without a plain body length is not previewed") {
  CHECK(preview("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n").state ==
        preview_state::other);
  CHECK(preview("POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n").state ==
        preview_state::other);
  CHECK(preview("POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n").state ==
        preview_state::other);
  CHECK(preview("POST /a HTTP/1.1\r\nContent-Length: 5000\r\n\r\n").state == preview_state::other);
  CHECK(preview("no request\r\n\r\n").state == preview_state::other);
  CHECK(preview(std::string(max_header + 1, 'a')).state == preview_state::other);
}
