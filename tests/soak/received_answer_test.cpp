// Callers of the soak read answers with a reader of its own; what it takes for whole must be whole.

#include "received_answer.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace sedgechute::soak;

namespace {

const std::string plain =
    "HTTP/1.1 200 OK\r\nResponse-Signature: m7\r\nContent-Length: 5\r\n\r\nhello";
const std::string stream_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("an answer with a length is whole with its last byte") {
  for (std::size_t length = 0; length < plain.size(); ++length) {
    const auto cut = read_answer(plain.substr(0, length));
    CHECK((!cut || !cut->whole));
  }
  const auto answer = read_answer(plain + "HTTP/1.1 200");
  REQUIRE(answer);
  CHECK(answer->whole);
  CHECK(answer->status == 200);
  CHECK(answer->mark == "m7");
  CHECK(answer->body == "hello");
  CHECK(answer->length == plain.size());
}

TEST_CASE("a stream is whole with its last chunk") {
  const std::string stream = stream_head + "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
  for (std::size_t length = 0; length < stream.size(); ++length) {
    const auto cut = read_answer(stream.substr(0, length));
    CHECK((!cut || !cut->whole));
  }
  const auto answer = read_answer(stream);
  REQUIRE(answer);
  CHECK(answer->whole);
  CHECK(answer->body == "hello world");
  CHECK(answer->length == stream.size());
}

TEST_CASE("events are counted as far as they follow each other") {
  const std::string two = event_text("a", 1) + event_text("a", 2);
  CHECK(read_events(two, "a").count == 2);
  CHECK(read_events(two, "a").in_order);
  CHECK_FALSE(read_events(two, "a").cut);
  const received_events cut = read_events(two + event_text("a", 3).substr(0, 6), "a");
  CHECK(cut.count == 2);
  CHECK(cut.in_order);
  CHECK(cut.cut);
}

TEST_CASE("events that are missing, doubled or another request's are not in order") {
  const std::string one = event_text("a", 1);
  CHECK_FALSE(read_events(one + event_text("a", 3), "a").in_order);
  CHECK_FALSE(read_events(one + one, "a").in_order);
  CHECK_FALSE(read_events(one + event_text("b", 2), "a").in_order);
  CHECK_FALSE(read_events(event_text("a", 2), "a").in_order);
}
