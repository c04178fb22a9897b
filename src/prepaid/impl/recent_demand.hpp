#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>

namespace sedgechute {

/// \brief Tokens that were asked for lately, for decisions about the next half second. No I/O; not
/// thread-safe.
class recent_demand {
 public:
  /// \brief Time after which demand ends without a further request.
  static constexpr time_ms memory{3000};

  void note(std::uint64_t tokens, time_ms now) noexcept;
  /// \returns tokens a second; 0 if fewer than two requests are remembered
  [[nodiscard]] double rate(time_ms now) const noexcept;
  [[nodiscard]] bool idle(time_ms now) const noexcept { return !known_ || now - last_ > memory; }

 private:
  bool known_{false};
  time_ms first_;
  time_ms last_;
  double tokens_{0}; ///< of the requests after the first, older ones with less weight
};

} // namespace sedgechute
