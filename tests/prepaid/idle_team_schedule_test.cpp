// What hosts promise for a team that has stopped sending requests, and for one that has not.

#include "log_model.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <string>
#include <vector>

using namespace sedgechute;

namespace {

const std::string team = "team-a";

struct load {
  std::size_t hosts{3};
  double per_second{100}; ///< requests of the team, at random hosts
  std::uint64_t bound{900};
  std::uint64_t budget{};
  std::uint64_t seed{1};
};

/// Hosts of up to three data centres that serve one team, lend to each other and write to a log
/// that can be unavailable.
class fleet {
 public:
  explicit fleet(const load& of) : load_{of}, random_{of.seed} {
    const std::size_t centres = std::min<std::size_t>(of.hosts, 3);
    for (std::size_t i = 0; i < of.hosts; ++i) {
      std::vector<std::string> centre;
      for (std::size_t j = i % centres; j < of.hosts; j += centres)
        centre.push_back(name(j));
      hosts_.push_back({.holds = holds_tokens_of(0, name(i), centre)});
      start(i);
      hosts_.back().due = now_ + time_ms{static_cast<std::int64_t>(random_.below(500))};
    }
  }

  struct counts {
    int asked{0};
    int refused{0};
  };

  /// \param per_second  requests of the team in this span
  counts run(time_ms span, double per_second, bool log_answers) {
    counts seen;
    for (const time_ms until = now_ + span; now_ < until; now_ += step) {
      for (std::size_t i = 0; log_answers && i < hosts_.size(); ++i)
        if (now_ >= hosts_[i].due)
          synchronize(i);
      asked_for_ += per_second * static_cast<double>(step.count()) / ms_per_second;
      while (per_second > 0 && asked_for_ >= next_request_) {
        next_request_ += -std::log(1 - random_.unit());
        ask(seen, log_answers);
      }
    }
    return seen;
  }
  counts run(time_ms span) { return run(span, load_.per_second, true); }

  /// \brief Kills all hosts, and starts them again after `away`.
  /// \returns tokens that count as used although they were not
  std::uint64_t kill_all(time_ms away) {
    now_ += away;
    std::uint64_t counted = 0;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      start(i);
      log_.read_newest_into(*hosts_[i].budgets, now_);
      for (const write_off& one : hosts_[i].budgets->write_offs())
        counted += one.used;
    }
    CHECK(counted >= spent_);
    return counted - spent_;
  }

  [[nodiscard]] bool any_active() const {
    return std::any_of(hosts_.begin(), hosts_.end(),
                       [&](const host_state& one) { return one.budgets->active(team, now_); });
  }

 private:
  static constexpr time_ms step{5};
  static constexpr double ms_per_second = 1000;

  struct host_state {
    std::unique_ptr<partition_budgets> budgets{};
    bool holds{true};
    time_ms due{};
  };

  static std::string name(std::size_t host) { return "h" + std::to_string(host); }
  [[nodiscard]] clock_reading reading() const { return {now_, now_ + time_ms{1000000000}}; }

  void start(std::size_t host) {
    host_state& one = hosts_[host];
    one.budgets = std::make_unique<partition_budgets>(name(host), ++incarnations_, reading(),
                                                      prepaid_options{});
    one.budgets->set_holder_predicate([holds = one.holds](const std::string&) { return holds; });
  }

  void synchronize(std::size_t host) {
    const prepaid_options options;
    partition_budgets& budgets = *hosts_[host].budgets;
    log_.read_into(budgets, now_);
    if (log_.append_at(budgets.end(), budgets.plan({{team, load_.budget}}, reading(), false)))
      log_.read_into(budgets, now_);
    const auto others = static_cast<std::int64_t>(budgets.holding_hosts(now_)) - 1;
    hosts_[host].due = now_ + (budgets.holds_tokens()
                                   ? options.report_interval + options.interval_per_holder * others
                                   : options.idle_interval);
  }

