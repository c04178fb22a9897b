#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/load_board.hpp"

#include <optional>

namespace sedgechute {

/// \brief What showed that an endpoint started again under its id.
enum class restart_source {
  list,     ///< its entry names another start
  endpoint, ///< it was asked, and named another start
};

template <>
struct enum_names<restart_source> {
  static constexpr auto entries = enum_table<restart_source>(
      {{restart_source::list, "list"}, {restart_source::endpoint, "endpoint"}});
};

/// \brief An endpoint started again under its id, and knows nothing of before.
struct endpoint_restart {
  endpoint_id endpoint;
  restart_source found_by{restart_source::list};
  time_ms before;  ///< the start that was known, by its machine's time of day
  time_ms started; ///< the start that is known now
};

/// \brief The name of an endpoint from one start to the next, by which the hosts speak of it.
/// \param started  by its machine's time of day; nothing when it does not tell
[[nodiscard]] endpoint_hash incarnation_of(const endpoint_id& id,
                                           std::optional<time_ms> started) noexcept;

} // namespace sedgechute
