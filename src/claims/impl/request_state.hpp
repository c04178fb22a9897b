#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

/// \brief The state of one attempt to run a request.
enum class request_state {
  accepted,   ///< read and checked
  reserved,   ///< the most tokens it can use are reserved from the budget
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

/// \returns whether an attempt in state `from` may change to `to`
[[nodiscard]] bool may_become(request_state from, request_state to) noexcept;

/// \returns whether `state` has no successor
[[nodiscard]] bool is_final(request_state state) noexcept;

} // namespace sedgechute
