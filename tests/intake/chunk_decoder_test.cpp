#include "intake/intake.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

constexpr std::size_t max_body = 4096;

struct decoded {
  std::string body;
  std::size_t used{};
  chunk_state state{};
};

/// \param piece  bytes that arrive at once
decoded decode(const std::string& bytes, std::size_t piece = 1,
               const chunk_bounds& bounds = {.body_bytes = max_body}) {
  chunk_decoder decoder{bounds};
  decoded seen;
  for (std::size_t at = 0; at < bytes.size() && decoder.state() == chunk_state::arriving;
       at += piece)
    seen.used += decoder.decode(std::string_view{bytes}.substr(at, piece), seen.body);
  seen.state = decoder.state();
  return seen;
}

} // namespace

TEST_CASE("a chunked body is decoded from pieces of any size, and the bytes after it are left") {
  const std::string body = "3\r\nabc\r\nA;name=\"value\"\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n";
  for (std::size_t piece = 1; piece <= body.size() + 4; ++piece) {
    const decoded seen = decode(body + "GET ", piece);
    CHECK(seen.state == chunk_state::whole);
    CHECK(seen.body == "abc0123456789");
    CHECK(seen.used == body.size());
  }
}

TEST_CASE("a chunked body is whole with the last byte of its trailer") {
  const std::string body = "1\r\na\r\n0\r\n\r\n";
  for (std::size_t size = 0; size < body.size(); ++size)
    CHECK(decode(body.substr(0, size)).state == chunk_state::arriving);
  CHECK(decode(body).state == chunk_state::whole);
}

// A wrong guess of a body's end would take its bytes for the next request.
TEST_CASE("malformed chunks are rejected") {
  for (const char* body :
       {"\r\n", ";a\r\n", "g\r\n", "1 \r\n", "-1\r\n", "0x1\r\n", "123456789\r\n", "1\na\r\n",
        "1\r\nab\r\n", "1\r\na\n", "1\ra\r\n", "0\r\nTrailer\n"})
    CHECK(decode(body).state == chunk_state::malformed);
  CHECK(decode("1;" + std::string(300, 'x')).state == chunk_state::malformed);
  std::string trailer = "0\r\n";
  for (int i = 0; i < 20; ++i)
    trailer += "A: b\r\n";
  CHECK(decode(trailer).state == chunk_state::malformed);
}

TEST_CASE("a chunk beyond the maximum is rejected by its size") {
  CHECK(decode("1001\r\n").state == chunk_state::too_large);
  CHECK(decode("1000\r\n").state == chunk_state::arriving);
  CHECK(decode("ffffffff\r\n").state == chunk_state::too_large);
}

// Framing costs time for each byte, and the body's limit does not count it.
TEST_CASE("chunks of one byte pass, framing without a body in proportion is rejected") {
  const chunk_bounds bounds{.body_bytes = max_body, .framing_bytes = 100, .framing_per_byte = 16};
  std::string small;
  for (std::size_t i = 0; i < max_body; ++i)
    small += "1\r\nb\r\n";
  CHECK(decode(small + "0\r\n\r\n", 64, bounds).state == chunk_state::whole);
  std::string padded;
  for (int i = 0; i < 20; ++i)
    padded += "1;" + std::string(60, 'x') + "\r\nb\r\n";
  CHECK(decode(padded, 64, bounds).state == chunk_state::excessive_framing);
}
