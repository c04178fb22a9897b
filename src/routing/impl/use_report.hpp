#pragma once

#include "routing/impl/load_estimate.hpp"

#include <vector>

namespace sedgechute {

/// \brief One host's own requests at one endpoint.
struct endpoint_use {
  endpoint_id endpoint;
  std::uint32_t running{};
  unread_by_urgency unread{}; ///< prompt tokens not read yet
};

/// \brief A prompt prefix that one host has just sent to an endpoint.
struct prefix_place {
  std::uint64_t block{}; ///< hash of its last block that is recorded
  endpoint_id endpoint;
};

/// \brief A host's requests at the endpoints, told as they change where hosts are few.
struct use_report {
  incarnation from;
  std::uint64_t sequence{};
  bool whole{true}; ///< endpoints left out have none; else they are as before
  std::vector<endpoint_use> uses;
  std::vector<prefix_place> places; ///< since the last report
};

} // namespace sedgechute
