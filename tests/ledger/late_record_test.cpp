// Records that reach the log late, after the state that they report has changed, and the schedules
// that found such faults.

#include "schedule.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::ledger;

namespace {

const team_id team{"team-a"};
const incarnation holder{host_id{"h1"}, 1};
const incarnation other{host_id{"h2"}, 1};
const incarnation witness{host_id{"h3"}, 1};

/// A log of one team that bought 2000 tokens.
struct log_fixture {
  log_fixture() { state.on_contract(++end, team, 2000); }

  record_verdict apply(record_body body) {
    ++end;
    return state.on_record(end, {{end, end}, std::move(body)});
  }
  epoch_number grant_to(const incarnation& host, token_count tokens) {
    REQUIRE(apply(grant{team, 0, host, witness, data_centre_id{"dc"}, tokens, 0, end}) ==
            record_verdict::applied);
    return end;
  }
  [[nodiscard]] team_totals totals() const { return state.totals(state.find_team(team)); }

  ledger_state state{ledger_options{}};
  log_offset end{0};
};

std::string first_finding(std::uint64_t seed) {
  return run_schedule(make_schedule(seed, mutation::none)).first;
}

} // namespace

// A holder writes off a reservation. A later attempt is billed little, and the holder sends the
// freed tokens to another holder, whose report reaches the log first. Transferred tokens are not
// lost: the team's outstanding sum must not become negative.
TEST_CASE("tokens that have moved to another holder do not count as lost") {
  log_fixture log;
  const epoch_number sender = log.grant_to(holder, 1000);
  const epoch_number receiver = log.grant_to(other, 500);
  const token_count committed = log.totals().committed();
  REQUIRE(log.apply(report{{{.epoch = sender, .version = 1, .lost = 900}}}) ==
          record_verdict::applied);
  REQUIRE(log.apply(report{{{.epoch = receiver, .version = 1, .received = {{sender, 1, 600}}}}}) ==
          record_verdict::applied);
  CHECK(log.state.find(sender)->remainder() == 400);
  CHECK(log.state.find(sender)->outstanding() >= 0);
  CHECK(log.state.find(sender)->written_off() <= 400);
  CHECK(log.totals().committed() == committed);
}

TEST_CASE("schedules in which a transfer is reported before the recovered reservation") {
  CHECK(first_finding(30202898) == "");
  CHECK(first_finding(30481329) == "");
}

// A holder has billed 500 tokens, returns 300, and dies with all its reports in flight. An operator
// proves from the endpoints' records that only 500 were used and releases the rest. Then the report
// that returns 300 is appended: they were among the released tokens, and the used tokens must stay
// committed.
TEST_CASE("a late report does not return released tokens again") {
  log_fixture log;
  const epoch_number epoch = log.grant_to(holder, 1000);
  REQUIRE(log.apply(reclaim_batch{{{epoch, 0, 1000}}}) == record_verdict::applied);
  REQUIRE(log.apply(release{team, epoch, 500, 1000, release_proof::usage_statement, "records",
                            log.end}) == record_verdict::applied);
  REQUIRE(log.totals().committed() == 500);
  (void)log.apply(report{{{.epoch = epoch, .version = 1, .spent = 100, .returned = 300}}});
  CHECK(log.totals().committed() >= 500);
  CHECK(first_finding(30246028) == "");
}
