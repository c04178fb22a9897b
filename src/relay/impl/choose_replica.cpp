#include "relay/impl/choose_replica.hpp"

#include <algorithm>

namespace sedgechute {

double expected_open(const replica_candidate& candidate, const choice_weights& weights) noexcept {
  const auto here = static_cast<double>(candidate.open_here + candidate.open_elsewhere);
  if (!candidate.load || candidate.load_age > weights.max_load_age)
    return here;
  const auto reported = static_cast<double>(candidate.load->running + candidate.load->waiting +
                                            candidate.sent_since_load);
  return std::max(here, reported);
}

double placement_cost(const replica_candidate& candidate, std::uint64_t prompt_tokens,
                      const choice_weights& weights) noexcept {
  const double open = expected_open(candidate, weights);
  const double beyond = std::max(0.0, open + 1 - static_cast<double>(candidate.slots));
  double cost = open * weights.wait_for_each_running_ms + beyond * weights.wait_beyond_slots_ms;
  cost += candidate.failing * weights.failing_ms;
  if (candidate.other_centre)
    cost += weights.other_centre_ms;
  if (prompt_tokens == 0)
    return cost;
  auto unread =
      static_cast<double>(candidate.unread_tokens_here + candidate.unread_tokens_elsewhere);
  if (candidate.load && candidate.load_age <= weights.max_load_age)
    unread = std::max(unread,
                      static_cast<double>(candidate.load->waiting) * weights.waiting_prompt_tokens);
  cost += unread / weights.tokens_read_a_ms;
  const auto missing = static_cast<double>(candidate.missing_tokens);
  const auto fetchable = static_cast<double>(candidate.fetchable_tokens);
  cost += fetchable * weights.fetched_token_ms + (missing - fetchable) * weights.reread_token_ms;
  return candidate.home ? cost : cost + missing * weights.away_token_ms;
}

// An idle endpoint needs some milliseconds, too. Without them the speeds of idle endpoints would
// make no difference until answers are known.
wait_weights initial_wait_weights(const choice_weights& weights) noexcept {
  constexpr double base_ms = 5;
  return {base_ms, weights.wait_for_each_running_ms, weights.wait_beyond_slots_ms,
          1 / weights.tokens_read_a_ms};
}

other_costs other_costs_of(const replica_candidate& candidate, std::uint64_t prompt_tokens,
                           const choice_weights& weights) noexcept {
  other_costs costs;
  if (prompt_tokens > 0) {
    const auto missing = static_cast<double>(candidate.missing_tokens);
    const auto fetchable = static_cast<double>(candidate.fetchable_tokens);
    costs.prefix =
        fetchable * weights.fetched_token_ms + (missing - fetchable) * weights.reread_token_ms;
    if (!candidate.home)
      costs.prefix += missing * weights.away_token_ms;
  }
  costs.all = costs.prefix + candidate.failing * weights.failing_ms;
  if (candidate.other_centre)
    costs.all += weights.other_centre_ms;
  return costs;
}

std::optional<std::size_t> choose_replica(std::span<const replica_candidate> from,
                                          std::uint64_t prompt_tokens,
                                          const choice_weights& weights) {
  std::optional<std::size_t> best;
  double least = 0;
  for (std::size_t i = 0; i < from.size(); ++i) {
    const double cost = placement_cost(from[i], prompt_tokens, weights);
    if (best && cost >= least)
      continue;
    best = i;
    least = cost;
  }
  return best;
}

} // namespace sedgechute
