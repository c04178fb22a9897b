#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

/// \brief How one send to an endpoint ended.
enum class send_outcome {
  answered,    ///< the caller has its answer
  not_run,     ///< the endpoint refused it unrun
  unreachable, ///< nothing was sent: the endpoint refused the connection
  silent,      ///< nothing was sent: nothing answered
  failed,      ///< it may have run: the endpoint broke off, or sent no answer of this request
  own_error,   ///< the endpoint answered with an error of its own
  stalled,     ///< nothing came for so long that another endpoint is the better bet
  timed_out,   ///< the request's time was over
  caller_left,
  host_stopped, ///< it may have run: this host ended the wait
};

template <>
struct enum_names<send_outcome> {
  static constexpr auto entries =
      enum_table<send_outcome>({{send_outcome::answered, "answered"},
                                {send_outcome::not_run, "not_run"},
                                {send_outcome::unreachable, "unreachable"},
                                {send_outcome::silent, "silent"},
                                {send_outcome::failed, "failed"},
                                {send_outcome::own_error, "own_error"},
                                {send_outcome::stalled, "stalled"},
                                {send_outcome::timed_out, "timed_out"},
                                {send_outcome::caller_left, "caller_left"},
                                {send_outcome::host_stopped, "host_stopped"}});
};

} // namespace sedgechute
