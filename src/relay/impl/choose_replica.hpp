#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/wire_dialect.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace sedgechute {

/// \brief Weights of the choice, in milliseconds of a caller's wait or as figures of the engines.
struct choice_weights {
  /// Prompt tokens that an engine reads in a millisecond.
  double tokens_read_a_ms{60};
  /// Tokens of a prompt that waits at an engine and of which nothing else is known.
  double waiting_prompt_tokens{2500};
  /// What each running answer adds to a step, and so to the wait of the next.
  double wait_for_each_running_ms{0.6};
  /// What a full batch costs a newcomer, for each request beyond its slots.
  double wait_beyond_slots_ms{60};
  /// Dislike of reading a token that another engine keeps: what it costs the engines' other
  /// callers, several times the time that the reading takes.
  double reread_token_ms{0.2};
  /// The same when the token is fetched from the engine that keeps it.
  double fetched_token_ms{0.02};
  /// Dislike of reading a token elsewhere than at its home, where the next prompts look for it:
  /// what it pushes out elsewhere is read again by others.
  double away_token_ms{0.04};
  /// Dislike of an endpoint that has failed each of its last requests.
  double failing_ms{3000};
  /// How long what an endpoint said of its load counts. Loads change within a second.
  time_ms load_stays{1500};
  /// Another data centre costs a round trip and traffic between them.
  double other_centre_ms{4};
};

/// \brief One endpoint as a candidate for one request.
struct replica_candidate {
  std::uint64_t open_here{};          ///< requests of this host that it works on
  std::uint64_t unread_tokens_here{}; ///< of prompts this host sent and that have no event yet
  std::uint64_t open_elsewhere{};     ///< the same of other hosts, as they told
  std::uint64_t unread_tokens_elsewhere{};
  std::optional<load_report> load; ///< as the endpoint told
  time_ms load_age;
  std::uint64_t sent_since_load{}; ///< by this host
  std::uint64_t slots{1};
  double failing{}; ///< 0: none of the last requests failed; 1: all
  bool other_centre{false};
  std::uint64_t missing_tokens{};   ///< of the prompt's shared start, that it does not keep
  std::uint64_t fetchable_tokens{}; ///< of these, that another endpoint keeps
  bool home{false};                 ///< prompts with this start belong here
};

/// \brief Requests that the endpoint works on or has waiting, as far as is known here.
[[nodiscard]] double expected_open(const replica_candidate& candidate,
                                   const choice_weights& weights) noexcept;

/// \brief The cost of sending a request there: its wait and what it costs others.
[[nodiscard]] double placement_cost(const replica_candidate& candidate, std::uint64_t prompt_tokens,
                                    const choice_weights& weights) noexcept;

/// \returns the index of the cheapest candidate; nothing when there is none
[[nodiscard]] std::optional<std::size_t> choose_replica(std::span<const replica_candidate> from,
                                                        std::uint64_t prompt_tokens,
                                                        const choice_weights& weights);

} // namespace sedgechute
