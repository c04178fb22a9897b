#pragma once

#include "kernel/kernel.hpp"
#include "placement/placement.hpp"
#include "relay/impl/wire_dialect.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace sedgechute {

/// \brief Weights of the placement cost, most of them in milliseconds of a caller's waiting time.
struct choice_weights {
  /// Prompt tokens that an engine prefills per millisecond.
  double tokens_read_a_ms{60};
  /// Assumed length of a prompt that waits at an engine and whose size is unknown.
  double waiting_prompt_tokens{2500};
  /// Time that each running answer adds to an engine step, and so to the wait of a new request.
  double wait_for_each_running_ms{0.6};
  /// Wait of a new request at a full batch, for each request beyond the engine's slots.
  double wait_beyond_slots_ms{60};
  /// Cost of prefilling a token that another engine has cached. It covers the delay of the engine's
  /// other callers, and so is several times the prefill time.
  double reread_token_ms{0.2};
  /// Cost of fetching a cached token from another engine.
  double fetched_token_ms{0.02};
  /// Cost of caching a token elsewhere than at the home endpoint of its prefix, where later prompts
  /// look for it: the tokens that it evicts there have to be prefilled again.
  double away_token_ms{0.04};
  /// Cost of an endpoint that has failed each of its last requests.
  double failing_ms{3000};
  /// Maximum age of a load report that is still used. Loads change within a second.
  time_ms max_load_age{1500};
  /// Another data centre costs a round trip and traffic between them.
  double other_centre_ms{4};
};

/// \brief One endpoint as a candidate for one request.
struct replica_candidate {
  std::uint64_t open_here{};          ///< requests of this host in flight at the endpoint
  std::uint64_t unread_tokens_here{}; ///< prompt tokens of those that have had no event yet
  std::uint64_t open_elsewhere{};     ///< requests of other hosts, as they reported
  std::uint64_t unread_tokens_elsewhere{};
  std::optional<load_report> load; ///< last one from the endpoint
  time_ms load_age;
  std::uint64_t sent_since_load{}; ///< requests that this host sent since that report
  std::uint64_t slots{1};
  double failing{}; ///< 0: none of the last requests failed; 1: all
  bool other_centre{false};
  std::uint64_t missing_tokens{};   ///< tokens of the shared prefix that it has not cached
  std::uint64_t fetchable_tokens{}; ///< missing tokens that another endpoint has cached
  bool home{false};                 ///< home endpoint of the prefix
};

/// \returns an estimate of the requests that run or wait at the endpoint
[[nodiscard]] double expected_open(const replica_candidate& candidate,
                                   const choice_weights& weights) noexcept;

/// \returns the cost of sending a request to the endpoint, in milliseconds: its expected wait and
/// the delay that it causes for other requests
[[nodiscard]] double placement_cost(const replica_candidate& candidate, std::uint64_t prompt_tokens,
                                    const choice_weights& weights) noexcept;

/// \returns the weights of a service of which no answers are known yet
[[nodiscard]] wait_weights initial_wait_weights(const choice_weights& weights) noexcept;

/// \brief The costs of a candidate beside its load, in milliseconds.
struct other_costs {
  double prefix{}; ///< of the shared prefix that it has not cached
  double all{};    ///< that, its failures and the way to it
};

[[nodiscard]] other_costs other_costs_of(const replica_candidate& candidate,
                                         std::uint64_t prompt_tokens,
                                         const choice_weights& weights) noexcept;

/// \returns the index of the cheapest candidate; nothing when there is none
[[nodiscard]] std::optional<std::size_t> choose_replica(std::span<const replica_candidate> from,
                                                        std::uint64_t prompt_tokens,
                                                        const choice_weights& weights);

} // namespace sedgechute
