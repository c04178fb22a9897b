#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>

namespace sedgechute {

/// \brief State of a request after a failed attempt.
struct failed_request {
  bool may_have_run{};       ///< an endpoint may have run at least part of it
  bool idempotent{};         ///< running it twice is safe
  bool response_started{};   ///< the caller already holds part of a response that no other run can
                             ///< continue
  std::uint32_t attempts{1}; ///< attempts made, including the failed one
  std::uint32_t max_attempts{1};
};

/// \returns whether another attempt is permitted; deadline and retry budget are checked separately
[[nodiscard]] bool may_attempt_again(const failed_request& request) noexcept;

/// \returns the error for the caller if no further attempt is made
[[nodiscard]] error_kind refusal_after(const failed_request& request) noexcept;

} // namespace sedgechute
