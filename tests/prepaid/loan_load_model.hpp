#pragma once

#include "log_model.hpp"
#include "prepaid/impl/token_wait.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <queue>

namespace sedgechute {

/// \brief What a fleet did in one run of `loan_load_model`.
struct loan_load_result {
  int requests{0};
  int refused{0};          ///< for want of tokens at the host, while the team has them
  int exhausted{0};        ///< told that the team's budget is used up
  int waited{0};           ///< served after a wait
  int messages{0};         ///< about loans, of all kinds
  int records{0};          ///< accounts appended to the log
  time_ms longest_wait{0}; ///< of any request, served or not
  std::uint64_t overspent{0};
};

struct loan_load {
  int hosts{81};
  time_ms length{6000};
  double lost{0.05}; ///< part of the messages between hosts
  double late{0.1};  ///< part of the messages that take up to `longest_delay`
  std::uint64_t seed{1};
};

/// \brief Hosts, their log and the messages between them in virtual time. Half of the callers are
/// at a sixteenth of the hosts, and at others every second. The first second has no requests.
class loan_load_model {
 public:
  explicit loan_load_model(const loan_load& load) : load_{load}, random_{load.seed} {
    for (int i = 0; i < teams; ++i)
      total_weight_ += weight_of(i);
    for (int i = 0; i < load.hosts; ++i)
      add_host(i);
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      for (std::size_t part = 0; part < partitions; ++part)
        at(time_ms{static_cast<std::int64_t>(random_.below(200))},
           [this, i, part] { begin_sync(i, part); });
    at(time_ms{1000}, [this] { arrive(); });
  }

  [[nodiscard]] loan_load_result run() {
    while (!events_.empty() && events_.top().when < load_.length + time_ms{2000}) {
      const event next = events_.top();
      events_.pop();
      now_ = next.when;
      next.run();
    }
    for (const auto& [team, spent] : spent_)
      if (spent > paid_.at(team))
        result_.overspent += spent - paid_.at(team);
    return result_;
  }

 private:
  static constexpr int teams = 24;
  static constexpr std::size_t partitions = 4;
  static constexpr double requests_per_host = 743.0 / 81; ///< a second
  static constexpr double most_requests = 743;
  static constexpr std::uint64_t least_tokens = 300;
  static constexpr std::uint64_t token_range = 2400;
  static constexpr double budget_seconds = 300;       ///< of a team's demand
  static constexpr time_ms longest_promise_wait{500}; ///< half of the latency target
  static constexpr std::uint64_t longest_delay = 200;
  static constexpr std::int64_t log_call = 4;

  struct event {
    time_ms when;
    std::uint64_t number{};
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::pair{other.when, other.number} < std::pair{when, number};
    }
  };
  struct part_state {
    std::unique_ptr<partition_budgets> budgets;
    bool loaded{false};
    bool requested{false};
    bool syncing{false};
    int tries{0};
    time_ms synced_at;
    time_ms due;
    std::uint64_t sync_count{0};
  };
  struct ask_state {
    std::string team;
    std::function<void(std::uint64_t)> answered; ///< empty once the request gave up
  };
  struct host_state {
    std::string name;
    int centre{};
    std::vector<part_state> parts;
    lent_ledger lent{2048};
    borrowed_ledger borrowed{64};
    std::map<std::uint64_t, ask_state> asks;
    std::map<std::string, time_ms> silent_until;
    std::vector<std::function<void()>> waiting; ///< looked at after each synchronization
  };
  struct request {
    std::size_t host{};
    std::string team;
    std::uint64_t bound{};
    time_ms began;
    int syncs{0};
    std::uint64_t needed{};
    std::uint64_t got{};
    std::size_t asked{0};
    time_ms loan_until;
    std::vector<token_holder> order;
    std::uint64_t waits{0}; ///< number of the current wait; earlier ones have ended
    bool tried_loan{false};
  };
  using request_ptr = std::shared_ptr<request>;

  static double weight_of(int team) { return 1.0 / (1 + team); }
  static std::string team_name(int team) { return "team-" + std::to_string(team); }
  [[nodiscard]] double rate() const {
    return std::min(most_requests, requests_per_host * load_.hosts);
  }

  void at(time_ms when, std::function<void()> run) {
    events_.push({when, ++last_event_, std::move(run)});
  }
  void after(std::int64_t ms, std::function<void()> run) { at(now_ + time_ms{ms}, std::move(run)); }

