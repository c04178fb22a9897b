#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

/// \brief Result of sending a request to an endpoint once.
enum class send_outcome {
  answered,    ///< the caller has received the answer
  not_run,     ///< the endpoint refused the request without running it
  unreachable, ///< not sent: the endpoint refused the connection
  silent,      ///< not sent: the connect timed out
  withheld,    ///< not sent: meanwhile the endpoint asked for no more requests
  failed,      ///< may have run: the connection broke, or the reply was not for this request
  own_error,   ///< the endpoint answered with an error
  stalled,     ///< given up for another endpoint after a silence of this one
  superseded,  ///< an earlier send of the request went on while this one had yielded nothing
  timed_out,   ///< the deadline of the request passed
  caller_left,
  host_stopped, ///< may have run: the stop of this host ended the wait
};

template <>
struct enum_names<send_outcome> {
  static constexpr auto entries =
      enum_table<send_outcome>({{send_outcome::answered, "answered"},
                                {send_outcome::not_run, "not_run"},
                                {send_outcome::unreachable, "unreachable"},
                                {send_outcome::silent, "silent"},
                                {send_outcome::withheld, "withheld"},
                                {send_outcome::failed, "failed"},
                                {send_outcome::own_error, "own_error"},
                                {send_outcome::stalled, "stalled"},
                                {send_outcome::superseded, "superseded"},
                                {send_outcome::timed_out, "timed_out"},
                                {send_outcome::caller_left, "caller_left"},
                                {send_outcome::host_stopped, "host_stopped"}});
};

} // namespace sedgechute
