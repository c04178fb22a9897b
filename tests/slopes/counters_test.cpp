#include "config/config.hpp"
#include "slopes/names.hpp"
#include "slopes/runs.hpp"
#include "slopes/samples.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::slopes;

// docs/CAPACITY.md computes traffic and memory from these counts. They depend on the code alone, so
// a change of any is a decision: whoever makes it corrects the figure here and the page with it.

TEST_CASE("records of the log have the sizes that the capacity page counts with") {
  // Every host reads each record, so a byte more is 350 bytes more from the platform's log.
  CHECK(grant_record(1, host_name(1), host_name(2)).size() == 103);
  // One for each new slice and for each that is enlarged; report rows follow every ten seconds.
  CHECK(report_record(100'000, 1, 101).size() == 36);
  CHECK(report_record(100'000, 64, 101).size() - report_record(100'000, 63, 101).size() == 12);
  // 3,700 changes a day are few beside these; the size bounds a start without checkpoint.
  CHECK(contract_record(1, 1).size() == 639);
  // One for each claim shard when its holder or witness changes.
  CHECK(claim_delegation_record().size() == 83);
  // One for each pool when its decider changes.
  CHECK(pool_claim_record().size() == 38);
}

TEST_CASE("messages between hosts have the sizes that the capacity page counts with") {
  // Sent to a pool's speaker each round, and answered: 25 bytes for each team with demand here.
  CHECK(share_message_bytes(1, 64) == 1674);
  CHECK(share_message_bytes(13, 1) == 866);
  // Sent to all hosts twice a second: 67 bytes for each endpoint polled here.
  CHECK(load_message_bytes(1) == 100);
  CHECK(load_message_bytes(8) - load_message_bytes(1) == 470);
  // Told as requests start and end, where few hosts feed a pool; unread prompt tokens by urgency.
  CHECK(use_message_bytes(64) == 1981);
}

TEST_CASE("the exchange of shares sends what the capacity page counts with") {
  // 350 hosts, 13 pools, 830 teams and the letter's requests. The host that sends most speaks for
  // two pools; before hosts were answered for their own teams only, it sent megabytes.
  const share_traffic found = measure_shares(350);
  CHECK(found.messages == doctest::Approx(5.6257).epsilon(0.001));
  CHECK(found.most_sent == doctest::Approx(10'845).epsilon(0.001));
  CHECK(found.most_received == doctest::Approx(10'259).epsilon(0.001));
}

TEST_CASE("a checkpoint grows by what the capacity page counts for each contract") {
  document_store store;
  const auto none = [](const team_id&) { return std::int64_t{0}; };
  REQUIRE(store.apply(1, document_of(fleet_record()), none).fleet);
  std::size_t before = 0;
  constexpr std::size_t half = 200;
  for (std::size_t team = 0; team < 2 * half; ++team) {
    if (team == half)
      before = to_wire(store.snapshot()).ByteSizeLong();
    const auto applied = store.apply(team + 2, document_of(contract_record(team, team + 1)), none);
    INFO(applied.outcome.reason);
    REQUIRE(applied.agreed);
  }
  // The contract, its 48 bytes of salt and hash that nothing can shorten, and the outcome of its
  // publishing, which is kept for the last 8192 only.
  CHECK((to_wire(store.snapshot()).ByteSizeLong() - before) / half == 155);
}

TEST_CASE("a line fitted through points on a line is that line") {
  const line found = fit({{1, 5}, {2, 7}, {4, 11}});
  CHECK(found.slope == doctest::Approx(2));
  CHECK(found.intercept == doctest::Approx(3));
  CHECK(found.residual == doctest::Approx(0));
}

TEST_CASE("a point beside the line shows in the residual") {
  CHECK(fit({{1, 5}, {2, 9}, {3, 5}}).residual > 0.2);
}