  void add_host(int number) {
    const int centres = load_.hosts < 3 ? 1 : 3;
    host_state host;
    host.name = "h" + std::to_string(number);
    host.centre = number % centres;
    std::vector<std::string> centre;
    for (int i = number % centres; i < load_.hosts; i += centres)
      centre.push_back("h" + std::to_string(i));
    for (std::size_t part = 0; part < partitions; ++part) {
      part_state state;
      state.budgets =
          std::make_unique<partition_budgets>(host.name, 1, clock_reading{}, prepaid_options{});
      const bool holds = holds_tokens_of(part, host.name, centre);
      state.budgets->set_holder_predicate([holds](const std::string&) { return holds; });
      host.parts.push_back(std::move(state));
    }
    hosts_.push_back(std::move(host));
    if (number > 0)
      return;
    for (int i = 0; i < teams; ++i) {
      const double tokens = most_requests < requests_per_host * load_.hosts
                                ? most_requests
                                : requests_per_host * load_.hosts;
      const double mean = least_tokens + token_range / 2.0;
      paid_[team_name(i)] =
          static_cast<std::uint64_t>(tokens * mean * budget_seconds * weight_of(i) / total_weight_);
    }
  }

  part_state& part_of(std::size_t host, const std::string& team) {
    return hosts_[host].parts[account_partition(team, partitions)];
  }
  std::map<std::string, std::uint64_t> paid_of(std::size_t part) const {
    std::map<std::string, std::uint64_t> of_part;
    for (const auto& [team, paid] : paid_)
      if (account_partition(team, partitions) == part)
        of_part.emplace(team, paid);
    return of_part;
  }

  // The log: a host reads, then appends on condition that the log has not grown.
  void request_sync(std::size_t host, std::size_t part) {
    hosts_[host].parts[part].requested = true;
    begin_sync(host, part);
  }
  void begin_sync(std::size_t host, std::size_t part) {
    part_state& state = hosts_[host].parts[part];
    if (state.syncing)
      return;
    state.syncing = true;
    state.requested = false;
    state.tries = 0;
    try_sync(host, part);
  }
  void try_sync(std::size_t host, std::size_t part) {
    after(log_call, [this, host, part] {
      part_state& state = hosts_[host].parts[part];
      logs_[part].read_into(*state.budgets, now_);
      state.loaded = true;
      const auto records = state.budgets->plan(paid_of(part), {now_, now_}, false);
      const std::uint64_t end = state.budgets->end();
      if (records.empty())
        return end_sync(host, part);
      after(log_call, [this, host, part, records, end] {
        part_state& state = hosts_[host].parts[part];
        if (logs_[part].append_at(end, records)) {
          result_.records += static_cast<int>(records.size());
          logs_[part].read_into(*state.budgets, now_);
          return end_sync(host, part);
        }
        if (++state.tries >= 6 || !state.budgets->needs_prompt_sync())
          return end_sync(host, part);
        const std::uint64_t longest = 12 + state.budgets->holding_hosts(now_) / 3;
        after(static_cast<std::int64_t>(1 + random_.below(longest)),
              [this, host, part] { try_sync(host, part); });
      });
    });
  }
  void end_sync(std::size_t host, std::size_t part) {
    part_state& state = hosts_[host].parts[part];
    const prepaid_options options;
    state.syncing = false;
    ++state.sync_count;
    state.synced_at = now_;
    const auto holders = static_cast<std::int64_t>(state.budgets->holding_hosts(now_));
    const time_ms interval =
        state.budgets->holds_tokens()
            ? options.report_interval + options.interval_per_holder * (holders - 1)
            : options.idle_interval;
    set_due(host, part, now_ + interval);
    std::vector<std::function<void()>> woken;
    woken.swap(hosts_[host].waiting);
    for (const auto& one : woken)
      one();
    if (state.requested)
      begin_sync(host, part);
  }
  void set_due(std::size_t host, std::size_t part, time_ms due) {
    hosts_[host].parts[part].due = due;
    at(std::max(due, now_), [this, host, part, due] {
      if (hosts_[host].parts[part].due == due)
        begin_sync(host, part);
    });
  }

