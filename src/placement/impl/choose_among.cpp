#include "placement/impl/choose_among.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr double least_step = 0.001; ///< of a cost, in milliseconds

double step_of(const choice_option& one) noexcept {
  return std::max(one.step, least_step);
}

// The cost that the cheapest options have once the requests have gone to them. Each pass drops the
// options above the level of the one before, so few passes are needed.
double level_of(std::span<const choice_option> options, const choice_option& cheapest,
                double requests) noexcept {
  constexpr int most_passes = 8;
  double level = 0;
  for (int pass = 0; pass < most_passes; ++pass) {
    double requests_per_ms = 0;
    double sum = requests;
    for (const choice_option& one : options) {
      if (one.fixed > cheapest.fixed || (pass > 0 && one.cost >= level))
        continue;
      requests_per_ms += 1 / step_of(one);
      sum += one.cost / step_of(one);
    }
    const double next = sum / requests_per_ms;
    if (pass > 0 && next >= level)
      break;
    level = next;
  }
  return level;
}

} // namespace

std::optional<option_choice> choose_among(std::span<const choice_option> options, double unseen,
                                          random_source& random) {
  if (options.empty())
    return std::nullopt;
  option_choice made;
  for (std::size_t i = 1; i < options.size(); ++i)
    if (options[i].cost < options[made.cheapest].cost)
      made.cheapest = i;
  made.chosen = made.cheapest;
  if (unseen <= 0)
    return made;
  const choice_option& cheapest = options[made.cheapest];
  const double level = level_of(options, cheapest, unseen);
  double sum = 0;
  for (std::size_t i = 0; i < options.size(); ++i) {
    const choice_option& one = options[i];
    if (one.cost >= level || one.fixed > cheapest.fixed)
      continue;
    const double free = (level - one.cost) / step_of(one);
    sum += free;
    if (random.unit() * sum < free)
      made.chosen = i;
  }
  return made;
}

} // namespace sedgechute
