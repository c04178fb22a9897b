// Tokens that hosts lend each other.

#include "prepaid/impl/loan_policy.hpp"
#include "prepaid/impl/partition_budgets.hpp"
#include "prepaid/impl/saturating_sub.hpp"

#include <algorithm>

namespace sedgechute {

std::uint64_t partition_budgets::lend(const std::string& team, std::uint64_t tokens, time_ms now,
                                      const std::string& borrower) {
  team_state& state = teams_[team];
  const std::uint64_t given = std::min(tokens, own_slack(state, now));
  state.lent += given;
  const std::uint64_t not_promised = std::min(tokens - given, own_unused(state));
  state.lent_since_update += static_cast<double>(given);
  state.unpromised_since_update += static_cast<double>(not_promised);
  state.asked_for.note(tokens, now);
  state.pauses.note(now);
  if (not_promised > 0)
    state.unpromised[borrower] = not_promised;
  else
    state.unpromised.erase(borrower);
  return given;
}

// Tokens that are promised and not used are lost when this host is killed, so the sum is bounded by
// what was asked for in the last second. One request is no rate, and is covered as a whole.
std::uint64_t partition_budgets::unpromised_demand(const team_state& state, time_ms now) {
  std::uint64_t sum = 0;
  std::uint64_t largest = 0;
  for (const auto& [host, tokens] : state.unpromised) {
    sum += tokens;
    largest = std::max(largest, tokens);
  }
  return std::max(largest, std::min(sum, static_cast<std::uint64_t>(state.asked_for.rate(now))));
}

bool partition_budgets::has_unpromised_demand(const std::string& team) const {
  const team_state* state = find(team);
  return state != nullptr && !state->unpromised.empty();
}

void partition_budgets::receive(const std::string& team, std::uint64_t tokens) {
  teams_[team].received += tokens;
}

void partition_budgets::begin_borrowing(const std::string& team, std::uint64_t bound) {
  teams_[team].borrowing += bound;
}

void partition_budgets::end_borrowing(const std::string& team, std::uint64_t bound) {
  std::uint64_t& borrowing = teams_[team].borrowing;
  borrowing = saturating_sub(borrowing, bound);
}

std::uint64_t partition_budgets::idle_loans(const std::string& team) const {
  const team_state* state = find(team);
  return state == nullptr
             ? 0
             : saturating_sub(unused_loans(*state), state->borrowing + state->wanted + state->kept);
}

std::vector<std::string> partition_budgets::release_kept_loans(time_ms now) {
  std::vector<std::string> idle;
  for (auto& [team, state] : teams_) {
    if (state.kept == 0 || !state.demand.idle(now))
      continue;
    state.kept = 0;
    if (idle_loans(team) > 0)
      idle.push_back(team);
  }
  return idle;
}

std::vector<std::string> partition_budgets::release_all_loans() {
  keeps_loans_ = false;
  std::vector<std::string> idle;
  for (auto& [team, state] : teams_) {
    state.kept = 0;
    if (idle_loans(team) > 0)
      idle.push_back(team);
  }
  return idle;
}

std::uint64_t partition_budgets::unfunded(const std::string& team, time_ms now) const {
  const team_state* state = find(team);
  return state == nullptr
             ? 0
             : saturating_sub(state->borrowing, own_slack(*state, now) + unused_loans(*state));
}

std::uint64_t partition_budgets::loan_ahead(const std::string& team, time_ms now) const {
  const team_state* state = find(team);
  return state == nullptr ? 0
                          : tokens_for(state->demand.rate(now), loan_ahead_window, state->prepaid);
}

std::uint64_t partition_budgets::give_back(const std::string& team, std::uint64_t tokens) {
  const std::uint64_t given = std::min(tokens, idle_loans(team));
  teams_[team].received -= given;
  return given;
}

// The next record reports them as unused; until then the current promise covers them.
void partition_budgets::take_back(const std::string& team, std::uint64_t tokens) {
  team_state& state = teams_[team];
  state.lent = saturating_sub(state.lent, tokens);
  state.lent_since_update -= static_cast<double>(tokens);
}

// Borrowed tokens are kept for the requests that wait for loans, which may not have woken up yet.
std::uint64_t partition_budgets::shortfall(const std::string& team, std::uint64_t bound,
                                           time_ms now) const {
  const team_state* state = find(team);
  if (state == nullptr)
    return bound;
  return saturating_sub(
      bound, saturating_sub(own_slack(*state, now) + unused_loans(*state), state->borrowing));
}

std::vector<token_holder> partition_budgets::holders(const std::string& team) const {
  std::vector<token_holder> all;
  if (const team_state* state = find(team))
    for (const auto& [host, kept] : state->accounts)
      if (host != host_ && kept.value.slack() > 0)
        all.push_back({host, kept.value.slack()});
  return all;
}

} // namespace sedgechute