  void borrow(std::size_t to) {
    partition_budgets& budgets = *hosts_[to].budgets;
    budgets.begin_borrowing(team, load_.bound);
    const std::size_t first = random_.below(hosts_.size());
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      const std::size_t from = (first + i) % hosts_.size();
      const std::uint64_t lacking = budgets.unfunded(team, now_);
      if (from == to || !hosts_[from].holds || lacking == 0)
        continue;
      budgets.receive(team, hosts_[from].budgets->lend(team, lacking, now_, name(to)));
    }
    budgets.end_borrowing(team, load_.bound);
  }

  void ask(counts& seen, bool log_answers) {
    const std::size_t host = random_.below(hosts_.size());
    partition_budgets& budgets = *hosts_[host].budgets;
    ++seen.asked;
    budgets.note_request(team, load_.bound, now_);
    const auto reserve = [&] {
      return budgets.reserve(team, load_.budget, load_.bound, now_) == reserve_outcome::reserved;
    };
    bool reserved = reserve();
    if (!reserved) {
      borrow(host);
      reserved = reserve();
    }
    if (!reserved && log_answers) {
      budgets.begin_waiting(team, load_.bound);
      synchronize(host);
      budgets.end_waiting(team, load_.bound);
      reserved = reserve();
    }
    if (!reserved) {
      ++seen.refused;
      return;
    }
    budgets.settle(team, load_.bound, load_.bound);
    spent_ += load_.bound;
  }

  load load_;
  random_source random_;
  log_model log_;
  std::vector<host_state> hosts_;
  std::uint64_t incarnations_{0};
  std::uint64_t spent_{0};
  double asked_for_{0};    ///< requests, on average, up to now
  double next_request_{0}; ///< the same, up to the next one
  time_ms now_{100000};
};

constexpr std::size_t fleet_sizes[]{1, 2, 3, 9, 30, 81, 300};
constexpr time_ms day_so_far{12000};
constexpr double budget_seconds = 120; ///< for which a budget lasts

load load_of(std::size_t hosts, double per_second, std::uint64_t seed) {
  load of{.hosts = hosts, .per_second = per_second, .seed = seed};
  of.budget = static_cast<std::uint64_t>(per_second * budget_seconds) * of.bound;
  return of;
}

/// \returns the part of a budget that a kill of all hosts loses
double lost_part(const load& of, time_ms idle, time_ms away) {
  fleet all{of};
  (void)all.run(day_so_far);
  (void)all.run(idle, 0, true);
  return static_cast<double>(all.kill_all(away)) / static_cast<double>(of.budget);
}

} // namespace

// A team's unused budget must outlast a kill of all hosts, however long they are away.
TEST_CASE("a kill of all hosts two seconds after a team's last request loses next to nothing") {
  for (const std::size_t hosts : fleet_sizes)
    for (const time_ms away : {time_ms{5000}, time_ms{60000}})
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const double lost = lost_part(load_of(hosts, 200, seed), time_ms{2000}, away);
        CAPTURE(hosts);
        CAPTURE(seed);
        CHECK(lost <= 0.02);
      }
}

// A team of few requests has long pauses, which are no reason to promise less.
TEST_CASE("a team with a request in 1.5 s is not idle after two seconds") {
  for (const std::size_t hosts : fleet_sizes)
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      fleet all{load_of(hosts, 1 / 1.5, seed)};
      (void)all.run(time_ms{30000});
      (void)all.run(time_ms{2000}, 0, true);
      CHECK(all.any_active());
    }
}

// While the log is unavailable, hosts can use only what their last records promised.
TEST_CASE("a team that sends requests is served while all hosts are cut off from the log") {
  for (const std::size_t hosts : fleet_sizes)
    for (const double rate : {2.0, 100.0}) {
      fleet::counts sum;
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        fleet all{load_of(hosts, rate, seed)};
        (void)all.run(day_so_far);
        const fleet::counts seen = all.run(time_ms{9000}, rate, false);
        sum.asked += seen.asked;
        sum.refused += seen.refused;
      }
      CAPTURE(hosts);
      CAPTURE(rate);
      CHECK(sum.refused * 100 <= sum.asked);
    }
}