  // Messages between hosts.
  void send(const std::string& to, const loan_message& message) {
    ++result_.messages;
    if (random_.unit() < load_.lost)
      return;
    const auto number = static_cast<std::size_t>(std::stoi(to.substr(1)));
    const std::uint64_t longest = random_.unit() < load_.late ? longest_delay : 10;
    after(static_cast<std::int64_t>(1 + random_.below(longest)),
          [this, number, message] { handle(number, message); });
  }
  void handle(std::size_t host, const loan_message& message) {
    host_state& here = hosts_[host];
    part_state& part = part_of(host, message.team);
    const loan_key key{message.host, message.team, message.number};
    switch (message.step) {
    case loan_step::asked: {
      const std::uint64_t given = part.budgets->lend(message.team, message.tokens, now_);
      if (given > 0)
        here.lent.note(key, given);
      if (given < message.tokens && part.budgets->has_unpromised_demand(message.team)) {
        const time_ms due = part.synced_at + prepaid_options{}.min_unpromised_interval;
        if (due < part.due)
          set_due(host, account_partition(message.team, partitions), due);
      }
      return send(message.host, {loan_step::given, message.number, given, here.name, message.team});
    }
    case loan_step::given: {
      const auto ask = here.asks.find(message.number);
      if (ask == here.asks.end())
        return;
      const auto answered = ask->second.answered;
      here.asks.erase(ask);
      here.silent_until.erase(message.host);
      if (message.tokens > 0)
        here.borrowed.note(message.team, {message.host, message.number, message.tokens});
      part.budgets->receive(message.team, message.tokens);
      if (answered)
        answered(message.tokens);
      else
        give_back(host, message.team);
      return;
    }
    case loan_step::returned:
      part.budgets->take_back(message.team, here.lent.close(key, message.tokens));
    }
  }
  void give_back(std::size_t host, const std::string& team) {
    partition_budgets& budgets = *part_of(host, team).budgets;
    for (const borrowed_loan& loan : hosts_[host].borrowed.take(team, budgets.idle_loans(team))) {
      const std::uint64_t tokens = budgets.give_back(team, loan.tokens);
      if (tokens == 0)
        hosts_[host].borrowed.note(team, loan);
      else
        send(loan.lender, {loan_step::returned, loan.number, tokens, hosts_[host].name, team});
    }
  }

  // Callers.
  void arrive() {
    if (now_ >= load_.length)
      return;
    const auto hosts = static_cast<std::uint64_t>(load_.hosts);
    std::uint64_t host = random_.below(hosts);
    if (random_.below(2) == 0) // half of the callers
      host = (static_cast<std::uint64_t>(now_.count() / 1000) * 7919 +
              random_.below(1 + hosts / 20) * 31) %
             hosts;
    double drawn = random_.unit() * total_weight_;
    int team = 0;
    while (team + 1 < teams && drawn > weight_of(team))
      drawn -= weight_of(team++);
    auto one = std::make_shared<request>();
    one->host = host;
    one->team = team_name(team);
    one->bound = least_tokens + random_.below(token_range);
    one->began = now_;
    ++result_.requests;
    arrivals_ += 1000 / rate();
    at(time_ms{1000 + static_cast<std::int64_t>(arrivals_)}, [this] { arrive(); });
    part_of(host, one->team).budgets->note_request(one->team, one->bound, now_);
    begin(one);
  }
  void end(const request_ptr& one, reserve_outcome outcome) {
    result_.longest_wait = std::max(result_.longest_wait, now_ - one->began);
    if (outcome == reserve_outcome::exhausted)
      ++result_.exhausted;
    if (outcome == reserve_outcome::short_here)
      ++result_.refused;
    if (outcome == reserve_outcome::reserved) {
      result_.waited += now_ > one->began ? 1 : 0;
      const std::uint64_t used = one->bound * (30 + random_.below(71)) / 100;
      spent_[one->team] += used;
      after(500 + static_cast<std::int64_t>(random_.below(2500)), [this, one, used] {
        part_of(one->host, one->team).budgets->settle(one->team, one->bound, used);
        give_back(one->host, one->team);
      });
    }
    give_back(one->host, one->team);
  }
  reserve_outcome reserve(const request& one) {
    return part_of(one.host, one.team)
        .budgets->reserve(one.team, paid_.at(one.team), one.bound, now_);
  }

