#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

/// \brief The requests of a service that this host places in a second, over the last seconds.
class request_rate {
 public:
  void note(time_ms now) noexcept;
  /// \returns requests per millisecond, as of the last one
  [[nodiscard]] double per_ms() const noexcept { return per_ms_; }

 private:
  double per_ms_{};
  time_ms noted_;
};

} // namespace sedgechute
