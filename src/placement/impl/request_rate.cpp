#include "placement/impl/request_rate.hpp"

#include <cmath>

namespace sedgechute {

void request_rate::note(time_ms now) noexcept {
  constexpr double memory_ms = 2000;
  per_ms_ *= std::exp(-static_cast<double>((now - noted_).count()) / memory_ms);
  per_ms_ += 1 / memory_ms;
  noted_ = now;
}

} // namespace sedgechute
