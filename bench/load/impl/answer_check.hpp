#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sedgechute::load {

/// \brief Checks an answer of a stand-in engine against the prompt it was asked, while it comes in.
class answer_check {
 public:
  /// \param fingerprint  of the prompt; empty when unknown: every answer is then taken as whole
  explicit answer_check(std::string fingerprint) : fingerprint_{std::move(fingerprint)} {}

  /// \brief Takes the next piece of content; a token may be split over pieces.
  void content(std::string_view piece);
  void finish_reason() noexcept { finished_ = true; }
  void finish_marker() noexcept { marked_ = true; }

  [[nodiscard]] std::int64_t tokens() const noexcept { return tokens_; }
  /// \returns whether a token came that belongs to another prompt
  [[nodiscard]] bool mixed() const noexcept { return mixed_; }
  /// \returns whether a token was missing, came twice or out of order
  [[nodiscard]] bool disordered() const noexcept { return disordered_; }
  /// \returns whether the answer ended without its finish reason or its finish marker
  [[nodiscard]] bool cut() const noexcept { return !finished_ || !marked_ || !rest_.empty(); }
  [[nodiscard]] bool whole() const noexcept { return !mixed_ && !disordered_ && !cut(); }

 private:
  void token(std::string_view text);

  std::string fingerprint_;
  std::string rest_; ///< begin of a token whose end has not come yet
  std::int64_t tokens_{0};
  bool mixed_{false};
  bool disordered_{false};
  bool finished_{false};
  bool marked_{false};
};

} // namespace sedgechute::load
