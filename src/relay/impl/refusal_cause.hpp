#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

/// \brief Why a host refuses a request because of load.
enum class refusal_cause {
  overload,      ///< its processor is overloaded
  open_requests, ///< as many requests are open as it can handle
  preparing,     ///< its team has used up its share of the requests in preparation
  late,          ///< it cannot get a place at an endpoint in time
  queue_full,    ///< too many wait for places, and they go before it
  yielded,       ///< it waited for a place and has made room for another request
  stopping,      ///< it would have to wait, and the host stops
};

template <>
struct enum_names<refusal_cause> {
  static constexpr auto entries =
      enum_table<refusal_cause>({{refusal_cause::overload, "overload"},
                                 {refusal_cause::open_requests, "open_requests"},
                                 {refusal_cause::preparing, "preparing"},
                                 {refusal_cause::late, "late"},
                                 {refusal_cause::queue_full, "queue_full"},
                                 {refusal_cause::yielded, "yielded"},
                                 {refusal_cause::stopping, "stopping"}});
};

} // namespace sedgechute
