#pragma once

#include "kernel/kernel.hpp"

#include <array>
#include <cstddef>

namespace sedgechute {

/// \brief Pauses between the last requests of a team at one host, which tell whether more are to be
/// expected. No I/O; not thread-safe.
class request_pauses {
 public:
  void note(time_ms now) noexcept;
  /// \returns whether the pause since the last request is no longer than those before it suggest;
  /// false before the first request
  [[nodiscard]] bool active(time_ms now) const noexcept;

 private:
  static constexpr std::size_t remembered = 16;
  static constexpr time_ms longest_pause{5000};

  static constexpr std::array<time_ms, remembered> unknown_pauses() noexcept {
    std::array<time_ms, remembered> pauses{};
    pauses.fill(longest_pause);
    return pauses;
  }

  bool known_{false};
  time_ms last_;
  std::array<time_ms, remembered> pauses_{unknown_pauses()}; ///< the oldest is replaced
  std::size_t next_{0};
};

} // namespace sedgechute
