#pragma once

#include <string>

namespace sedgechute {

/// \brief The requests of one priority and team, which compete with those of others.
struct request_flow {
  int priority{0};  ///< 0 is the highest of those in use; smaller is higher
  std::string team; ///< empty where no key is needed

  bool operator==(const request_flow&) const = default;
};

} // namespace sedgechute
