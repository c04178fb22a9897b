#pragma once

#include "kernel/kernel.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace sedgechute {

/// \brief An endpoint among which to choose.
struct choice_option {
  double cost{};  ///< in milliseconds
  double free{};  ///< free capacity, in requests
  double fixed{}; ///< the part of the cost that no load changes, such as a prompt to be read again
};

/// \brief A choice and the cheapest option.
struct option_choice {
  std::size_t chosen{};
  std::size_t cheapest{};
};

/// \brief Chooses one of the cheapest options at random, in proportion to their free capacity.
/// Options whose fixed cost is above that of the cheapest are not chosen.
/// \param hosts  that see the same figures; 1: the cheapest is chosen
/// \returns nothing when there is no option
[[nodiscard]] std::optional<option_choice>
choose_among(std::span<const choice_option> options, std::size_t hosts, random_source& random);

} // namespace sedgechute
