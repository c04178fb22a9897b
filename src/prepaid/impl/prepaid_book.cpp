#include "prepaid/impl/prepaid_book.hpp"

#include "prepaid/impl/promise_policy.hpp"

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
  double rates{};         ///< tokens a second of all hosts that hold some
  std::size_t hosts{1};   ///< that hold some, and this one
  double left_part{1};    ///< of the budget: unused
};

prepaid_book::prepaid_book(std::string host, std::uint64_t incarnation,
                           const machine_moment& started, const prepaid_options& options)
    : host_{std::move(host)}, incarnation_{incarnation}, started_{started}, options_{options} {}

// What an earlier life of this host may have used counts as used. Nothing tells how much it was,
// but it kept to the promise of its last record until it ended, which was before this life began.
void prepaid_book::apply(const account_record& record, std::uint64_t end, time_ms now) {
  team_state& state = teams_[record.team];
  state.accounts[record.host] = {record.value, now};
  const bool was_unknown = state.unknown.erase(record.host) > 0;
  if (record.host == host_ && record.value.incarnation != incarnation_) {
    state.earlier_life = record.value;
    count_earlier_life(state);
  } else if (record.host == host_) {
    state.asked = 0;
    if (was_unknown) // by `write_off_unknown`
      state.written_off = record.value.used;
  }
  if (record.host == host_)
    state.overwritten = false;
  advance(end);
}

// A host that has read all records knows what stood under the key before. One that has just started
// does not: were it to take the account for empty, it would grant those tokens a second time.
// Whoever knows its own account writes it again, which ends the doubt for all.
void prepaid_book::note_unreadable(const std::string& team, const std::string& host, time_ms now) {
  team_state& state = teams_[team];
  if (!state.accounts.contains(host))
    state.unknown.emplace(host, now);
  else if (host == host_)
    state.overwritten = true;
}

void prepaid_book::count_earlier_life(team_state& state) const {
  const account& last = *state.earlier_life;
  const auto elapsed = longest_between(last.written, started_);
  state.written_off = elapsed ? most_used(last, *elapsed) : last.granted;
}

std::vector<write_off> prepaid_book::write_offs() const {
  std::vector<write_off> all;
  for (const auto& [team, state] : teams_)
    if (state.earlier_life)
      all.push_back({team, *state.earlier_life,
                     longest_between(state.earlier_life->written, started_), state.written_off});
  return all;
}

// A bound that is known better later on may only shrink: tokens have been used by the first one.
void prepaid_book::restate_start(const machine_moment& started) {
  started_ = started;
  for (auto& [team, state] : teams_) {
    if (!state.earlier_life)
      continue;
    const std::uint64_t before = state.written_off;
    count_earlier_life(state);
    state.written_off = std::min(state.written_off, before);
  }
}

// An append whose answer was lost may be carried out late, but only while the log ends where it was
// meant to. Once the log is longer, it either was carried out and has been read, or never will be.
void prepaid_book::advance(std::uint64_t end) noexcept {
  if (end <= end_)
    return;
  end_ = end;
  for (auto& [team, state] : teams_)
    state.in_the_air.clear();
}

const prepaid_book::team_state* prepaid_book::find(const std::string& team) const {
  const auto at = teams_.find(team);
  return at == teams_.end() ? nullptr : &at->second;
}

// A new life writes its own record before it uses anything: an append of an earlier life may still
// be carried out, and only a longer log ends that.
account prepaid_book::own_account(const team_state& state) const {
  const auto at = state.accounts.find(host_);
  if (at == state.accounts.end())
    return {.incarnation = incarnation_};
  account own = at->second.value;
  if (own.incarnation != incarnation_)
    own = {.incarnation = incarnation_, .granted = own.granted, .used = state.written_off};
  return own;
}

std::uint64_t prepaid_book::unused_loans(const team_state& state) noexcept {
  return minus(state.received, state.settled + state.reserved);
}

// Loans are used first; whoever lent them has counted them as used.
std::uint64_t prepaid_book::own_use(const team_state& state) const {
  return state.written_off + state.lent + minus(state.settled + state.reserved, state.received);
}

std::uint64_t prepaid_book::own_unused(const team_state& state) const {
  std::uint64_t granted = own_account(state).granted;
  for (const account& written : state.in_the_air)
    granted = std::min(granted, written.granted);
  return minus(granted, own_use(state));
}

