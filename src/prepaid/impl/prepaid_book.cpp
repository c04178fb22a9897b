#include "prepaid/impl/prepaid_book.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace sedgechute {

namespace {

constexpr double ms_a_second = 1000;

// A host that has not used anything still counts with this many tokens a second, so that shares of
// a budget are defined before the first request.
constexpr double least_rate = 1;

std::uint64_t minus(std::uint64_t a, std::uint64_t b) noexcept {
  return a > b ? a - b : 0;
}

} // namespace

/// One team's budget over all hosts.
struct prepaid_book::pool_view {
  std::uint64_t free{};   ///< granted to nobody
  std::uint64_t unused{}; ///< free, or granted to a host that is there and not used by it
  double rates{};         ///< tokens a second of all hosts that are there
  std::size_t hosts{1};
};

prepaid_book::prepaid_book(std::string host, std::uint64_t incarnation,
                           const prepaid_options& options)
    : host_{std::move(host)}, incarnation_{incarnation}, options_{options} {}

void prepaid_book::apply(const account_record& record, std::uint64_t end, time_ms now) {
  team_state& state = teams_[record.team];
  state.accounts[record.host] = {record.value, now};
  // What an earlier life of this host was granted counts as used: it may have spent all of it, and
  // nothing tells. Its last record is the one that counts, since it may have handed tokens back.
  if (record.host == host_ && record.value.incarnation != incarnation_)
    state.written_off = record.value.granted;
  advance(end);
}

// An append whose answer was lost may be carried out late, but only while the log ends where it was
// meant to. Once the log is longer, it either was carried out and has been read, or never will be.
void prepaid_book::advance(std::uint64_t end) noexcept {
  if (end <= end_)
    return;
  end_ = end;
  for (auto& [team, state] : teams_)
    state.ceiling.reset();
}

const prepaid_book::team_state* prepaid_book::find(const std::string& team) const {
  const auto at = teams_.find(team);
  return at == teams_.end() ? nullptr : &at->second;
}

account prepaid_book::own_account(const team_state& state) const {
  const auto at = state.accounts.find(host_);
  if (at == state.accounts.end())
    return {.incarnation = incarnation_};
  account own = at->second.value;
  if (own.incarnation != incarnation_)
    own = {incarnation_, own.granted, own.granted, 0};
  return own;
}

/// Written off, spent and set aside.
std::uint64_t prepaid_book::own_use(const team_state& state) const {
  return state.written_off + state.settled + state.reserved;
}

std::uint64_t prepaid_book::own_slack(const team_state& state) const {
  const std::uint64_t granted = own_account(state).granted;
  return minus(std::min(granted, state.ceiling.value_or(granted)), own_use(state));
}

std::uint64_t prepaid_book::total_use(const team_state& state) const {
  std::uint64_t sum = own_use(state);
  for (const auto& [host, kept] : state.accounts)
    if (host != host_)
      sum += kept.value.used;
  return sum;
}

reserve_outcome prepaid_book::reserve(const std::string& team, std::uint64_t prepaid,
                                      std::uint64_t bound) {
  team_state& state = teams_[team];
  if (own_slack(state) >= bound) {
    state.reserved += bound;
    return reserve_outcome::reserved;
  }
  if (minus(prepaid, total_use(state)) < bound)
    return reserve_outcome::exhausted;
  state.wanted += bound;
  return reserve_outcome::short_here;
}

void prepaid_book::note_request(const std::string& team, std::uint64_t bound, time_ms now) {
  const auto tokens = static_cast<double>(bound);
  usual_request_ += (tokens - usual_request_) * (usual_request_ == 0 ? 1 : options_.usual_weight);
  team_state& state = teams_[team];
  if (state.rated_at == time_ms{})
    state.rated_at = now;
  ++state.requests;
}

void prepaid_book::settle(const std::string& team, std::uint64_t bound, std::uint64_t used) {
  team_state& state = teams_[team];
  state.reserved = minus(state.reserved, bound);
  state.settled += std::min(used, bound);
}

// Requests counted at their usual size: sizes differ a hundredfold, and what one large request used
// says little about the next seconds. Refused ones count too; their callers come back.
void prepaid_book::update_rate(team_state& state, time_ms now) const {
  const double elapsed = static_cast<double>((now - state.rated_at).count());
  if (state.rated_at == time_ms{} || elapsed <= 0) {
    state.rated_at = now;
    return;
  }
  const double wanted = static_cast<double>(state.requests) * usual_request_;
  const double weight = 1 - std::exp(-elapsed / static_cast<double>(options_.rate_window.count()));
  state.rate += (wanted * ms_a_second / elapsed - state.rate) * weight;
  state.requests = 0;
  state.rated_at = now;
}

