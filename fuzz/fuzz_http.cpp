// Requests of callers and streams of engines of any bytes: a header is taken or refused, a body
// reads the same however its bytes arrive, and what is sent to an engine reads as what the caller
// sent.

#include "gateway/impl/body_decoder.hpp"
#include "gateway/impl/chat_request.hpp"
#include "gateway/impl/event_reader.hpp"
#include "gateway/impl/request_header.hpp"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <sstream>
#include <string>
#include <string_view>

namespace {

using namespace sedgechute;

constexpr std::size_t most_bytes = 1U << 16U;

/// Gives its bytes in pieces of at most so many.
class pieces final : public byte_source {
 public:
  pieces(std::string_view bytes, std::size_t piece) : bytes_{bytes}, piece_{piece} {}

  int next_byte() override {
    if (bytes_.empty())
      return -1;
    const auto byte = static_cast<unsigned char>(bytes_.front());
    bytes_.remove_prefix(1);
    return byte;
  }

  std::size_t read_some(char* into, std::size_t most) override {
    const std::size_t count = std::min({most, piece_, bytes_.size()});
    std::memcpy(into, bytes_.data(), count);
    bytes_.remove_prefix(count);
    return count;
  }

 private:
  std::string_view bytes_;
  std::size_t piece_;
};

struct decoded {
  std::string body;
  body_state state{};

  bool operator==(const decoded&) const = default;
};

decoded decode(std::string_view bytes, const message_framing& framing, std::size_t piece) {
  pieces source{bytes, piece};
  body_decoder decoder{source, framing};
  decoded result;
  char buffer[97];
  while (const std::size_t count = decoder.read(buffer, sizeof buffer)) {
    result.body.append(buffer, count);
    if (result.body.size() > most_bytes)
      break;
  }
  result.state = decoder.state();
  return result;
}

void check_body(std::string_view bytes, const message_framing& framing) {
  if (!(decode(bytes, framing, 1) == decode(bytes, framing, most_bytes)))
    std::abort();
}

void check_header(std::string_view text) {
  const std::size_t end = text.find("\r\n\r\n");
  if (end == std::string_view::npos)
    return;
  const std::string_view header = text.substr(0, end + 4);
  try {
    const message_framing framing = check_request_header(header, {});
    // A line that ends in a bare LF would be one header here and two at the next program.
    for (std::size_t i = 0; i < header.size(); ++i)
      if (header[i] == '\0' || (header[i] == '\n' && (i == 0 || header[i - 1] != '\r')))
        std::abort();
    check_body(text.substr(end + 4), framing);
  } catch (const error&) { // NOLINT(bugprone-empty-catch): a refusal is a good answer
  }
}

void check_chat(const std::string& body) {
  try {
    const chat_limits limits;
    const chat_request asked = parse_chat_request(body, limits);
    const chat_request sent = parse_chat_request(asked.engine_body, limits);
    if (sent.model != asked.model || sent.max_tokens != asked.max_tokens ||
        sent.prompt_bound != asked.prompt_bound || sent.prefix_blocks != asked.prefix_blocks)
      std::abort();
  } catch (const error&) { // NOLINT(bugprone-empty-catch): a refusal is a good answer
  }
}

void check_events(const std::string& bytes) {
  std::istringstream in{bytes};
  event_reader reader{in};
  while (const auto event = reader.next())
    if (event->data.size() > bytes.size())
      std::abort();
}

} // namespace

// The fuzzer calls it by this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string bytes{reinterpret_cast<const char*>(data), size};
  check_header(bytes);
  check_body(bytes, {body_framing::chunked, 0});
  check_chat(bytes);
  check_events(bytes);
  return 0;
}
