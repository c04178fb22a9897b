#include "prepaid/impl/partition_budgets.hpp"

#include "prepaid/impl/loan_policy.hpp"
#include "prepaid/impl/saturating_sub.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace sedgechute {

namespace {

constexpr double ms_per_second = 1000;

// Rate in tokens per second assumed for a host without any use, so that shares of a budget are
// defined before the first request.
constexpr double min_rate = 1;

} // namespace

/// Totals of one team's budget over all hosts.
struct partition_budgets::budget_summary {
  std::uint64_t free{};         ///< not granted to any host
  std::uint64_t unused{};       ///< free, or granted to a host that wrote recently and unused
  double total_rate{};          ///< tokens per second of all holding hosts
  std::size_t hosts{1};         ///< holding hosts, including this one
  double remaining_fraction{1}; ///< unused part of the budget
};

partition_budgets::partition_budgets(std::string host, std::uint64_t incarnation,
                                     const clock_reading& started, const prepaid_options& options)
    : host_{std::move(host)}, incarnation_{incarnation}, started_{started}, options_{options} {}

// Whatever an earlier incarnation of this host may have used counts as used. The exact number is
// unknown, but it kept to the promise of its last record until it ended, which was before this
// incarnation began.
void partition_budgets::apply(const account_record& record, std::uint64_t end, time_ms now) {
  team_state& state = teams_[record.team];
  const auto known = state.accounts.find(record.host);
  // Restored by a host that knew of no account: a deleted one is invisible to a host that starts.
  if (record.value == account{} && known != state.accounts.end() &&
      known->second.value.granted > 0) {
    state.overwritten.insert(record.host);
    return advance(end);
  }
  // A record that another host restored does not show that its owner is still there.
  if (known == state.accounts.end() || known->second.value != record.value)
    state.accounts[record.host] = {record.value, now};
  const bool was_unreadable = state.unreadable.erase(record.host) > 0;
  if (record.host == host_ && record.value.incarnation != incarnation_) {
    state.previous_incarnation = record.value;
    write_off_previous_incarnation(state);
  } else if (record.host == host_) {
    state.unpromised.clear();
    if (was_unreadable) // written by `write_off_unreadable`
      state.written_off = record.value.used;
  }
  state.overwritten.erase(record.host);
  if (record.recorded_budget)
    apply(budget_record{record.team, *record.recorded_budget});
  advance(end);
}

std::vector<std::string> partition_budgets::known_keys() const {
  std::vector<std::string> keys;
  for (const auto& [team, state] : teams_) {
    for (const auto& [host, kept] : state.accounts)
      keys.push_back(account_key(team, host));
    if (state.recorded_budget)
      keys.push_back(budget_key(team));
  }
  return keys;
}

// Recorded budgets are never lowered, so a smaller one is another writer's.
void partition_budgets::apply(const budget_record& record) {
  team_state& state = teams_[record.team];
  state.budget_overwritten = state.recorded_budget > record.tokens;
  state.recorded_budget = std::max(state.recorded_budget.value_or(0), record.tokens);
}

void partition_budgets::note_unreadable_budget(const std::string& team) {
  teams_[team].budget_overwritten = true;
}

void partition_budgets::forget_budget(const std::string& team) {
  teams_[team].recorded_budget.reset();
  note_unreadable_budget(team);
}

std::optional<std::uint64_t> partition_budgets::recorded_budget(const std::string& team) const {
  const team_state* state = find(team);
  return state == nullptr ? std::nullopt : state->recorded_budget;
}

// A host that has read all records knows the previous account under the key. One that has just
// started does not: if it took the account for empty, it would grant those tokens a second time.
// Hosts that know the account write it again, and all hosts can read it.
void partition_budgets::note_unreadable(const std::string& team, const std::string& host,
                                        time_ms now) {
  team_state& state = teams_[team];
  if (!state.accounts.contains(host))
    state.unreadable.emplace(host, now);
  else
    state.overwritten.insert(host);
}

void partition_budgets::note_overwritten(const std::string& team, const std::string& host,
                                         time_ms now) {
  team_state& state = teams_[team];
  if (!state.unreadable.contains(host))
    state.accounts.try_emplace(host, known_account{account{}, now});
  note_unreadable(team, host, now);
}

void partition_budgets::forget_account(const std::string& team, const std::string& host) {
  team_state& state = teams_[team];
  if (host == host_ && state.unacknowledged.empty())
    return;
  state.accounts.erase(host);
  state.overwritten.erase(host); // nothing is known to restore
}