// Requests after a pause must not wait until all hosts have seen each other's records.
TEST_CASE("a team that sends requests again after a pause is served at once") {
  for (const std::size_t hosts : fleet_sizes)
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      fleet all{load_of(hosts, 100, seed)};
      (void)all.run(day_so_far);
      (void)all.run(time_ms{20000}, 0, true);
      CAPTURE(hosts);
      CHECK_FALSE(all.any_active());
      CHECK(all.run(time_ms{3000}).refused == 0);
    }
}

// All hosts start again: a team that sends nothing is idle for the new processes from the start.
TEST_CASE("kills of all hosts that follow each other lose next to nothing of an idle team") {
  for (const std::size_t hosts : fleet_sizes) {
    const load of = load_of(hosts, 200, 1);
    fleet all{of};
    (void)all.run(day_so_far);
    (void)all.run(time_ms{2000}, 0, true);
    std::uint64_t lost = 0;
    for (int kills = 0; kills < 4; ++kills) {
      lost = all.kill_all(time_ms{5000});
      (void)all.run(time_ms{4000}, 0, true);
    }
    CAPTURE(hosts);
    CHECK(static_cast<double>(lost) / static_cast<double>(of.budget) <= 0.04);
  }
}

// Callers may come first while the log is unavailable.
TEST_CASE("a new team is served if the log becomes unavailable before its first request") {
  for (const std::size_t hosts : fleet_sizes) {
    fleet all{load_of(hosts, 20, 1)};
    (void)all.run(time_ms{5000}, 0, true);
    const fleet::counts seen = all.run(time_ms{9000}, 20, false);
    CAPTURE(hosts);
    CHECK(seen.refused * 20 <= seen.asked);
  }
}

// Callers move between hosts, so a host promises by the requests of the whole team.
TEST_CASE("a host without requests promises as much while the records of another one show some") {
  const auto outage_pace_beside = [](std::uint64_t pace, time_ms record_age) {
    const time_ms now{100000};
    partition_budgets budgets{"h0", 1, {now, now}, prepaid_options{}};
    budgets.apply({team, "h0", {.granted = 500000, .written = {now, now}}}, 1, now - record_age);
    budgets.apply({team, "h1", {.granted = 400000, .pace = pace}}, 2, now - record_age);
    const auto records = budgets.plan({{team, 1000000}}, {now, now}, false);
    REQUIRE(records.size() == 1);
    return records[0].value.outage_pace;
  };
  CHECK(outage_pace_beside(1, time_ms{1000}) > 10000);
  CHECK(outage_pace_beside(0, time_ms{1000}) == 0);
  CHECK(outage_pace_beside(1, time_ms{5001}) == 0);
}

// A holder of a large fleet gets few requests of a busy team, and expects more of them for seconds.
TEST_CASE("a host with a small part of a team's requests does not keep the team active") {
  const auto active_beside = [](std::uint64_t rate) {
    const time_ms now{100000};
    partition_budgets budgets{"h0", 1, {now, now}, prepaid_options{}};
    budgets.apply({team, "h1", {.granted = 400000, .rate = 10000}}, 1, now);
    budgets.apply({team, "h2", {.granted = 400000, .rate = rate, .pace = 1}}, 2, now);
    return budgets.active(team, now);
  };
  CHECK_FALSE(active_beside(1000));
  CHECK(active_beside(1200));
}

// The rate of a team falls, and the estimates of rates follow late.
TEST_CASE("a team that sends a twentieth of what it sent before is not idle") {
  for (const std::size_t hosts : fleet_sizes) {
    int idle = 0;
    int looks = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      fleet all{load_of(hosts, 100, seed)};
      (void)all.run(day_so_far);
      (void)all.run(time_ms{2000}, 5, true);
      for (int i = 0; i < 40; ++i, ++looks) {
        (void)all.run(time_ms{250}, 5, true);
        idle += all.any_active() ? 0 : 1;
      }
    }
    CAPTURE(hosts);
    CHECK(idle * 100 <= looks * 3);
  }
}
