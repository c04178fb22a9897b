#include "routing/routing.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <numeric>

using namespace sedgechute;

namespace {

const team_id north{"north"};
const team_id south{"south"};

share_report report(std::vector<team_demand> teams) {
  share_report r;
  r.pool = pool_id{"lm"};
  r.teams = std::move(teams);
  return r;
}

share_plan plan_of(std::span<const share_report> reports, std::size_t own, double slots,
                   double rate) {
  const share_inputs inputs{slots, rate, reports[own], merge_reports(reports, 64)};
  return plan_shares(inputs, {}, {});
}

} // namespace

TEST_SUITE("share plan") {
  TEST_CASE("a team that enters through one host gets the same as one that enters through both") {
    // If each host divided its own part of the pool alone, a team whose callers all connect to one
    // host would get half of what it has paid for.
    const std::vector<share_report> reports{
        report({{north, 5000, 300}, {south, 5000, 150}}),
        report({{south, 5000, 450}}),
    };
    const share_plan first = plan_of(reports, 0, 100.0, 1000.0);
    const share_plan second = plan_of(reports, 1, 100.0, 1000.0);
    CHECK(first.slots == doctest::Approx(75.0).epsilon(0.02));
    CHECK(second.slots == doctest::Approx(25.0).epsilon(0.03));
    // On the first host north gets two parts and south one, and more to correct north's deficit.
    CHECK(first.teams[0].weight / first.teams[1].weight >= 2.0);
  }

  TEST_CASE("credits sum to the pool for any demand, and each host can start a request at once") {
    CHECK(rc::check([] {
      const auto hosts = *rc::gen::inRange<std::size_t>(1, 12);
      std::vector<share_report> reports;
      for (std::size_t h = 0; h < hosts; ++h) {
        std::vector<team_demand> teams;
        const int count = *rc::gen::inRange(0, 6);
        for (int t = 0; t < count; ++t)
          teams.push_back({team_id{std::string{"t"}.append(std::to_string(t))},
                           static_cast<double>(*rc::gen::inRange(0, 1000)), 0.0});
        reports.push_back(report(teams));
      }
      const double slots = static_cast<double>(hosts) * 8.0;
      double sum = 0.0;
      for (std::size_t h = 0; h < hosts; ++h) {
        const share_plan plan = plan_of(reports, h, slots, 900.0);
        RC_ASSERT(plan.slots >= share_policy{}.min_slots);
        sum += plan.slots;
      }
      RC_ASSERT(sum <= slots + 1e-6);
      RC_ASSERT(sum >= slots - 1e-6);
    }));
  }

  TEST_CASE("an unused share goes to other teams, and a sum of sums equals the direct sum") {
    const std::vector<share_report> reports{report({{north, 100, 0}, {south, 9000, 0}}),
                                            report({{south, 900, 0}})};
    const share_report sum = merge_reports(reports, 64);
    const std::vector<share_report> groups{merge_reports(std::span{reports}.first(1), 64),
                                           merge_reports(std::span{reports}.last(1), 64)};
    const share_report of_groups = merge_reports(groups, 64);
    CHECK(of_groups.hosts == sum.hosts);
    CHECK(of_groups.teams[0].wanted == sum.teams[0].wanted);
    const share_plan first = plan_of(reports, 0, 10.0, 1000.0);
    const share_plan second = plan_of(reports, 1, 10.0, 1000.0);
    // South gets the 900 that north leaves, 900/9900 of it on the second host.
    const double of_slots = (1000.0 - 100.0) * 900.0 / 9900.0 / 1000.0;
    CHECK(second.slots == doctest::Approx(1.0 + 8.0 * of_slots));
    // The parts of a limit sum to the limit.
    CHECK(first.teams.back().team == south);
    CHECK(first.teams.back().fraction + second.teams[0].fraction == doctest::Approx(1.0));
    CHECK(first.teams.back().fraction > 4 * second.teams[0].fraction);
  }

  TEST_CASE("a report names a bounded number of teams and preserves the total demand") {
    std::vector<team_demand> many;
    for (int i = 0; i < 830; ++i)
      many.push_back(
          {team_id{std::string{"t"}.append(std::to_string(i))}, static_cast<double>(i), 1.0});
    const std::vector<share_report> reports{report(many)};
    const share_report sum = merge_reports(reports, 64);
    CHECK(sum.teams.size() == 64);
    double wanted = sum.others.wanted;
    for (const team_demand& team : sum.teams)
      wanted += team.wanted;
    CHECK(wanted == doctest::Approx(829.0 * 830.0 / 2.0));
    CHECK(sum.teams.front().wanted == 829.0);
  }
}
