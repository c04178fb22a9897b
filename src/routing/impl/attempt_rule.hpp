#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>

namespace sedgechute {

/// \brief What is known of a request one of whose attempts has failed.
struct failed_so_far {
  bool may_have_run{};       ///< at an endpoint, at least in part
  bool harmless_twice{};     ///< a second run does no harm
  bool answer_begun{};       ///< its caller has a part behind which no other run can go on
  std::uint32_t attempts{1}; ///< made, the last one included
  std::uint32_t most_attempts{1};
};

/// \returns whether another attempt may follow, if time is left and it can be afforded
[[nodiscard]] bool may_attempt_again(const failed_so_far& request) noexcept;

/// \returns what the caller is told when none follows
[[nodiscard]] error_kind refusal_after(const failed_so_far& request) noexcept;

} // namespace sedgechute
