#include "routing/routing.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <set>

using namespace sedgechute;

namespace {

const pool_id pool{"lm"};

team_id team(std::size_t i) {
  return team_id{"team-" + std::to_string(i)};
}

/// Hosts in three data centres that exchange reports once a second, in virtual time.
class relay_fleet {
 public:
  explicit relay_fleet(std::size_t hosts, std::size_t teams) : teams_{teams} {
    for (std::size_t i = 0; i < hosts; ++i)
      members_.push_back(member(i));
    for (const share_member& one : members_)
      relays_.push_back(std::make_unique<share_relay>(one.who, one.data_centre));
    set_views();
  }

  static data_centre_id centre(std::size_t host) {
    return data_centre_id{"dc-" + std::to_string(host % 3)};
  }

  static share_member member(std::size_t i) {
    share_member made;
    made.who = {host_id{"entry-" + std::to_string(i)}, 1};
    made.data_centre = centre(i);
    return made;
  }

  /// Partitions the fleet: hosts reach only hosts on their own side.
  void cut(const std::set<std::size_t>& side) {
    side_ = side;
    set_views();
  }
  void crash(std::size_t host, bool noticed) {
    gone_.insert(host);
    if (noticed)
      set_views();
  }
  void notice() { set_views(); }

  void run(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      now_ = now_ + time_ms{1000};
      ++round_;
      std::vector<std::pair<std::size_t, addressed_shares>> sent;
      for (std::size_t host = 0; host < relays_.size(); ++host)
        if (!gone_.contains(host))
          for (addressed_shares& one : relays_[host]->exchange({own(host)}, now_))
            sent.emplace_back(host, std::move(one));
      for (const auto& [from, one] : sent)
        deliver(from, one);
    }
  }

  [[nodiscard]] double credit(std::size_t host, double slots) const {
    const share_report all = relays_[host]->sum(pool, now_);
    return plan_shares({slots, all.rate, own(host), all}, {}, {}).slots;
  }
  [[nodiscard]] double credits(const std::set<std::size_t>& hosts, double slots) const {
    double sum = 0.0;
    for (const std::size_t host : hosts)
      if (!gone_.contains(host))
        sum += credit(host, slots);
    return sum;
  }
  [[nodiscard]] std::set<std::size_t> all() const {
    std::set<std::size_t> hosts;
    for (std::size_t i = 0; i < relays_.size(); ++i)
      hosts.insert(i);
    return hosts;
  }
  /// The data centre's speaker for the pool.
  [[nodiscard]] std::size_t speaker_of(const data_centre_id& data_centre) const {
    std::vector<host_id> near;
    for (const share_member& one : members_)
      if (one.data_centre == data_centre)
        near.push_back(one.who.host);
    const host_id chosen = rendezvous("speaker/" + pool.str(), near, 1).front();
    for (std::size_t i = 0; i < members_.size(); ++i)
      if (members_[i].who.host == chosen)
        return i;
    return 0;
  }

  double loss{0.0};
  bool repeat_all{false};
  std::size_t messages{0};
  std::size_t max_teams_named{0};

 private:
  [[nodiscard]] share_report own(std::size_t host) const {
    share_report report;
    report.pool = pool;
    report.from = members_[host].who;
    report.sequence = round_;
    report.rate = 10.0;
    for (std::size_t i = 0; i < 3; ++i)
      report.teams.push_back(
          {team((host * 5 + i) % teams_), 40.0 + static_cast<double>(i), 3.0, 20.0});
    return report;
  }
  [[nodiscard]] bool reachable(std::size_t a, std::size_t b) const {
    return !gone_.contains(b) && side_.contains(a) == side_.contains(b);
  }
  void set_views() {
    for (std::size_t i = 0; i < relays_.size(); ++i) {
      std::vector<share_member> seen;
      for (std::size_t k = 0; k < members_.size(); ++k)
        if (reachable(i, k))
          seen.push_back(members_[k]);
      relays_[i]->set_members(seen, now_);
    }
  }
  void deliver(std::size_t from, const addressed_shares& one) {
    for (std::size_t to = 0; to < members_.size(); ++to) {
      if (members_[to].who != one.to || !reachable(from, to))
        continue;
      ++messages;
      for (const share_report& report : one.reports)
        if (report.scope == share_scope::fleet)
          max_teams_named = std::max(max_teams_named, report.teams.size());
      if (random_.unit() < loss)
        continue;
      for (int i = 0; i < (repeat_all ? 2 : 1); ++i)
        for (const share_report& report : one.reports)
          relays_[to]->merge(report, now_);
      // Repeats the previous message after the newer one; it is outdated and must have no effect.
      if (repeat_all)
        for (const share_report& report : std::exchange(held_[to], one.reports))
          relays_[to]->merge(report, now_);
    }
  }

  std::size_t teams_;
  random_source random_{7};
  time_ms now_{1'000'000};
  std::uint64_t round_{0};
  std::vector<share_member> members_;
  std::vector<std::unique_ptr<share_relay>> relays_;
  std::set<std::size_t> gone_;
  std::set<std::size_t> side_;
  std::map<std::size_t, std::vector<share_report>> held_;
};

} // namespace

