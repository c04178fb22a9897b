#pragma once

#include "kernel/kernel.hpp"

#include <optional>

namespace sedgechute {

/// The shortest `Retry-After` that a host sends.
inline constexpr time_ms shortest_retry_after{50};

/// \brief Recognises a request that was refused before: its caller has less time left than at the
/// first attempt, by at least the time that it was told to wait.
/// \param patience  how long the caller still waits for the answer
/// \param usual     how long callers like it wait from the first attempt on
/// \returns false while one of them is not known
[[nodiscard]] bool is_returning(std::optional<time_ms> patience,
                                std::optional<time_ms> usual) noexcept;

} // namespace sedgechute
