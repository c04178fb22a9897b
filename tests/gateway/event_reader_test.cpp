#include "gateway/gateway.hpp"

#include <doctest/doctest.h>

#include <sstream>

using namespace sedgechute;

TEST_CASE("events carry position and data; comments are passed over") {
  std::istringstream in{": ping\n\nid: 4\ndata: {\"x\":1}\n\n\r\ndata: [DONE]\r\n\r\n"};
  event_reader reader{in};
  const auto first = reader.next();
  REQUIRE(first);
  CHECK(first->position == 4);
  CHECK(first->data == "{\"x\":1}");
  const auto last = reader.next();
  REQUIRE(last);
  CHECK(last->is_finish_marker());
  CHECK_FALSE(reader.next());
}

// An engine dies while it writes an event. Its connection ends in the middle of a line that, by
// chance, is a valid event up to there. Taking it would give the caller half a token, and the
// resumed stream would then repeat the token whole.
TEST_CASE("an event that was cut off is never returned") {
  for (const char* cut : {"data: {\"x\":1}", "data: {\"x\":1}\n", "id: 9\ndata: [DONE]"}) {
    std::istringstream in{cut};
    CHECK_FALSE(event_reader{in}.next());
  }
}

TEST_CASE("a chunk's content, finish reason and usage are read") {
  const auto chunk = parse_engine_chunk(
      R"({"choices":[{"index":0,"delta":{"content":"hi"},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":4,"prompt_tokens_details":{"cached_tokens":2}}})");
  REQUIRE(chunk);
  CHECK(chunk->content == "hi");
  CHECK(chunk->finish_reason == "stop");
  REQUIRE(chunk->usage);
  CHECK(chunk->usage->total() == 7);
  CHECK(chunk->usage->cached_tokens == 2);
  CHECK_FALSE(parse_engine_chunk("nonsense"));
}