TEST_SUITE("share relay") {
  TEST_CASE("a plan from a speaker's answer equals the plan from the whole sum") {
    // If a speaker's answer divided the pool differently from the sum, hosts would take more or
    // less than their teams' shares, and speakers would divide differently from other hosts.
    CHECK(rc::check([] {
      const auto hosts = *rc::gen::inRange<std::size_t>(1, 8);
      std::vector<share_report> reports;
      for (std::size_t h = 0; h < hosts; ++h) {
        share_report report;
        report.pool = pool;
        report.rate = *rc::gen::inRange(0, 300);
        const int count = *rc::gen::inRange(0, 6);
        for (int i = 0; i < count; ++i)
          report.teams.push_back({team(static_cast<std::size_t>(i) * (h + 1)),
                                  static_cast<double>(*rc::gen::inRange(0, 1000)),
                                  static_cast<double>(*rc::gen::inRange(0, 300)),
                                  static_cast<double>(*rc::gen::inRange(0, 3000)),
                                  1.0 + static_cast<double>(i % 3)});
        reports.push_back(std::move(report));
      }
      const share_report all = merge_reports(reports, 1000);
      const share_answers answers{all, {}};
      std::vector<team_weight> weights;
      for (const team_demand& one : all.teams)
        weights.push_back({one.team, one.weight});
      for (const share_report& own : reports) {
        const share_plan whole = plan_shares({100.0, all.rate, own, all}, weights, {});
        const share_report answer = answers.answer_to(own);
        const share_plan part = plan_shares({100.0, answer.rate, own, answer}, weights, {});
        RC_ASSERT(answer.teams.size() == own.teams.size());
        RC_ASSERT(std::abs(whole.slots - part.slots) < 1e-6);
        RC_ASSERT(std::abs(whole.entitled_part - part.entitled_part) < 1e-6);
        for (const team_share& one : part.teams) {
          const auto same = std::ranges::find(whole.teams, one.team, &team_share::team);
          RC_ASSERT(same != whole.teams.end());
          RC_ASSERT(std::abs(same->weight - one.weight) < 1e-6);
          RC_ASSERT(std::abs(same->fraction - one.fraction) < 1e-6);
          RC_ASSERT(std::abs(same->excess - one.excess) < 1e-6);
        }
      }
    }));
  }

  TEST_CASE("credits sum to the pool, and an answer names only the teams that the host named") {
    relay_fleet fleet{12, 40};
    fleet.run(4);
    CHECK(fleet.credits(fleet.all(), 240.0) == doctest::Approx(240.0).epsilon(0.001));
    CHECK(fleet.max_teams_named == 3);
  }

  TEST_CASE("hosts keep their shares when their speaker dies, and get new answers") {
    // A speaker dies, and its successor, which has no reports yet, answers that there is no other
    // demand. All hosts of the data centre would then send as if they had the pool to themselves,
    // and callers in other data centres would wait behind them.
    relay_fleet fleet{12, 40};
    fleet.run(4);
    fleet.crash(fleet.speaker_of(relay_fleet::centre(0)), false);
    for (int second = 0; second < 12; ++second) {
      fleet.run(1);
      if (second == 3)
        fleet.notice();
      const double sum = fleet.credits(fleet.all(), 240.0);
      CHECK(sum <= 240.0 * 1.05);
      CHECK(sum >= 240.0 * 0.8);
    }
    CHECK(fleet.credits(fleet.all(), 240.0) == doctest::Approx(240.0).epsilon(0.001));
  }

  TEST_CASE("in a partition each side divides the pool over the hosts that it reaches") {
    // If both sides of a partition kept reserving the other side's share, half of the pool would be
    // idle while callers wait. The partition also splits a data centre, so that one part of it has
    // lost its speaker.
    relay_fleet fleet{12, 40};
    fleet.run(4);
    const std::set<std::size_t> side{0, 3, 6, 1, 4};
    fleet.cut(side);
    fleet.run(8);
    std::set<std::size_t> rest = fleet.all();
    for (const std::size_t host : side)
      rest.erase(host);
    CHECK(fleet.credits(side, 240.0) == doctest::Approx(240.0).epsilon(0.001));
    CHECK(fleet.credits(rest, 240.0) == doctest::Approx(240.0).epsilon(0.001));
    fleet.cut({});
    fleet.run(8);
    CHECK(fleet.credits(fleet.all(), 240.0) == doctest::Approx(240.0).epsilon(0.001));
  }

  TEST_CASE("lost, repeated and late messages do not change the shares") {
    relay_fleet fleet{12, 40};
    fleet.loss = 0.1;
    fleet.repeat_all = true;
    fleet.run(6);
    for (int second = 0; second < 20; ++second) {
      fleet.run(1);
      CHECK(fleet.credits(fleet.all(), 240.0) == doctest::Approx(240.0).epsilon(0.05));
    }
  }

  TEST_CASE("rounds last longer in larger fleets, and one second in small ones") {
    CHECK(share_relay{{host_id{"a"}, 1}, data_centre_id{"dc"}}.interval() == time_ms{1000});
    const auto interval_of = [](std::size_t hosts) {
      share_relay relay{{host_id{"entry-0"}, 1}, relay_fleet::centre(0)};
      std::vector<share_member> members;
      for (std::size_t i = 0; i < hosts; ++i)
        members.push_back(relay_fleet::member(i));
      relay.set_members(members, time_ms{0});
      return relay.interval();
    };
    CHECK(interval_of(9) == time_ms{1000});
    CHECK(interval_of(350) == time_ms{4000});
  }
}
