// One load, two faults: an outage of all hosts must cost a team little, and a partition of all
// hosts from each other and from the log must leave it served. A promise that is good for only one
// of them is easily made.

#include "log_model.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>

using namespace sedgechute;

namespace {

const std::string team = "team-a";
constexpr std::uint64_t paid = 1000000;
constexpr std::size_t hosts = 9;
constexpr time_ms step{20};

enum class load { steady, bursty, idle };

/// Nine holders that serve one team, each request of 200 tokens: 20,000 tokens per second, or 5,000
/// where a part of the budget is used from the start.
class fleet {
 public:
  fleet(std::uint64_t seed, load of, double used)
      : random_{seed}, rate_{used > 0 ? 5000U : 20000U}, load_{of} {
    const auto spent = static_cast<std::uint64_t>(used * paid);
    if (spent > 0)
      log_.records.push_back({team, "spent", {.granted = spent, .used = spent}});
    for (std::size_t i = 0; i < hosts; ++i)
      start(i);
  }

  struct counts {
    std::uint64_t asked{0};
    std::uint64_t served{0};
  };

  counts run(time_ms span, bool in_touch, bool with_load = true) {
    counts seen;
    for (const time_ms until = now_ + span; now_ < until; now_ += step) {
      for (std::size_t i = 0; i < hosts; ++i) {
        if (in_touch && now_ >= due_[i])
          report(i);
        if (with_load)
          ask(i, in_touch, seen);
      }
    }
    return seen;
  }

  /// \returns tokens that count as used and were not, after all hosts were killed for a while
  std::uint64_t kill_all(time_ms away) {
    now_ += away;
    std::uint64_t counted = 0;
    for (std::size_t i = 0; i < hosts; ++i) {
      start(i);
      log_.read_into(*budgets_[i], now_);
      for (const write_off& one : budgets_[i]->write_offs())
        counted += one.used;
    }
    return counted - std::min(counted, spent_);
  }

  [[nodiscard]] std::uint64_t rate() const noexcept { return rate_; }

  /// \returns the pace that the newest records of all hosts promise together
  [[nodiscard]] std::uint64_t promised_pace() const {
    std::map<std::string, std::uint64_t> paces;
    for (const account_record& one : log_.records)
      paces[one.host] = one.value.pace;
    std::uint64_t all = 0;
    for (const auto& [host, pace] : paces)
      all += pace;
    return all;
  }

 private:
  [[nodiscard]] clock_reading reading() const { return {now_, now_ + time_ms{1000000000}}; }

  void start(std::size_t host) {
    budgets_[host] = std::make_unique<partition_budgets>(
        "h" + std::to_string(host), ++incarnations_, reading(), prepaid_options{});
  }

  void report(std::size_t host) {
    partition_budgets& budgets = *budgets_[host];
    log_.read_into(budgets, now_);
    if (log_.append_at(budgets.end(), budgets.plan({{team, paid}}, reading(), false)))
      log_.read_into(budgets, now_);
    due_[host] = now_ + time_ms{660};
  }

  // Bursty: each host alternates between a third and five thirds of its mean rate.
  void ask(std::size_t host, bool in_touch, counts& seen) {
    if (load_ == load::bursty && now_ >= changes_[host]) {
      factor_[host] = factor_[host] > 1 ? 1.0 / 3 : 5.0 / 3;
      changes_[host] = now_ + time_ms{static_cast<std::int64_t>(400 + random_.below(1200))};
    }
    const double mean = static_cast<double>(rate_ * step.count()) / (1000 * bound * hosts);
    if (random_.unit() >= mean * factor_[host])
      return;
    partition_budgets& budgets = *budgets_[host];
    seen.asked += bound;
    budgets.note_request(team, bound, now_);
    auto outcome = budgets.reserve(team, paid, bound, now_);
    if (outcome != reserve_outcome::reserved && in_touch) {
      budgets.begin_waiting(team, bound);
      report(host);
      budgets.end_waiting(team, bound);
      outcome = budgets.reserve(team, paid, bound, now_);
    }
    if (outcome != reserve_outcome::reserved)
      return;
    budgets.settle(team, bound, bound);
    spent_ += bound;
    seen.served += bound;
  }

  static constexpr std::uint64_t bound = 200;

  random_source random_;
  std::uint64_t rate_; ///< tokens per second
  load load_;
  log_model log_;
  std::unique_ptr<partition_budgets> budgets_[hosts];
  time_ms due_[hosts];
  time_ms changes_[hosts];
  double factor_[hosts]{1, 1, 1, 1, 1, 1, 1, 1, 1};
  std::uint64_t incarnations_{0};
  std::uint64_t spent_{0};
  time_ms now_{100000};
};

constexpr std::uint64_t seeds = 20;

/// \returns the largest loss of an outage, as a part of what it may cost
double worst_outage(load of, time_ms away, double used) {
  double worst = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    fleet all{seed, of, used};
    (void)all.run(time_ms{8000 + 300 * static_cast<std::int64_t>(seed)}, true);
    if (of == load::idle)
      (void)all.run(time_ms{2000}, true, false);
    const double at_rate = of == load::idle ? 0 : static_cast<double>(all.rate() * away.count());
    const double most = 1.5 * at_rate / 1000 + 0.03 * paid;
    worst = std::max(worst, static_cast<double>(all.kill_all(away)) / most);
  }
  return worst;
}

/// \returns the least part that is served in a partition of 9 s
double worst_partition(load of, double used) {
  double worst = 1;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    fleet all{seed, of, used};
    (void)all.run(time_ms{8000 + 300 * static_cast<std::int64_t>(seed)}, true);
    const auto seen = all.run(time_ms{9000}, false);
    worst = std::min(worst, static_cast<double>(seen.served) / static_cast<double>(seen.asked));
  }
  return worst;
}

} // namespace

TEST_CASE("an outage costs little and a partition refuses little") {
  for (const double used : {0.0, 0.7, 0.85}) {
    CAPTURE(used);
    for (const load of : {load::steady, load::bursty}) {
      const double served = worst_partition(of, used);
      MESSAGE("served in a partition: " << served);
      CHECK(served >= 0.95);
    }
    for (const load of : {load::steady, load::bursty, load::idle})
      for (const time_ms away : {time_ms{1000}, time_ms{5000}, time_ms{12000}, time_ms{60000}}) {
        const double cost = worst_outage(of, away, used);
        MESSAGE("an outage of " << away.count() << " ms costs " << cost << " of its limit");
        CHECK(cost <= 1);
      }
  }
}

// Guards against a rate that outlives the load: a kill of all hosts then costs an idle team the use
// of the whole outage.
TEST_CASE("an idle team's promise reaches zero within two seconds") {
  for (const double used : {0.0, 0.7, 0.85})
    for (const load of : {load::steady, load::bursty})
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        fleet all{seed, of, used};
        (void)all.run(time_ms{8000 + 300 * static_cast<std::int64_t>(seed)}, true);
        REQUIRE(all.promised_pace() > 0);
        (void)all.run(time_ms{2000}, true, false);
        CHECK(all.promised_pace() == 0);
      }
}
