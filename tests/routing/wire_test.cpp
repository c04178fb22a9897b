#include "wire/impl/routing_codec.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::literals;

namespace {

routing_message sample() {
  routing_message message;
  share_report report;
  report.pool = pool_id{"lm"};
  report.from = {host_id{"hf-a-1"}, 77};
  report.sequence = 9;
  report.hosts = 3;
  report.teams = {{team_id{"lens"}, 1200.5, 800.25}, {team_id{"wearers"}, 10.0, 0.0}};
  report.urgent_queued = 12.0;
  report.others = {{}, 5.5, 4.5, 3.5};
  message.shares.push_back(report);
  message.news.deaths.push_back({42, endpoint_id{"lm-1"}, 3, 800_ms, 20_ms});
  message.news.acquittals.push_back({43, 1_s});
  message.news.records.push_back({44, 2, true, 3600_s, {endpoint_id{"lm-1"}, endpoint_id{"lm-2"}}});
  use_report& use = message.use.emplace();
  use.from = {host_id{"hf-a-1"}, 77};
  use.sequence = 5;
  use.whole = false;
  use.uses.push_back({endpoint_id{"lm-1"}, 3, {100.0, 0.0, 2000.0}});
  use.places = {{0xabcdef, endpoint_id{"lm-2"}}, {0x123, endpoint_id{"lm-1"}}};
  return message;
}

} // namespace

TEST_SUITE("routing messages") {
  TEST_CASE("a message is unchanged after encoding and decoding") {
    const routing_message message = sample();
    wire::routing_message parsed;
    CHECK(parsed.ParseFromString(to_wire(message).SerializeAsString()));
    const routing_message back = from_wire(parsed);
    CHECK(back.shares.at(0).from == message.shares[0].from);
    CHECK(back.shares.at(0).sequence == 9);
    CHECK(back.shares.at(0).hosts == 3);
    CHECK(back.shares.at(0).teams.at(0).team == team_id{"lens"});
    CHECK(back.shares.at(0).teams.at(0).wanted == doctest::Approx(1200.5));
    CHECK(back.shares.at(0).others.served == doctest::Approx(4.5));
    CHECK(back.shares.at(0).others.queued == doctest::Approx(3.5));
    CHECK(back.shares.at(0).urgent_queued == doctest::Approx(12.0));
    CHECK(back.news.deaths.at(0).endpoint == endpoint_id{"lm-1"});
    CHECK(back.news.deaths.at(0).ran_for == 800_ms);
    CHECK(back.news.acquittals.at(0).age == 1_s);
    CHECK(back.news.records.at(0).lifted);
    CHECK(back.news.records.at(0).endpoints.size() == 2);
    CHECK(back.use->sequence == 5);
    CHECK_FALSE(back.use->whole);
    CHECK(back.use->uses.at(0).endpoint == endpoint_id{"lm-1"});
    CHECK(back.use->uses.at(0).unread == unread_by_urgency{100.0, 0.0, 2000.0});
    CHECK(back.use->places.at(0).endpoint == endpoint_id{"lm-2"});
    CHECK(back.use->places.at(1).block == 0x123);

    const pool_claim claim{pool_id{"lm"}, {host_id{"hf-a-1"}, 5}, 17};
    const pool_claim claim_back = from_wire(to_wire(claim));
    CHECK(claim_back.claimant == claim.claimant);
    CHECK(claim_back.replaces == 17);
  }

  TEST_CASE("a message with an invalid field is rejected") {
    const auto rejected = [](auto&& damage) {
      wire::routing_message message = to_wire(sample());
      damage(message);
      CHECK_THROWS_AS((void)from_wire(message), error);
    };
    rejected([](auto& m) { m.mutable_shares(0)->set_pool(""); });
    rejected([](auto& m) { m.mutable_shares(0)->set_host(std::string(500, 'x')); });
    rejected([](auto& m) { m.mutable_shares(0)->mutable_teams(0)->set_wanted(-1.0F); });
    rejected([](auto& m) {
      m.mutable_shares(0)->set_others_wanted(std::numeric_limits<float>::quiet_NaN());
    });
    rejected([](auto& m) { m.mutable_use()->mutable_uses(0)->set_endpoint(9); });
    rejected([](auto& m) {
      for (std::size_t i = 0; i <= urgency_count; ++i)
        m.mutable_use()->mutable_uses(0)->add_unread(1);
    });
    rejected([](auto& m) { m.mutable_deaths(0)->set_age_ms(~std::uint64_t{0}); });
    rejected([](auto& m) {
      for (int i = 0; i <= max_quarantine_items; ++i)
        *m.add_acquittals() = m.acquittals(0);
    });
  }

  TEST_CASE("a report of the most teams is smaller than four kilobytes") {
    routing_message message;
    share_report report;
    report.pool = pool_id{"lm"};
    report.from = {host_id{"hf-a-1"}, ~std::uint64_t{0}};
    for (std::size_t i = 0; i < share_policy{}.max_teams; ++i)
      report.teams.push_back({team_id{std::string(24, 't') + std::to_string(i)}, 1e5, 1e5});
    message.shares.push_back(report);
    CHECK(to_wire(message).ByteSizeLong() < 4096);
  }
}