std::uint64_t prepaid_book::own_slack(const team_state& state, time_ms now) const {
  const auto at = state.accounts.find(host_);
  if (at == state.accounts.end() || at->second.value.incarnation != incarnation_)
    return 0;
  const account& known = at->second.value;
  std::uint64_t allowed = most_used(known, now - known.written.boot);
  for (const account& written : state.in_the_air)
    allowed = std::min(allowed, most_used(written, now - written.written.boot));
  return minus(allowed, own_use(state));
}

std::optional<time_ms> prepaid_book::covered_in(const std::string& team, std::uint64_t bound,
                                                time_ms now) const {
  const team_state* state = find(team);
  if (state == nullptr)
    return std::nullopt;
  const auto at = state->accounts.find(host_);
  if (at == state->accounts.end() || at->second.value.incarnation != incarnation_)
    return std::nullopt;
  const std::uint64_t needed = own_use(*state) + minus(bound, unused_loans(*state));
  time_ms longest{};
  const auto wait_for = [&](const account& known) {
    const auto after = earliest_used(known, needed);
    if (after)
      longest = std::max(longest, *after - (now - known.written.boot));
    return after.has_value();
  };
  const bool covered = wait_for(at->second.value) &&
                       std::all_of(state->in_the_air.begin(), state->in_the_air.end(), wait_for);
  return covered ? std::optional{longest} : std::nullopt;
}

std::uint64_t prepaid_book::total_use(const team_state& state) const {
  std::uint64_t sum = own_use(state);
  for (const auto& [host, kept] : state.accounts)
    if (host != host_)
      sum += kept.value.used;
  return sum;
}

reserve_outcome prepaid_book::reserve(const std::string& team, std::uint64_t prepaid,
                                      std::uint64_t bound, time_ms now) {
  team_state& state = teams_[team];
  if (own_slack(state, now) + unused_loans(state) >= bound) {
    state.reserved += bound;
    return reserve_outcome::reserved;
  }
  if (minus(prepaid, total_use(state)) + unused_loans(state) < bound)
    return reserve_outcome::exhausted;
  return reserve_outcome::short_here;
}

void prepaid_book::want(const std::string& team, std::uint64_t bound) {
  teams_[team].wanted += bound;
}

void prepaid_book::unwant(const std::string& team, std::uint64_t bound) {
  std::uint64_t& wanted = teams_[team].wanted;
  wanted = minus(wanted, bound);
}

std::uint64_t prepaid_book::lend(const std::string& team, std::uint64_t tokens, time_ms now) {
  team_state& state = teams_[team];
  const std::uint64_t given = std::min(tokens, own_slack(state, now));
  state.lent += given;
  const std::uint64_t not_promised = std::min(tokens - given, own_unused(state));
  state.lent_lately += static_cast<double>(given);
  state.refused_lately += static_cast<double>(not_promised);
  state.asked = std::max(state.asked, not_promised);
  return given;
}

bool prepaid_book::is_asked(const std::string& team) const {
  const team_state* state = find(team);
  return state != nullptr && state->asked > 0;
}

void prepaid_book::receive(const std::string& team, std::uint64_t tokens) {
  teams_[team].received += tokens;
}

void prepaid_book::begin_borrowing(const std::string& team, std::uint64_t bound) {
  teams_[team].borrowing += bound;
}

void prepaid_book::end_borrowing(const std::string& team, std::uint64_t bound) {
  std::uint64_t& borrowing = teams_[team].borrowing;
  borrowing = minus(borrowing, bound);
}

std::uint64_t prepaid_book::idle_loans(const std::string& team) const {
  const team_state* state = find(team);
  return state == nullptr ? 0 : minus(unused_loans(*state), state->borrowing + state->wanted);
}

std::uint64_t prepaid_book::give_back(const std::string& team, std::uint64_t tokens) {
  const std::uint64_t given = std::min(tokens, idle_loans(team));
  teams_[team].received -= given;
  return given;
}

// The next record says that they are not used; until then the promise made before covers them.
void prepaid_book::take_back(const std::string& team, std::uint64_t tokens) {
  team_state& state = teams_[team];
  state.lent = minus(state.lent, tokens);
  state.lent_lately -= static_cast<double>(tokens);
}

