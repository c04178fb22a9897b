#include "relay/impl/request_content.hpp"

#include "kernel/kernel.hpp"

#include <array>
#include <charconv>

namespace sedgechute {

// Header fields other than the host are left out: callers may send different ones with each
// attempt.
std::uint64_t content_of(const request_head& head, std::string_view body,
                         std::string_view team) noexcept {
  const std::string* host = head.fields.find("Host");
  const std::uint64_t authority = host != nullptr ? stable_hash(*host) : 0;
  const std::uint64_t target = mix_hash(stable_hash(head.method), stable_hash(head.target));
  return mix_hash(mix_hash(mix_hash(authority, target), stable_hash(team)), stable_hash(body));
}

std::string content_text(std::uint64_t content) {
  constexpr int base = 16;
  std::array<char, 16> digits{};
  char* const end = std::to_chars(digits.data(), digits.data() + digits.size(), content, base).ptr;
  const std::string text{digits.data(), end};
  return std::string(digits.size() - text.size(), '0') + text;
}

} // namespace sedgechute
