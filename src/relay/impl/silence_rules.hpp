#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/peer_load_table.hpp"

#include <cstddef>
#include <vector>

namespace sedgechute {

/// \brief What this host has heard of a service's endpoints of late.
struct service_activity {
  std::size_t heard{};               ///< endpoints that have sent bytes
  std::size_t unused{};              ///< others without a request that waits for them
  std::vector<endpoint_hash> silent; ///< others with requests that wait, by incarnation
};

/// \brief A request whose endpoint has sent nothing for a while.
struct silent_send {
  time_ms silent_for;
  time_ms stall_after; ///< silence after which another endpoint is likely to be faster
  /// Silence after which the request is sent to another endpoint though none has been heard.
  time_ms unheard_after{};
  time_ms time_left; ///< until the deadline of the request
  bool may_run_again{};
  bool all_were_silent{}; ///< until a moment ago the decision was `all_silent`
  bool retry_left{};      ///< of the service's retry budget
  std::size_t heard{};    ///< see `service_activity`
  std::size_t unused{};
  std::size_t silent{}; ///< without the endpoint of this request
};

/// \brief Whether to wait for a silent endpoint alone, or to send the request to another one as
/// well. The first connection then stays open for `max_overlap`.
enum class silence_decision {
  too_short,   ///< wait: the silence is not unusual
  runs_once,   ///< wait: the request may not be sent again
  no_time,     ///< wait: its deadline has come
  all_silent,  ///< wait: the other endpoints are as silent
  others_back, ///< wait: they were, and have just gone on
  none_heard,  ///< wait: nothing shows that another endpoint would answer
  no_retry,    ///< wait: the retry budget is used up
  no_endpoint, ///< wait: no other endpoint may take the request
  send_beside,
};

template <>
struct enum_names<silence_decision> {
  static constexpr auto entries =
      enum_table<silence_decision>({{silence_decision::too_short, "too_short"},
                                    {silence_decision::runs_once, "runs_once"},
                                    {silence_decision::no_time, "no_time"},
                                    {silence_decision::all_silent, "all_silent"},
                                    {silence_decision::others_back, "others_back"},
                                    {silence_decision::none_heard, "none_heard"},
                                    {silence_decision::no_retry, "no_retry"},
                                    {silence_decision::no_endpoint, "no_endpoint"},
                                    {silence_decision::send_beside, "send_beside"}});
};

[[nodiscard]] silence_decision decide_on_silence(const silent_send& of) noexcept;

/// \returns whether the silence speaks against the endpoint, and not against its whole service
[[nodiscard]] bool is_fault_of_one(silence_decision decision) noexcept;

/// \param patience  time from the begin of the silence until the deadline of the request
/// \returns the silence after which a request is sent to another endpoint though none has been
/// heard
[[nodiscard]] time_ms unheard_timeout(time_ms patience) noexcept;

/// \returns for how long two endpoints may work on a request, from the send to the second one
[[nodiscard]] time_ms max_overlap() noexcept;

/// \returns for how long a request waits for its endpoint after others that were silent as well
/// have gone on
[[nodiscard]] time_ms others_back_wait() noexcept;

/// \returns how long ago an endpoint must have sent bytes not to count as silent
[[nodiscard]] time_ms activity_window(time_ms silent_for) noexcept;

/// \returns the time until a request whose endpoint stays silent is considered again
[[nodiscard]] time_ms silence_check_interval() noexcept;

} // namespace sedgechute