void partition_budgets::write_off_previous_incarnation(team_state& state) const {
  const account& last = *state.previous_incarnation;
  const auto elapsed = max_elapsed(last.written, started_);
  state.written_off = elapsed ? max_used(last, *elapsed) : last.granted;
}

std::vector<write_off> partition_budgets::write_offs() const {
  std::vector<write_off> all;
  for (const auto& [team, state] : teams_)
    if (state.previous_incarnation)
      all.push_back({team, *state.previous_incarnation,
                     max_elapsed(state.previous_incarnation->written, started_),
                     state.written_off});
  return all;
}

// A corrected bound may only shrink: tokens have been used according to the first one.
void partition_budgets::restate_start(const clock_reading& started) {
  started_ = started;
  for (auto& [team, state] : teams_) {
    if (!state.previous_incarnation)
      continue;
    const std::uint64_t before = state.written_off;
    write_off_previous_incarnation(state);
    state.written_off = std::min(state.written_off, before);
  }
}

// An append whose answer was lost may take effect late, but only while the log ends at its offset.
// Once the log is longer, the append either took effect and has been read, or never will.
void partition_budgets::advance(std::uint64_t end) noexcept {
  if (end <= end_)
    return;
  end_ = end;
  for (auto& [team, state] : teams_)
    state.unacknowledged.clear();
}

bool partition_budgets::is_unreadable(const std::string& team, const std::string& host) const {
  const team_state* state = find(team);
  return state != nullptr && state->unreadable.contains(host);
}

const partition_budgets::team_state* partition_budgets::find(const std::string& team) const {
  const auto at = teams_.find(team);
  return at == teams_.end() ? nullptr : &at->second;
}

// A new incarnation writes its own record before it uses any tokens: an append of an earlier
// incarnation may still take effect until the log is longer.
account partition_budgets::own_account(const team_state& state) const {
  const auto at = state.accounts.find(host_);
  if (at == state.accounts.end())
    return {.incarnation = incarnation_};
  account own = at->second.value;
  if (own.incarnation != incarnation_)
    own = {.incarnation = incarnation_, .granted = own.granted, .used = state.written_off};
  return own;
}

std::uint64_t partition_budgets::unused_loans(const team_state& state) noexcept {
  return saturating_sub(state.received, state.settled + state.reserved);
}

// Borrowed tokens are used first; their lenders have counted them as used.
std::uint64_t partition_budgets::own_use(const team_state& state) const {
  return state.written_off + state.lent +
         saturating_sub(state.settled + state.reserved, state.received);
}

std::uint64_t partition_budgets::own_unused(const team_state& state) const {
  std::uint64_t granted = own_account(state).granted;
  for (const account& written : state.unacknowledged)
    granted = std::min(granted, written.granted);
  return saturating_sub(granted, own_use(state));
}

std::uint64_t partition_budgets::own_slack(const team_state& state, time_ms now) const {
  const auto at = state.accounts.find(host_);
  if (at == state.accounts.end() || at->second.value.incarnation != incarnation_)
    return 0;
  const account& known = at->second.value;
  std::uint64_t allowed = max_used(known, now - known.written.boot);
  for (const account& written : state.unacknowledged)
    allowed = std::min(allowed, max_used(written, now - written.written.boot));
  return saturating_sub(allowed, own_use(state));
}

std::optional<time_ms> partition_budgets::covered_after(const std::string& team,
                                                        std::uint64_t bound, time_ms now) const {
  const team_state* state = find(team);
  if (state == nullptr)
    return std::nullopt;
  const auto at = state->accounts.find(host_);
  if (at == state->accounts.end() || at->second.value.incarnation != incarnation_)
    return std::nullopt;
  const std::uint64_t needed = own_use(*state) + saturating_sub(bound, unused_loans(*state));
  time_ms longest{};
  const auto wait_for = [&](const account& known) {
    const auto after = time_until_used(known, needed);
    if (after)
      longest = std::max(longest, *after - (now - known.written.boot));
    return after.has_value();
  };
  const bool covered =
      wait_for(at->second.value) &&
      std::all_of(state->unacknowledged.begin(), state->unacknowledged.end(), wait_for);
  return covered ? std::optional{longest} : std::nullopt;
}

std::uint64_t partition_budgets::total_granted(const team_state& state) noexcept {
  std::uint64_t sum = 0;
  for (const auto& [host, kept] : state.accounts)
    sum += kept.value.granted;
  return sum;
}

