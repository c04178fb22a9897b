#include "load/impl/answer_check.hpp"

#include <charconv>

namespace sedgechute::load {

void answer_check::content(std::string_view piece) {
  rest_ += piece;
  std::size_t begin = 0;
  for (std::size_t end = rest_.find(' '); end != std::string::npos; end = rest_.find(' ', begin)) {
    token(std::string_view{rest_}.substr(begin, end - begin));
    begin = end + 1;
  }
  rest_.erase(0, begin);
}

void answer_check::token(std::string_view text) {
  ++tokens_;
  if (fingerprint_.empty())
    return;
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos || text.substr(0, colon) != fingerprint_) {
    mixed_ = true;
    return;
  }
  std::int64_t index = 0;
  const std::string_view digits = text.substr(colon + 1);
  std::from_chars(digits.data(), digits.data() + digits.size(), index);
  if (index != tokens_)
    disordered_ = true;
}

} // namespace sedgechute::load