prepaid_book::pool_view prepaid_book::view(const team_state& state, std::uint64_t prepaid,
                                           std::size_t hosts, time_ms now) const {
  pool_view pool;
  std::uint64_t granted = own_account(state).granted;
  pool.rates = std::max(state.rate, least_rate);
  pool.unused = own_slack(state);
  for (const auto& [host, kept] : state.accounts) {
    if (host == host_)
      continue;
    granted += kept.value.granted;
    if (now - kept.written > options_.away_after)
      continue;
    pool.unused += kept.value.slack();
    pool.rates += std::max(static_cast<double>(kept.value.rate), least_rate);
  }
  pool.free = minus(prepaid, granted);
  pool.unused += pool.free;
  pool.hosts = hosts;
  return pool;
}

// What the hosts hold together is dealt by their rates of use. It shrinks as a budget runs out, and
// the last tokens lie where the requests come.
std::uint64_t prepaid_book::target(const team_state& state, const pool_view& pool) const {
  const auto unused = static_cast<double>(pool.unused);
  const double idle = std::max(options_.idle_share * pool.rates, options_.least_use * unused) /
                      static_cast<double>(pool.hosts);
  const double rate = std::max(state.rate, least_rate) + idle;
  const double all = pool.rates + idle * static_cast<double>(pool.hosts);
  const double wish = pool.rates * static_cast<double>(options_.horizon.count()) / ms_a_second;
  const double held =
      std::clamp(wish, options_.least_held_part * unused, options_.most_held_part * unused);
  const double even = options_.most_held_part * unused / static_cast<double>(pool.hosts);
  const double usual =
      options_.kept_requests_per_host * static_cast<double>(pool.hosts) * usual_request_;
  const double part = std::max(held * rate / all, std::min(usual, even));
  return static_cast<std::uint64_t>(part) + state.wanted;
}

account prepaid_book::next_account(const team_state& state, const pool_view* pool) const {
  account next = own_account(state);
  const std::uint64_t use = own_use(state);
  next.used = use;
  if (pool == nullptr) {
    next.rate = 0;
    next.granted = std::min(next.granted, use);
    return next;
  }
  next.rate = static_cast<std::uint64_t>(state.rate);
  const std::uint64_t goal = target(state, *pool);
  const std::uint64_t slack = minus(next.granted, use);
  const bool low = static_cast<double>(slack) < options_.low_water * static_cast<double>(goal);
  const bool high = static_cast<double>(slack) > options_.high_water * static_cast<double>(goal);
  if (low)
    next.granted += std::min(minus(goal, slack), pool->free);
  if (high)
    next.granted = use + goal;
  return next;
}

std::vector<account_record> prepaid_book::plan(const std::map<std::string, std::uint64_t>& prepaid,
                                               time_ms now, bool leaving) {
  std::vector<account_record> records;
  const std::size_t there = hosts(now); // walks all accounts: once a plan, not once a team
  for (const auto& [team, paid] : prepaid) {
    team_state& state = teams_[team];
    update_rate(state, now);
    const account before = own_account(state);
    const pool_view pool = view(state, paid, there, now);
    const account next = next_account(state, leaving ? nullptr : &pool);
    state.wanted = 0;
    const auto at = state.accounts.find(host_);
    if (at == state.accounts.end() ? next.granted == 0 : at->second.value == next)
      continue;
    if (next.granted < before.granted)
      state.ceiling = std::min(next.granted, state.ceiling.value_or(next.granted));
    records.push_back({team, host_, next});
  }
  return records;
}

std::size_t prepaid_book::hosts(time_ms now) const {
  std::set<std::string_view> seen{host_};
  for (const auto& [team, state] : teams_)
    for (const auto& [host, kept] : state.accounts)
      if (now - kept.written <= options_.away_after)
        seen.insert(host);
  return seen.size();
}

std::uint64_t prepaid_book::used(const std::string& team) const {
  const team_state* state = find(team);
  return state == nullptr ? 0 : total_use(*state);
}

std::uint64_t prepaid_book::granted(const std::string& team) const {
  const team_state* state = find(team);
  std::uint64_t sum = 0;
  if (state != nullptr)
    for (const auto& [host, kept] : state->accounts)
      sum += kept.value.granted;
  return sum;
}

bool prepaid_book::grantable(const std::string& team, std::uint64_t prepaid,
                             std::uint64_t bound) const {
  return slack(team) + minus(prepaid, granted(team)) >= bound;
}

std::uint64_t prepaid_book::slack(const std::string& team) const {
  const team_state* state = find(team);
  return state == nullptr ? 0 : own_slack(*state);
}

} // namespace sedgechute
