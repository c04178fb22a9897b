#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

/// \brief The life of one attempt to run a request.
enum class request_state {
  accepted,   ///< read and checked
  reserved,   ///< its upper bound is set aside from the budget
  claimed,    ///< its key is claimed for one entry host; may be dispatched from now on
  dispatched, ///< sent to an endpoint
  answered,   ///< ended with a complete answer
  refused,    ///< ended without having been dispatched
  abandoned,  ///< ended with unknown outcome
};

template <>
struct enum_names<request_state> {
  static constexpr auto entries =
      enum_table<request_state>({{request_state::accepted, "accepted"},
                                 {request_state::reserved, "reserved"},
                                 {request_state::claimed, "claimed"},
                                 {request_state::dispatched, "dispatched"},
                                 {request_state::answered, "answered"},
                                 {request_state::refused, "refused"},
                                 {request_state::abandoned, "abandoned"}});
};

/// \returns whether one table of transitions allows `from` to become `to`
[[nodiscard]] bool may_become(request_state from, request_state to) noexcept;

/// \returns whether nothing follows on `state`
[[nodiscard]] bool is_final(request_state state) noexcept;

} // namespace sedgechute
