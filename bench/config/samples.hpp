#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

namespace sedgechute::bench {

/// \returns the sample below which `share` of all lie; 0 without samples
[[nodiscard]] inline double quantile(std::vector<double> samples, double share) {
  if (samples.empty())
    return 0;
  std::sort(samples.begin(), samples.end());
  const auto last = static_cast<double>(samples.size() - 1);
  return samples[static_cast<std::size_t>(std::lround(last * share))];
}

} // namespace sedgechute::bench