  // As `budget_manager::reserve_from_all_sources`.
  void begin(const request_ptr& one) {
    if (!part_of(one->host, one->team).budgets->holds(one->team))
      return borrow(one);
    by_log(one);
  }
  void borrow(const request_ptr& one) {
    one->tried_loan = true;
    partition_budgets& budgets = *part_of(one->host, one->team).budgets;
    one->needed =
        part_of(one->host, one->team).loaded ? budgets.shortfall(one->team, one->bound, now_) : 0;
    one->loan_until = now_ + time_ms{90};
    for (token_holder& holder : budgets.holders(one->team)) {
      const auto silent = hosts_[one->host].silent_until.find(holder.host);
      if (silent == hosts_[one->host].silent_until.end() || now_ >= silent->second)
        one->order.push_back(std::move(holder));
    }
    const int centre = hosts_[one->host].centre;
    one->order = borrowing_order(
        std::move(one->order),
        [&](const std::string& host) {
          return hosts_[static_cast<std::size_t>(std::stoi(host.substr(1)))].centre == centre;
        },
        random_);
    budgets.begin_borrowing(one->team, one->bound);
    ask_next(one);
  }
  void ask_next(const request_ptr& one) {
    if (one->got >= one->needed || one->asked == std::min<std::size_t>(6, one->order.size()) ||
        now_ >= one->loan_until) {
      part_of(one->host, one->team).budgets->end_borrowing(one->team, one->bound);
      const reserve_outcome outcome = reserve(*one);
      if (outcome != reserve_outcome::short_here ||
          part_of(one->host, one->team).budgets->holds(one->team))
        return end(one, outcome);
      return by_log(one);
    }
    const std::string to = one->order[one->asked++].host;
    const std::uint64_t number = ++last_ask_;
    host_state& here = hosts_[one->host];
    here.asks[number] = {one->team, [this, one](std::uint64_t tokens) {
                           one->got += tokens;
                           ask_next(one);
                         }};
    send(to, {loan_step::asked, number, one->needed - one->got, here.name, one->team});
    at(std::min(now_ + time_ms{30}, one->loan_until), [this, one, number, to] {
      host_state& here = hosts_[one->host];
      const auto ask = here.asks.find(number);
      if (ask == here.asks.end() || !ask->second.answered)
        return;
      ask->second.answered = nullptr;
      here.silent_until[to] = now_ + time_ms{1000};
      ask_next(one);
    });
  }
  void by_log(const request_ptr& one, time_ms began = time_ms{-1}) {
    if (began < time_ms{})
      began = now_;
    part_state& part = part_of(one->host, one->team);
    const reserve_outcome outcome = reserve(*one);
    if (outcome != reserve_outcome::short_here)
      return end(one, outcome);
    const bool grantable = part.budgets->grantable(one->team, paid_.at(one->team), one->bound);
    const auto wait =
        plan_token_wait({.now = now_,
                         .began = began,
                         .syncs = grantable && part.loaded ? one->syncs : max_syncs,
                         .covered_after = part.budgets->covered_after(one->team, one->bound, now_),
                         .max_promise_wait = longest_promise_wait},
                        prepaid_options{}.max_log_wait);
    if (!wait)
      return part.budgets->holds(one->team) && !one->tried_loan
                 ? borrow(one)
                 : end(one, reserve_outcome::short_here);
    if (wait->for_log) {
      ++one->syncs;
      part.budgets->begin_waiting(one->team, one->bound);
      request_sync(one->host, account_partition(one->team, partitions));
    }
    const std::uint64_t number = ++one->waits;
    const std::uint64_t seen = part.sync_count;
    const bool for_log = wait->for_log;
    std::function<void(bool)> wake = [this, one, number, seen, for_log, began](bool timed) {
      part_state& part = part_of(one->host, one->team);
      if (one->waits != number)
        return;
      if (!timed && (!for_log || part.sync_count == seen))
        return wait_again(one->host, wakes_[one.get()]);
      ++one->waits;
      wakes_.erase(one.get());
      if (for_log)
        part.budgets->end_waiting(one->team, one->bound);
      by_log(one, began);
    };
    wakes_[one.get()] = wake;
    wait_again(one->host, wake);
    at(wait->until, [wake] { wake(true); });
  }
  void wait_again(std::size_t host, const std::function<void(bool)>& wake) {
    hosts_[host].waiting.push_back([wake] { wake(false); });
  }

  loan_load load_;
  random_source random_;
  time_ms now_;
  double total_weight_{0};
  double arrivals_{0}; ///< time of the next arrival after the first second
  std::uint64_t last_event_{0};
  std::uint64_t last_ask_{0};
  std::priority_queue<event> events_;
  std::deque<host_state> hosts_;
  log_model logs_[partitions];
  std::map<std::string, std::uint64_t> paid_;
  std::map<std::string, std::uint64_t> spent_;
  std::map<const request*, std::function<void(bool)>> wakes_;
  loan_load_result result_;
};

} // namespace sedgechute
