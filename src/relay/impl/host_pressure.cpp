#include "relay/impl/host_pressure.hpp"

#include <algorithm>

namespace sedgechute {

time_ms retry_after_pressure(time_ms left, std::optional<time_ms> busy_for, double drawn,
                             const retry_hint_options& options) noexcept {
  if (!busy_for)
    return options.soon;
  const auto spread =
      time_ms{static_cast<std::int64_t>(drawn * static_cast<double>(options.spread.count()))};
  const time_ms until_balanced =
      std::max(options.balancer_delay - *busy_for, options.soon) + spread;
  const time_ms usable{left.count() / options.usable_divisor};
  return std::max(std::min(until_balanced, usable), options.soon);
}

} // namespace sedgechute
