// Two decoders of chunked bodies: one takes bytes as they come, the other waits for them.

#include "gateway/impl/body_decoder.hpp"
#include "intake/intake.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

using namespace sedgechute;

namespace {

class text_source final : public byte_source {
 public:
  explicit text_source(std::string_view text) : left_{text} {}

  int next_byte() override {
    if (left_.empty())
      return -1;
    const char byte = left_.front();
    left_.remove_prefix(1);
    return static_cast<unsigned char>(byte);
  }
  std::size_t read_some(char* into, std::size_t most) override {
    const std::size_t count = left_.copy(into, most);
    left_.remove_prefix(count);
    return count;
  }
  [[nodiscard]] std::size_t left() const noexcept { return left_.size(); }

 private:
  std::string_view left_;
};

struct decoded {
  std::string body;
  std::size_t left{};
  bool whole{};
  bool malformed{};
};

decoded by_waiting(const std::string& text) {
  text_source source{text};
  body_decoder decoder{source, {body_framing::chunked, 0}};
  decoded seen;
  std::string block(64, '\0');
  while (decoder.state() == body_state::open)
    seen.body.append(block, 0, decoder.read(block.data(), block.size()));
  seen.left = source.left();
  seen.whole = decoder.state() == body_state::whole;
  seen.malformed = decoder.state() == body_state::malformed;
  return seen;
}

decoded by_pieces(const std::string& text, std::size_t piece) {
  chunk_decoder decoder{{.body_bytes = std::size_t{1} << 40U}};
  decoded seen;
  std::size_t used = 0;
  while (used < text.size() && decoder.state() == chunk_state::arriving)
    used += decoder.decode(std::string_view{text}.substr(used, piece), seen.body);
  seen.left = text.size() - used;
  seen.whole = decoder.state() == chunk_state::whole;
  seen.malformed = decoder.state() == chunk_state::malformed;
  return seen;
}

/// \returns a chunked body with some bytes changed, or without a part
std::string damaged_body() {
  std::string text;
  const int chunks = *rc::gen::inRange(0, 5);
  for (int i = 0; i < chunks; ++i) {
    const std::string data = *rc::gen::string<std::string>();
    constexpr std::string_view digits = "0123456789abcdef";
    const std::size_t size = std::min<std::size_t>(data.size(), 15);
    if (size > 0)
      text += std::string{digits[size]} + *rc::gen::element<std::string>("", ";a", ";a=\"b\"") +
              "\r\n" + data.substr(0, size) + "\r\n";
  }
  text += "0\r\n" + *rc::gen::element<std::string>("", "A: b\r\n") + "\r\nrest";
  const int changes = *rc::gen::inRange(0, 3);
  for (int i = 0; i < changes; ++i) {
    const auto at = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(text.size())));
    text[at] = *rc::gen::element('\r', '\n', '0', 'f', ';', ' ', 'x', '\0');
  }
  return text.substr(
      0, static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(text.size()) + 1)));
}

} // namespace

// Two readings of where a body ends would let a caller hide a second request in it.
TEST_CASE("both decoders of chunked bodies agree on every body and on where it ends") {
  CHECK(rc::check("whole alike, with the same bytes", [] {
    const std::string text = damaged_body();
    const decoded waited = by_waiting(text);
    const decoded pieces = by_pieces(text, static_cast<std::size_t>(*rc::gen::inRange(1, 20)));
    RC_ASSERT(waited.whole == pieces.whole);
    if (waited.whole) {
      RC_ASSERT(waited.body == pieces.body);
      RC_ASSERT(waited.left == pieces.left);
    }
    if (waited.malformed)
      RC_ASSERT(pieces.malformed);
  }));
}
