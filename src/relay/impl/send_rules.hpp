#pragma once

#include "relay/impl/fleet_config.hpp"
#include "relay/impl/send_outcome.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sedgechute {

/// \brief How far a request has come.
struct send_progress {
  int sends{};            ///< that reached an endpoint
  int unreachable{};      ///< endpoints that took no connection
  bool may_have_run{};    ///< at one of them, at least in part
  std::uint64_t events{}; ///< that its caller has
  bool stream_begun{};    ///< its caller has the header of a stream
  bool caller_failed{};
  bool cut{}; ///< the stop of this host ended a write to the caller
};

/// \returns whether the route forbids another send once a run may have begun
[[nodiscard]] bool runs_once(const route& on) noexcept;

/// \returns whether the route allows another send after a run that may have begun
[[nodiscard]] bool may_run_again(const route& on, int sends) noexcept;

/// \brief Whether a request may be sent once more.
enum class next_send {
  none,
  uncounted, ///< nothing has been sent yet: it repeats nothing
  counted,   ///< if time and the service's allowance of repeats are left
};

[[nodiscard]] next_send next_send_after(send_outcome end, const route& on,
                                        const send_progress& so_far) noexcept;

/// \param most  to an endpoint whose request may not be run again
/// \returns how long an endpoint may say nothing before the request goes elsewhere
[[nodiscard]] time_ms patience_with_endpoint(const route& on, const send_progress& so_far,
                                             time_ms most) noexcept;

/// \brief What a caller gets whose request is not sent any more.
enum class final_answer {
  none,            ///< it has left
  cut_stream,      ///< what it has of a stream must not look whole
  endpoints_error, ///< the error that the last endpoint answered
  refusal,
};

struct run_end {
  final_answer answer{final_answer::refusal};
  std::string_view reason;      ///< for the log; a refusal's is its own
  std::optional<error> refusal; ///< only with `final_answer::refusal`
};

/// \param retry_after  told where no endpoint took the request
[[nodiscard]] run_end end_of_run(send_outcome end, const send_progress& so_far,
                                 const std::string& service, time_ms retry_after);

/// \returns the urgency told to engines; 0 comes first
[[nodiscard]] int urgency_of(const route& on) noexcept;

} // namespace sedgechute
