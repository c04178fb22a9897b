#pragma once

#include "kernel/kernel.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace sedgechute {

/// \brief An endpoint among which to choose.
struct choice_option {
  double cost{};  ///< in milliseconds
  double step{1}; ///< what each further request adds to the cost
  double fixed{}; ///< the part of the cost that no load changes, such as a prompt to be read again
};

/// \brief A choice and the cheapest option.
struct option_choice {
  std::size_t chosen{};
  std::size_t cheapest{};
};

/// \brief Chooses one of the cheapest options at random, in proportion to their free capacity: the
/// requests that each can take until its cost is that of the others. Options whose fixed cost is
/// above that of the cheapest are not chosen.
/// \param unseen  requests that other hosts send by the same figures; 0: the cheapest is chosen
/// \returns nothing when there is no option
[[nodiscard]] std::optional<option_choice> choose_among(std::span<const choice_option> options,
                                                        double unseen, random_source& random);

} // namespace sedgechute