// What has come for a request that waits for loans is that request's: it may not have woken up yet.
std::uint64_t prepaid_book::missing(const std::string& team, std::uint64_t bound,
                                    time_ms now) const {
  const team_state* state = find(team);
  if (state == nullptr)
    return bound;
  return minus(bound, minus(own_slack(*state, now) + unused_loans(*state), state->borrowing));
}

std::vector<token_holder> prepaid_book::holders(const std::string& team) const {
  std::vector<token_holder> all;
  if (const team_state* state = find(team))
    for (const auto& [host, kept] : state->accounts)
      if (host != host_ && kept.value.slack() > 0)
        all.push_back({host, kept.value.slack()});
  return all;
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
// says little about the next seconds. Refused ones count too; their callers come back. The first
// seconds count for themselves, not together with a past in which nothing was asked.
void prepaid_book::update_rate(team_state& state, time_ms now) const {
  const double elapsed = static_cast<double>((now - state.rated_at).count());
  if (state.rated_at == time_ms{} || elapsed <= 0) {
    state.rated_at = now;
    return;
  }
  const double wanted =
      std::max(static_cast<double>(state.requests) * usual_request_ + state.lent_lately, 0.0);
  const double weight = 1 - std::exp(-elapsed / static_cast<double>(options_.rate_window.count()));
  state.rate_weight += (1 - state.rate_weight) * weight;
  state.rate += (wanted * ms_a_second / elapsed - state.rate) * weight / state.rate_weight;
  const double lent = std::max(state.lent_lately, 0.0);
  state.lent_rate += (lent * ms_a_second / elapsed - state.lent_rate) * weight / state.rate_weight;
  state.refused_rate += (state.refused_lately * ms_a_second / elapsed - state.refused_rate) *
                        weight / state.rate_weight;
  state.requests = 0;
  state.lent_lately = 0;
  state.refused_lately = 0;
  state.rated_at = now;
}

prepaid_book::pool_view prepaid_book::view(const team_state& state, std::uint64_t prepaid,
                                           time_ms now) const {
  pool_view pool;
  std::uint64_t granted = own_account(state).granted;
  pool.rates = std::max(state.rate, least_rate);
  pool.unused = own_unused(state);
  for (const auto& [host, kept] : state.accounts) {
    if (host == host_)
      continue;
    granted += kept.value.granted;
    if (now - kept.written > options_.away_after)
      continue;
    pool.unused += kept.value.slack();
    if (kept.value.slack() == 0)
      continue;
    ++pool.hosts;
    pool.rates += std::max(static_cast<double>(kept.value.rate), least_rate);
  }
  pool.free = state.unknown.empty() ? minus(prepaid, granted) : 0;
  pool.unused += pool.free;
  if (prepaid > 0)
    pool.left_part = std::min(static_cast<double>(pool.unused) / static_cast<double>(prepaid), 1.0);
  return pool;
}

// What the hosts hold together is dealt by their rates of use. It shrinks as a budget runs out, and
// the last tokens lie where the requests come.
std::uint64_t prepaid_book::target(const std::string& team, const team_state& state,
                                   const pool_view& pool) const {
  if (!holds(team))
    return state.wanted;
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

account prepaid_book::next_account(const std::string& team, const team_state& state,
                                   const pool_view* pool) const {
  account next = own_account(state);
  const std::uint64_t use = own_use(state);
  next.used = use;
  if (pool == nullptr) {
    next.rate = 0;
    next.granted = std::min(next.granted, use);
    return next;
  }
  next.rate = static_cast<std::uint64_t>(state.rate);
  const std::uint64_t goal = target(team, state, *pool);
  const std::uint64_t slack = minus(next.granted, use);
  const bool low = static_cast<double>(slack) < options_.low_water * static_cast<double>(goal);
  const bool high = static_cast<double>(slack) > options_.high_water * static_cast<double>(goal);
  if (low)
    next.granted += std::min(minus(goal, slack), pool->free);
  if (high)
    next.granted = use + goal;
  return next;
}

void prepaid_book::promise(account& next, const team_state& state, const pool_view& pool,
                           const machine_moment& now) const {
  const use_promise of =
      promise_for({.unused = static_cast<double>(next.slack()),
                   .rate = static_cast<double>(next.rate),
                   .usual_request = usual_request_,
                   .lent_part = std::min(state.lent_rate / std::max(state.rate, least_rate), 1.0),
                   .refused_rate = state.refused_rate,
                   .left_part = pool.left_part},
                  options_);
  next.lead = of.lead + state.wanted + state.asked;
  next.pace = of.pace;
  next.later_pace = of.later_pace;
  next.later = of.later;
  next.written = now;
}

// All grants together are at most what was paid for, so an unreadable account granted no more than
// nobody else holds. Its owner writes it again at once if it still knows it; if it does not, nobody
// does, and without this record the team would never be granted anything again. The owner waits
// until it has surely read the newest configuration: a grant may rest on a budget raised meanwhile.
// Other hosts wait for longer, for an owner that may be cut off.
std::optional<account_record> prepaid_book::write_off_unknown(const std::string& team,
                                                              const team_state& state,
                                                              std::uint64_t prepaid,
                                                              const machine_moment& now) const {
  std::uint64_t granted_to_others = 0;
  for (const auto& [host, kept] : state.accounts)
    granted_to_others += kept.value.granted;
  for (const auto& [host, since] : state.unknown) {
    const bool own = host == host_;
    if (now.boot - since < (own ? options_.own_unknown_after : options_.away_after))
      continue;
    const std::uint64_t most = minus(prepaid, granted_to_others);
    return account_record{
        team,
        host,
        {.incarnation = own ? incarnation_ : 0, .granted = most, .used = most, .written = now}};
  }
  return std::nullopt;
}

bool prepaid_book::worth_writing(const team_state& state, const account& next) const {
  const auto at = state.accounts.find(host_);
  if (at == state.accounts.end())
    return next.granted > 0;
  const account& known = at->second.value;
  if (known.granted != next.granted || state.wanted > 0 || state.asked > 0 || state.overwritten)
    return true;
  // A new life that has nothing to use promises nothing: the last life's record says as much.
  if (known.incarnation != next.incarnation)
    return next.slack() > 0;
  const bool changed = known.used != next.used || known.rate != next.rate ||
                       known.lead != next.lead || known.pace != next.pace || next.later_pace > 0;
  return changed && next.written.boot - known.written.boot >= options_.refresh_after;
}

std::vector<account_record> prepaid_book::plan(const std::map<std::string, std::uint64_t>& prepaid,
                                               const machine_moment& now, bool leaving) {
  std::vector<account_record> records;
  for (const auto& [team, paid] : prepaid) {
    team_state& state = teams_[team];
    update_rate(state, now.boot);
    if (auto lost = leaving ? std::nullopt : write_off_unknown(team, state, paid, now)) {
      records.push_back(std::move(*lost));
      continue;
    }
    const pool_view pool = view(state, paid, now.boot);
    account next = next_account(team, state, leaving ? nullptr : &pool);
    promise(next, state, pool, now);
    if (!worth_writing(state, next))
      continue;
    state.in_the_air.push_back(next);
    records.push_back({team, host_, next});
  }
  return records;
}

bool prepaid_book::holds_tokens() const {
  return std::any_of(teams_.begin(), teams_.end(),
                     [&](const auto& known) { return own_account(known.second).slack() > 0; });
}

bool prepaid_book::is_pressed() const {
  return std::any_of(teams_.begin(), teams_.end(), [&](const auto& known) {
    return holds(known.first) || known.second.wanted > 0;
  });
}

std::size_t prepaid_book::holding_hosts(time_ms now) const {
  std::set<std::string_view> seen{host_};
  for (const auto& [team, state] : teams_)
    for (const auto& [host, kept] : state.accounts)
      if (kept.value.slack() > 0 && now - kept.written <= options_.away_after)
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

std::uint64_t prepaid_book::lent(const std::string& team) const {
  const team_state* state = find(team);
  return state == nullptr ? 0 : state->lent;
}

bool prepaid_book::grantable(const std::string& team, std::uint64_t prepaid,
                             std::uint64_t bound) const {
  const team_state* state = find(team);
  const std::uint64_t here = state == nullptr ? 0 : own_unused(*state) + unused_loans(*state);
  const bool all_known = state == nullptr || state->unknown.empty();
  return here + (all_known ? minus(prepaid, granted(team)) : 0) >= bound;
}

std::uint64_t prepaid_book::slack(const std::string& team, time_ms now) const {
  const team_state* state = find(team);
  return state == nullptr ? 0 : own_slack(*state, now) + unused_loans(*state);
}

} // namespace sedgechute