std::uint64_t partition_budgets::total_use(const team_state& state) const {
  std::uint64_t sum = own_use(state);
  for (const auto& [host, kept] : state.accounts)
    if (host != host_)
      sum += kept.value.used;
  return sum;
}

reserve_outcome partition_budgets::reserve(const std::string& team, std::uint64_t prepaid,
                                           std::uint64_t bound, time_ms now) {
  team_state& state = teams_[team];
  state.prepaid = prepaid;
  if (own_slack(state, now) + unused_loans(state) >= bound) {
    state.reserved += bound;
    return reserve_outcome::reserved;
  }
  if (saturating_sub(prepaid, total_use(state)) + unused_loans(state) < bound)
    return reserve_outcome::exhausted;
  return reserve_outcome::short_here;
}

void partition_budgets::begin_waiting(const std::string& team, std::uint64_t bound) {
  teams_[team].wanted += bound;
}

void partition_budgets::end_waiting(const std::string& team, std::uint64_t bound) {
  std::uint64_t& wanted = teams_[team].wanted;
  wanted = saturating_sub(wanted, bound);
}

void partition_budgets::note_request(const std::string& team, std::uint64_t bound, time_ms now) {
  const auto tokens = static_cast<double>(bound);
  mean_request_ +=
      (tokens - mean_request_) * (mean_request_ == 0 ? 1 : options_.request_size_weight);
  team_state& state = teams_[team];
  if (state.rate_updated_at == time_ms{})
    state.rate_updated_at = now;
  ++state.requests;
  state.demand.note(bound, now);
  state.pauses.note(now);
  if (keeps_loans_)
    state.kept = tokens_for(state.demand.rate(now), loan_kept_window, state.prepaid);
}

void partition_budgets::settle(const std::string& team, std::uint64_t bound, std::uint64_t used) {
  team_state& state = teams_[team];
  state.reserved = saturating_sub(state.reserved, bound);
  state.settled += std::min(used, bound);
}

// Counts requests at their mean size: sizes differ a hundredfold, and what one large request used
// predicts little of the next seconds. Refused requests count too, since their callers retry.
// Dividing by `rate_weight` keeps the time before the first request from counting as a rate of
// zero.
void partition_budgets::update_rate(team_state& state, time_ms now) const {
  const double elapsed = static_cast<double>((now - state.rate_updated_at).count());
  if (state.rate_updated_at == time_ms{} || elapsed <= 0) {
    state.rate_updated_at = now;
    return;
  }
  const double wanted =
      std::max(static_cast<double>(state.requests) * mean_request_ + state.lent_since_update, 0.0);
  const double weight =
      1 - std::exp(-elapsed / static_cast<double>(options_.rate_time_constant.count()));
  state.rate_weight += (1 - state.rate_weight) * weight;
  state.rate += (wanted * ms_per_second / elapsed - state.rate) * weight / state.rate_weight;
  const double lent = std::max(state.lent_since_update, 0.0);
  state.lent_rate +=
      (lent * ms_per_second / elapsed - state.lent_rate) * weight / state.rate_weight;
  state.unpromised_rate +=
      (state.unpromised_since_update * ms_per_second / elapsed - state.unpromised_rate) * weight /
      state.rate_weight;
  state.requests = 0;
  state.lent_since_update = 0;
  state.unpromised_since_update = 0;
  state.rate_updated_at = now;
}

partition_budgets::budget_summary
partition_budgets::summarize(const team_state& state, std::uint64_t prepaid, time_ms now) const {
  budget_summary pool;
  std::uint64_t granted = own_account(state).granted;
  pool.total_rate = std::max(state.rate, min_rate);
  pool.unused = own_unused(state);
  for (const auto& [host, kept] : state.accounts) {
    if (host == host_)
      continue;
    granted += kept.value.granted;
    if (now - kept.written > options_.host_timeout)
      continue;
    pool.unused += kept.value.slack();
    if (kept.value.slack() == 0)
      continue;
    ++pool.hosts;
    pool.total_rate += std::max(static_cast<double>(kept.value.rate), min_rate);
  }
  pool.free = state.unreadable.empty() ? saturating_sub(prepaid, granted) : 0;
  pool.unused += pool.free;
  if (prepaid > 0)
    pool.remaining_fraction =
        std::min(static_cast<double>(pool.unused) / static_cast<double>(prepaid), 1.0);
  return pool;
}

