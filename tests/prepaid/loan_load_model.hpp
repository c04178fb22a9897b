#pragma once

#include "log_model.hpp"
#include "prepaid/impl/funding.hpp"
#include "prepaid/impl/loan_policy.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>

namespace sedgechute {

/// \brief What a fleet did in one run of `loan_load_model`.
struct loan_load_result {
  int requests{0};
  int refused{0};          ///< for want of tokens at the host, while the team has them
  int exhausted{0};        ///< refused since the budget of the team is used up
  int waited{0};           ///< served after a wait
  int messages{0};         ///< about loans, of all kinds
  int records{0};          ///< accounts appended to the log
  time_ms longest_wait{0}; ///< of any request, served or not
  std::uint64_t overspent{0};
};

/// \brief Requests of one size.
struct request_class {
  double part{};          ///< of all requests
  std::uint64_t input{};  ///< tokens, all of them used
  std::uint64_t output{}; ///< most tokens; a request uses a part of them
};

struct loan_load {
  int hosts{81};
  time_ms length{6000};
  double lost{0.05}; ///< part of the messages between hosts
  double late{0.1};  ///< part of the messages that take up to `longest_delay`
  std::uint64_t seed{1};
  std::vector<request_class> sizes{}; ///< empty: 300 to 2,700 tokens, of which a part is used
  double budget_seconds{300};         ///< of a team's demand
  double mean_processor_wait{0};      ///< ms, of each message and log call
  time_ms longest_wait{250};          ///< a quarter of the latency target
  bool one_sync_at_a_time{false};     ///< as the one thread of `budget_manager`
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
    at(time_ms{1000}, [this] { release(); });
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
  struct request;
  using request_ptr = std::shared_ptr<request>;
  struct host_state {
    std::string name;
    int centre{};
    bool syncing{false}; ///< any partition
    std::vector<part_state> parts;
    lent_ledger lent{2048};
    borrowed_ledger borrowed{64};
    std::map<std::uint64_t, ask_state> asks;
    silent_hosts silent;
    std::vector<request_ptr> waiting;
    std::map<std::string, std::uint64_t> expected; ///< tokens of loans under way, by team
  };
  struct request {
    std::size_t host{};
    std::string team;
    std::uint64_t bound{};
    std::uint64_t input{0}; ///< used in any case
    unfunded_request state;
    bool waiting{false}; ///< is among those that wait for loans
    bool ended{false};
    std::uint64_t seen{}; ///< synchronizations when its wait for the next one began
    funding_plan plan;
    std::uint64_t waits{0}; ///< number of the current wait; earlier ones have ended
  };
  struct round_state {
    loan_round round;
    std::uint64_t expected{};
    std::uint64_t lent{0};
    std::size_t answers{0};
    bool ended{false};
    std::uint64_t timer{0};
    std::vector<loan_message> questions; ///< unanswered; `host` is the one that was asked
  };

  static double weight_of(int team) { return 1.0 / (1 + team); }
  static std::string team_name(int team) { return "team-" + std::to_string(team); }
  [[nodiscard]] double rate() const {
    return std::min(most_requests, requests_per_host * load_.hosts);
  }

  [[nodiscard]] double mean_request() const {
    double mean = load_.sizes.empty() ? least_tokens + token_range / 2.0 : 0;
    for (const request_class& of : load_.sizes)
      mean += of.part * static_cast<double>(of.input + of.output);
    return mean;
  }
  void draw_size(request& one) {
    if (load_.sizes.empty()) {
      one.bound = least_tokens + random_.below(token_range);
      return;
    }
    double drawn = random_.unit();
    auto of = load_.sizes.begin();
    while (std::next(of) != load_.sizes.end() && drawn > of->part)
      drawn -= (of++)->part;
    one.input = of->input;
    one.bound = of->input + of->output;
  }

