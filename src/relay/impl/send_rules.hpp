#pragma once

#include "relay/impl/fleet_config.hpp"
#include "relay/impl/send_outcome.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sedgechute {

/// \brief Progress of a request.
struct send_progress {
  int sends{};            ///< number of sends that reached an endpoint
  int unreachable{};      ///< number of failed connects
  int max_unreachable{3}; ///< after which no other endpoint is tried
  bool may_have_run{};    ///< an endpoint may have run it, at least in part
  std::uint64_t events{}; ///< number of events that the caller has received
  bool stream_begun{};    ///< the caller has received the header of a stream
  bool caller_failed{};
  bool cut{}; ///< the stop of this host interrupted a write to the caller
};

/// \returns whether requests of the route must not run twice
[[nodiscard]] bool runs_once(const route& on) noexcept;

/// \returns whether a request that may have run may be sent again
/// \param sends  number of sends so far
[[nodiscard]] bool may_run_again(const route& on, int sends) noexcept;

/// \brief Whether a request may be sent again.
enum class next_send {
  none,
  uncounted, ///< allowed without using the retry budget, as the endpoint received nothing
  counted,   ///< allowed if time and the service's retry budget are left
};

/// \returns whether a request may be sent again after a send ended with `end`
[[nodiscard]] next_send next_send_after(send_outcome end, const route& on,
                                        const send_progress& so_far) noexcept;

/// \param most  limit for a request that may not be run again
/// \returns how long an endpoint may be silent before the request is sent elsewhere
[[nodiscard]] time_ms stall_timeout(const route& on, const send_progress& so_far,
                                    time_ms most) noexcept;

/// \brief The caller's answer when its request failed and is not sent again.
enum class final_answer {
  none,            ///< the caller has left
  cut_stream,      ///< the connection is reset, so that a partial stream does not look complete
  endpoints_error, ///< the error response of the last endpoint
  refusal,
};

struct run_end {
  final_answer answer{final_answer::refusal};
  std::string_view reason;      ///< for the log; empty for a refusal, whose error has the reason
  std::optional<error> refusal; ///< only with `final_answer::refusal`
};

/// \param retry_after  for the refusal when no endpoint accepted the request
[[nodiscard]] run_end end_of_run(send_outcome end, const send_progress& so_far,
                                 const std::string& service, time_ms retry_after);

/// \returns the urgency field of requests to engines; 0 is the most urgent
[[nodiscard]] int urgency_of(const route& on) noexcept;

} // namespace sedgechute