// The tokens that hosts hold together are divided by their rates of use. The total shrinks as a
// budget runs out, so that the last tokens are at the hosts that receive requests.
std::uint64_t partition_budgets::target_slack(const std::string& team, const team_state& state,
                                              const budget_summary& pool) const {
  if (!holds(team))
    return state.wanted;
  const auto unused = static_cast<double>(pool.unused);
  const double idle = std::max(options_.idle_rate_fraction * pool.total_rate,
                               options_.min_idle_rate_fraction * unused) /
                      static_cast<double>(pool.hosts);
  const double rate = std::max(state.rate, min_rate) + idle;
  const double all = pool.total_rate + idle * static_cast<double>(pool.hosts);
  const double desired =
      pool.total_rate * static_cast<double>(options_.horizon.count()) / ms_per_second;
  const double held =
      std::clamp(desired, options_.min_held_fraction * unused, options_.max_held_fraction * unused);
  const double even = options_.max_held_fraction * unused / static_cast<double>(pool.hosts);
  const double usual =
      options_.min_held_requests_per_host * static_cast<double>(pool.hosts) * mean_request_;
  const double part = std::max(held * rate / all, std::min(usual, even));
  return static_cast<std::uint64_t>(part) + state.wanted;
}

account partition_budgets::next_account(const std::string& team, const team_state& state,
                                        const budget_summary* pool) const {
  account next = own_account(state);
  const std::uint64_t use = own_use(state);
  next.used = use;
  if (pool == nullptr) {
    next.rate = 0;
    next.granted = std::min(next.granted, use);
    return next;
  }
  next.rate = static_cast<std::uint64_t>(state.rate);
  const std::uint64_t goal = target_slack(team, state, *pool);
  const std::uint64_t slack = saturating_sub(next.granted, use);
  const bool low = static_cast<double>(slack) < options_.low_watermark * static_cast<double>(goal);
  const bool high =
      static_cast<double>(slack) > options_.high_watermark * static_cast<double>(goal);
  if (low)
    next.granted += std::min(saturating_sub(goal, slack), pool->free);
  if (high)
    next.granted = use + goal;
  return next;
}

std::vector<account_record> partition_budgets::restored_accounts(const std::string& team,
                                                                 const team_state& state) const {
  std::vector<account_record> restored;
  for (const std::string& host : state.overwritten)
    if (host != host_)
      restored.push_back({team, host, state.accounts.at(host).value});
  return restored;
}

// No grant exceeds the recorded budget, and it is raised only in an append after which all accounts
// are readable. So it bounds what an account that was lost before can have been granted, whatever
// the team has paid for since.
std::optional<std::uint64_t> partition_budgets::budget_to_record(const team_state& state,
                                                                 std::uint64_t prepaid) {
  if (!state.unreadable.empty())
    return state.budget_overwritten ? state.recorded_budget : std::nullopt;
  const std::uint64_t most =
      std::max({prepaid, total_granted(state), state.recorded_budget.value_or(0)});
  const std::uint64_t budget = std::min(most, max_recorded_tokens);
  if (budget == state.recorded_budget && !state.budget_overwritten)
    return std::nullopt;
  return budget;
}

// All grants add up to at most the recorded budget, so an unreadable account was granted no more
// than what no other host holds of it. Hosts that still know it restore it with their next records.
// If no host knows it, the team would never be granted tokens again without this record. The owner
// waits for hosts that may restore it; other hosts wait longer, since the owner may be cut off.
// Where the recorded budget is unknown, or hosts of a release that records none granted more, the
// budget in force is the bound: the owner has certainly read the newest configuration by then.
std::optional<account_record>
partition_budgets::write_off_unreadable(const std::string& team, const team_state& state,
                                        std::uint64_t prepaid, const clock_reading& now) const {
  const std::uint64_t granted_to_others = total_granted(state);
  const bool bounded = state.recorded_budget && granted_to_others <= *state.recorded_budget;
  const std::uint64_t budget = bounded ? *state.recorded_budget : prepaid;
  for (const auto& [host, since] : state.unreadable) {
    const bool own = host == host_;
    if (now.boot - since < (own ? options_.own_unreadable_timeout : options_.host_timeout))
      continue;
    const std::uint64_t most = saturating_sub(budget, granted_to_others);
    return account_record{
        team,
        host,
        {.incarnation = own ? incarnation_ : 0, .granted = most, .used = most, .written = now}};
  }
  return std::nullopt;
}