  void at(time_ms when, std::function<void()> run) {
    events_.push({when, ++last_event_, std::move(run)});
  }
  /// \returns a wait for processor time
  std::int64_t processor_wait() {
    if (load_.mean_processor_wait == 0)
      return 0;
    return static_cast<std::int64_t>(-std::log(1 - random_.unit()) * load_.mean_processor_wait);
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
      paid_[team_name(i)] = static_cast<std::uint64_t>(
          tokens * mean_request() * load_.budget_seconds * weight_of(i) / total_weight_);
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
    if (load_.one_sync_at_a_time && hosts_[host].syncing) {
      state.requested = true;
      return;
    }
    hosts_[host].syncing = true;
    state.syncing = true;
    state.requested = false;
    state.tries = 0;
    try_sync(host, part);
  }
  void try_sync(std::size_t host, std::size_t part) {
    after(log_call + processor_wait(), [this, host, part] {
      part_state& state = hosts_[host].parts[part];
      logs_[part].read_into(*state.budgets, now_);
      state.loaded = true;
      const auto records = state.budgets->plan(paid_of(part), {now_, now_}, false);
      const std::uint64_t end = state.budgets->end();
      if (records.empty())
        return end_sync(host, part);
      after(log_call + processor_wait(), [this, host, part, records, end] {
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
    hosts_[host].syncing = false;
    ++state.sync_count;
    state.synced_at = now_;
    const auto holders = static_cast<std::int64_t>(state.budgets->holding_hosts(now_));
    const time_ms interval =
        state.budgets->holds_tokens()
            ? options.report_interval + options.interval_per_holder * (holders - 1)
            : options.idle_interval;
    set_due(host, part, now_ + interval);
    wake(host);
    for (std::size_t i = 1; i <= partitions; ++i) // in turn
      if (hosts_[host].parts[(part + i) % partitions].requested)
        begin_sync(host, (part + i) % partitions);
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
    after(static_cast<std::int64_t>(1 + random_.below(longest)) + processor_wait(),
          [this, number, message] { handle(number, message); });
  }
  void handle(std::size_t host, const loan_message& message) {
    host_state& here = hosts_[host];
    part_state& part = part_of(host, message.team);
    const loan_key key{message.host, message.team, message.number};
    switch (message.step) {
    case loan_step::asked: {
      const auto before = here.lent.given(key);
      const std::uint64_t given =
          before ? *before : part.budgets->lend(message.team, message.tokens, now_, message.host);
      if (!before)
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
      here.silent.note_answer(message.host);
      if (message.tokens > 0)
        here.borrowed.note(message.team, {message.host, message.number, message.tokens});
      part.budgets->receive(message.team, message.tokens);
      if (answered) {
        std::uint64_t& expected = here.expected[message.team];
        expected -= std::min(expected, message.tokens);
        answered(message.tokens);
      }
      wake(host);
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

  void release() {
    for (std::size_t host = 0; host < hosts_.size(); ++host)
      for (const part_state& part : hosts_[host].parts)
        for (const std::string& team : part.budgets->release_kept_loans(now_))
          give_back(host, team);
    after(100, [this] { release(); });
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
    draw_size(*one);
    one->state = {.now = now_,
                  .began = now_,
                  .max_wait = load_.longest_wait,
                  .max_promise_wait = load_.longest_wait,
                  .last_loan = {},
                  .covered_after = {}};
    ++result_.requests;
    arrivals_ += 1000 / rate();
    at(time_ms{1000 + static_cast<std::int64_t>(arrivals_)}, [this] { arrive(); });
    part_of(host, one->team).budgets->note_request(one->team, one->bound, now_);
    step(one);
  }
  void end(const request_ptr& one, reserve_outcome outcome) {
    partition_budgets& budgets = *part_of(one->host, one->team).budgets;
    one->ended = true;
    if (one->waiting)
      budgets.end_borrowing(one->team, one->bound);
    result_.longest_wait = std::max(result_.longest_wait, now_ - one->state.began);
    result_.exhausted += outcome == reserve_outcome::exhausted ? 1 : 0;
    result_.refused += outcome == reserve_outcome::short_here ? 1 : 0;
    if (outcome == reserve_outcome::reserved) {
      result_.waited += now_ > one->state.began ? 1 : 0;
      const std::uint64_t used =
          one->input + (one->bound - one->input) * (30 + random_.below(71)) / 100;
      spent_[one->team] += used;
      after(500 + static_cast<std::int64_t>(random_.below(2500)), [this, one, used] {
        part_of(one->host, one->team).budgets->settle(one->team, one->bound, used);
        give_back(one->host, one->team);
      });
    }
    give_back(one->host, one->team);
  }

  // As `budget_manager::reserve`.
  void step(const request_ptr& one) {
    part_state& part = part_of(one->host, one->team);
    partition_budgets& budgets = *part.budgets;
    unfunded_request& state = one->state;
    state.now = now_;
    state.holds = budgets.holds(one->team);
    if (one->waiting || state.holds || budgets.shortfall(one->team, one->bound, now_) == 0) {
      const reserve_outcome outcome =
          budgets.reserve(one->team, paid_.at(one->team), one->bound, now_);
      if (outcome != reserve_outcome::short_here)
        return end(one, outcome);
    }
    if (!part.loaded)
      return end(one, reserve_outcome::short_here);
    if (!one->waiting)
      budgets.begin_borrowing(one->team, one->bound);
    one->waiting = true;
    state.can_borrow = load_.hosts > 1;
    state.loan_under_way = loan_under_way(*one);
    state.knows_lender = !budgets.holders(one->team).empty();
    state.view_age = now_ - part.synced_at;
    state.log_answers = true;
    state.log_helps = budgets.grantable(one->team, paid_.at(one->team), one->bound);
    state.covered_after = budgets.covered_after(one->team, one->bound, now_);
    one->plan = plan_funding(state);
    one->seen = part.sync_count;
    const std::uint64_t number = ++one->waits;
    switch (one->plan.step) {
    case funding_step::refuse:
      return end(one, reserve_outcome::short_here);
    case funding_step::borrow:
      return borrow(one);
    case funding_step::sync:
      ++state.syncs;
      budgets.begin_waiting(one->team, one->bound);
      request_sync(one->host, account_partition(one->team, partitions));
      break;
    case funding_step::read:
      ++state.reads;
      state.loans = 0;
      request_sync(one->host, account_partition(one->team, partitions));
      break;
    default:
      break;
    }
    hosts_[one->host].waiting.push_back(one);
    at(one->plan.until, [this, one, number] {
      if (!one->ended && one->waits == number)
        resume(one);
    });
  }
  void resume(const request_ptr& one) {
    if (one->plan.step == funding_step::sync)
      part_of(one->host, one->team).budgets->end_waiting(one->team, one->bound);
    ++one->waits;
    std::erase(hosts_[one->host].waiting, one);
    step(one);
  }
  /// Tokens have arrived, or a synchronization or a loan has ended.
  void wake(std::size_t host) {
    const std::vector<request_ptr> waiting = hosts_[host].waiting;
    for (const request_ptr& one : waiting) {
      const part_state& part = part_of(host, one->team);
      const auto& plan = one->plan;
      const bool over = part.budgets->slack(one->team, now_) >= one->bound ||
                        ((plan.step == funding_step::sync || plan.step == funding_step::read) &&
                         part.sync_count != one->seen) ||
                        (plan.step == funding_step::join && !loan_under_way(*one));
      if (over && !one->ended &&
          std::count(hosts_[host].waiting.begin(), hosts_[host].waiting.end(), one) > 0)
        resume(one);
    }
  }
  [[nodiscard]] bool loan_under_way(const request& one) {
    const std::uint64_t expected = hosts_[one.host].expected[one.team];
    return expected > 0 &&
           expected >= part_of(one.host, one.team).budgets->unfunded(one.team, now_);
  }

  void borrow(const request_ptr& one) {
    host_state& here = hosts_[one->host];
    const partition_budgets& budgets = *part_of(one->host, one->team).budgets;
    const std::uint64_t lacking = budgets.unfunded(one->team, now_);
    std::uint64_t& expected = here.expected[one->team];
    const std::uint64_t needed = lacking > expected ? lacking - expected : 0;
    const std::uint64_t ahead = budgets.loan_ahead(one->team, now_);
    std::vector<token_holder> holders = budgets.holders(one->team);
    std::erase_if(holders, [&](const token_holder& holder) {
      return !here.silent.may_answer(holder.host, now_);
    });
    auto order = borrowing_order(
        std::move(holders),
        [&](const std::string& host) {
          return hosts_[static_cast<std::size_t>(std::stoi(host.substr(1)))].centre == here.centre;
        },
        random_);
    expected += needed + ahead;
    advance(one,
            std::make_shared<round_state>(round_state{
                loan_round{std::move(order), needed, ahead, one->plan.until, {}}, needed + ahead}));
  }
  void advance(const request_ptr& one, const std::shared_ptr<round_state>& round) {
    if (round->ended)
      return;
    host_state& here = hosts_[one->host];
    const loan_round::action next = round->round.next(round->lent, round->answers, now_);
    switch (next.kind) {
    case loan_round::action_kind::ask: {
      const auto open = std::find_if(round->questions.begin(), round->questions.end(),
                                     [&](const loan_message& of) { return of.host == next.host; });
      if (open != round->questions.end()) { // repeated
        loan_message same = *open;
        same.host = here.name;
        send(next.host, same);
        return advance(one, round);
      }
      const std::uint64_t number = ++last_ask_;
      here.asks[number] = {one->team, [this, one, round, number](std::uint64_t tokens) {
                             std::erase_if(round->questions, [number](const loan_message& of) {
                               return of.number == number;
                             });
                             round->lent += tokens;
                             ++round->answers;
                             advance(one, round);
                           }};
      round->questions.push_back({loan_step::asked, number, next.tokens, next.host, one->team});
      send(next.host, {loan_step::asked, number, next.tokens, here.name, one->team});
      return advance(one, round);
    }
    case loan_round::action_kind::wait:
      at(next.until, [this, one, round, number = ++round->timer] {
        if (round->timer == number)
          advance(one, round);
      });
      return;
    case loan_round::action_kind::end:
      break;
    }
    round->ended = true;
    for (const loan_message& open : round->questions) {
      here.silent.note_silence(open.host, now_);
      here.asks[open.number].answered = nullptr;
    }
    std::uint64_t& expected = here.expected[one->team];
    const std::uint64_t missing = round->expected > round->lent ? round->expected - round->lent : 0;
    expected -= std::min(expected, missing);
    one->state.last_loan = now_;
    ++one->state.loans;
    step(one);
    wake(one->host);
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
  loan_load_result result_;
};

} // namespace sedgechute
