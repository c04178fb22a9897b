#include "placement/impl/choose_among.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// Options are alike whose cost exceeds the least one by no more than this part of it. With many
// hosts it is wider, as more requests go over before the figures show them.
constexpr double alike_part = 0.3;
constexpr double hosts_of_full_part = 16;

constexpr double least_free = 0.25; ///< keeps full endpoints in the choice when all are full

} // namespace

std::optional<option_choice> choose_among(std::span<const choice_option> options,
                                          std::size_t hosts, random_source& random) {
  if (options.empty())
    return std::nullopt;
  option_choice made;
  for (std::size_t i = 1; i < options.size(); ++i)
    if (options[i].cost < options[made.cheapest].cost)
      made.cheapest = i;
  made.chosen = made.cheapest;
  if (hosts <= 1)
    return made;
  const choice_option& least = options[made.cheapest];
  const double part =
      alike_part * std::min(1.0, static_cast<double>(hosts - 1) / hosts_of_full_part);
  const double margin = std::max(0.0, least.cost - least.fixed) * part;
  // The nearer the cost is to the margin, the less the option counts, so that none comes in or
  // drops out at once.
  double sum = 0;
  for (std::size_t i = 0; i < options.size(); ++i) {
    const choice_option& one = options[i];
    const double above = one.cost - least.cost;
    if (i != made.cheapest && (above >= margin || one.fixed > least.fixed))
      continue;
    const double weight =
        std::max(one.free, least_free) * (margin > 0 ? 1 - above / margin : 1);
    sum += weight;
    if (random.unit() * sum < weight)
      made.chosen = i;
  }
  return made;
}

} // namespace sedgechute