bool partition_budgets::should_write(const team_state& state, const account& next,
                                     double remaining_fraction) const {
  const auto at = state.accounts.find(host_);
  if (at == state.accounts.end())
    return next.granted > 0;
  const account& known = at->second.value;
  if (known.granted != next.granted || state.wanted > 0 || !state.unpromised.empty() ||
      state.overwritten.contains(host_))
    return true;
  // A new incarnation without usable tokens promises nothing, as the last record already says.
  if (known.incarnation != next.incarnation)
    return next.slack() > 0;
  const bool changed = known.used != next.used || known.rate != next.rate ||
                       known.burst != next.burst || known.pace != next.pace || next.slack() > 0;
  const time_ms age = next.written.boot - known.written.boot;
  const std::uint64_t left = saturating_sub(max_used(known, age), next.used);
  const bool low = left < std::min(next.burst, next.slack()) / 2;
  const bool activity_changed =
      (known.pace == 0) != (next.pace == 0) || (known.outage_pace == 0) != (next.outage_pace == 0);
  const auto longer =
      static_cast<double>((options_.max_refresh_interval - options_.min_refresh_interval).count());
  const bool prompt = low || activity_changed;
  const time_ms rest{
      static_cast<std::int64_t>(prompt ? 0 : longer * remaining_fraction * remaining_fraction)};
  return changed && age >= options_.min_refresh_interval + rest;
}

std::vector<account_record>
partition_budgets::plan(const std::map<std::string, std::uint64_t>& prepaid,
                        const clock_reading& now, bool leaving) {
  std::vector<account_record> records;
  for (const auto& [team, paid] : prepaid) {
    team_state& state = teams_[team];
    update_rate(state, now.boot);
    if (state.accounts.empty()) // a new team: its first requests are to be expected
      state.pauses.note(now.boot);
    if (auto lost = leaving ? std::nullopt : write_off_unreadable(team, state, paid, now)) {
      records.push_back(std::move(*lost));
      continue;
    }
    for (account_record& restored : restored_accounts(team, state))
      records.push_back(std::move(restored));
    const budget_summary pool = summarize(state, paid, now.boot);
    account next = next_account(team, state, leaving ? nullptr : &pool);
    promise(team, next, state, pool.remaining_fraction, now);
    if (!should_write(state, next, pool.remaining_fraction))
      continue;
    state.unacknowledged.push_back(next);
    records.push_back({team, host_, next, budget_to_record(state, paid)});
  }
  return records;
}

bool partition_budgets::holds_tokens() const {
  return std::any_of(teams_.begin(), teams_.end(),
                     [&](const auto& known) { return own_account(known.second).slack() > 0; });
}

bool partition_budgets::needs_prompt_sync() const {
  return std::any_of(teams_.begin(), teams_.end(), [&](const auto& known) {
    return holds(known.first) || known.second.wanted > 0;
  });
}

std::size_t partition_budgets::holding_hosts(time_ms now) const {
  std::set<std::string_view> seen{host_};
  for (const auto& [team, state] : teams_)
    for (const auto& [host, kept] : state.accounts)
      if (kept.value.slack() > 0 && now - kept.written <= options_.host_timeout)
        seen.insert(host);
  return seen.size();
}

std::uint64_t partition_budgets::used(const std::string& team) const {
  const team_state* state = find(team);
  return state == nullptr ? 0 : total_use(*state);
}

std::uint64_t partition_budgets::granted(const std::string& team) const {
  const team_state* state = find(team);
  return state == nullptr ? 0 : total_granted(*state);
}

std::uint64_t partition_budgets::lent(const std::string& team) const {
  const team_state* state = find(team);
  return state == nullptr ? 0 : state->lent;
}

bool partition_budgets::grantable(const std::string& team, std::uint64_t prepaid,
                                  std::uint64_t bound) const {
  const team_state* state = find(team);
  const std::uint64_t here = state == nullptr ? 0 : own_unused(*state) + unused_loans(*state);
  const bool all_readable = state == nullptr || state->unreadable.empty();
  return here + (all_readable ? saturating_sub(prepaid, granted(team)) : 0) >= bound;
}

std::uint64_t partition_budgets::slack(const std::string& team, time_ms now) const {
  const team_state* state = find(team);
  return state == nullptr ? 0 : own_slack(*state, now) + unused_loans(*state);
}

} // namespace sedgechute
