#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

/// \brief Why a host refuses a request because of load.
enum class refusal_cause {
  overload,      ///< its processor is overloaded
  open_requests, ///< as many requests are open as it can handle
  preparing,     ///< its team has used up its share of the requests in preparation
  memory,        ///< the bodies of open requests take up the memory for them
};

template <>
struct enum_names<refusal_cause> {
  static constexpr auto entries =
      enum_table<refusal_cause>({{refusal_cause::overload, "overload"},
                                 {refusal_cause::open_requests, "open_requests"},
                                 {refusal_cause::preparing, "preparing"},
                                 {refusal_cause::memory, "memory"}});
};

} // namespace sedgechute
