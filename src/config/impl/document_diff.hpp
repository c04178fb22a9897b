#pragma once

#include "config/impl/json_node.hpp"

namespace sedgechute {

/// \brief One place at which two documents differ.
struct difference {
  std::string pointer; ///< JSON pointer; entries of a list are named by their id or name
  std::string before;  ///< JSON text; empty when the place is new
  std::string after;   ///< JSON text; empty when the place is gone

  bool operator==(const difference&) const = default;
};

/// \brief Compares two documents. Entries of lists are matched by `id`, `name` or their own text,
/// so that one more entry shows as one difference.
[[nodiscard]] std::vector<difference> diff_documents(const json_node& before,
                                                     const json_node& after);

} // namespace sedgechute
