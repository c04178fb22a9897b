#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/peer_load_table.hpp"

#include <optional>

namespace sedgechute {

/// \brief How a restart of an endpoint was detected.
enum class restart_source {
  list,     ///< its entry has another start time
  endpoint, ///< the endpoint, when asked, reported another start time
};

template <>
struct enum_names<restart_source> {
  static constexpr auto entries = enum_table<restart_source>(
      {{restart_source::list, "list"}, {restart_source::endpoint, "endpoint"}});
};

/// \brief A restart of an endpoint under the same id. The new process has no state of the old one.
struct endpoint_restart {
  endpoint_id endpoint;
  restart_source found_by{restart_source::list};
  time_ms before;  ///< previously known start time, by the endpoint's wall clock
  time_ms started; ///< start time known now
};

/// \returns the hash that identifies one incarnation of an endpoint in reports between hosts
/// \param started  start time by the endpoint's wall clock; nothing when it is unknown
[[nodiscard]] endpoint_hash incarnation_of(const endpoint_id& id,
                                           std::optional<time_ms> started) noexcept;

} // namespace sedgechute
