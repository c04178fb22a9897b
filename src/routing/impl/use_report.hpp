#pragma once

#include "routing/impl/load_estimate.hpp"

#include <vector>

namespace sedgechute {

/// \brief One host's own requests at one endpoint.
struct endpoint_use {
  endpoint_id endpoint;
  std::uint32_t running{};
  unread_by_urgency unread{}; ///< prompt tokens not prefilled yet
};

/// \brief A prompt prefix that a host has sent to an endpoint.
struct prefix_place {
  std::uint64_t block{}; ///< chained hash of its longest recorded length
  endpoint_id endpoint;
};

/// \brief A host's requests at all endpoints. In small fleets it is sent on each change.
struct use_report {
  incarnation from;
  std::uint64_t sequence{};
  bool whole{true}; ///< absent endpoints have no requests; if false, theirs are unchanged
  std::vector<endpoint_use> uses;
  std::vector<prefix_place> places; ///< prefixes sent since the last report
};

} // namespace sedgechute
