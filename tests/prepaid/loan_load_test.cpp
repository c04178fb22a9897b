// Guards against requests that are refused at a host without tokens while other hosts hold those of
// the team: callers crowd at a few hosts, and at others every second; messages are lost and late.

#include "loan_load_model.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

TEST_CASE("hosts find their team's tokens under uneven load") {
  // Loan messages and account records per 1,000 requests while each request borrowed by itself.
  struct fleet {
    int hosts;
    double messages_before;
    double records_before;
  };
  for (const fleet& one :
       {fleet{1, 0, 8370}, fleet{9, 1946, 2174}, fleet{81, 2741, 440}, fleet{300, 3240, 508}}) {
    loan_load_result all;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const loan_load_result result = loan_load_model{{.hosts = one.hosts, .seed = seed}}.run();
      all.requests += result.requests;
      all.refused += result.refused;
      all.exhausted += result.exhausted;
      all.waited += result.waited;
      all.messages += result.messages;
      all.records += result.records;
      all.longest_wait = std::max(all.longest_wait, result.longest_wait);
      all.overspent += result.overspent;
    }
    MESSAGE(one.hosts, " hosts: ", all.requests, " requests, ", all.refused, " refused, ",
            all.exhausted, " exhausted, ", all.waited, " waited, at most ",
            all.longest_wait.count(), " ms, ", all.messages, " messages, ", all.records,
            " records");
    CHECK(all.overspent == 0);
    CHECK(all.exhausted == 0);
    CHECK(all.refused * 200 <= all.requests);
    CHECK(all.longest_wait <= time_ms{250});
    CHECK(all.messages * 2000.0 <= one.messages_before * all.requests);
    CHECK(all.records * 2000.0 <= one.records_before * all.requests);
  }
}

// Holders that the store turns away cannot renew their promises, and hosts that are turned away get
// no grants.
TEST_CASE("hosts find their team's tokens while the store turns a third of them away") {
  for (const double budget_seconds : {60., 300.})
    for (const bool callers_move : {true, false})
      for (const int hosts : {9, 81, 300}) {
        loan_load_result all;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
          const loan_load_result result = loan_load_model{
              {.hosts = hosts,
               .length = time_ms{9000},
               .seed = seed,
               .away_every = 3,
               .budget_seconds = budget_seconds,
               .callers_move = callers_move}}.run();
          all.requests += result.requests;
          all.refused += result.refused;
          all.exhausted += result.exhausted;
          all.messages += result.messages;
          all.records += result.records;
          all.longest_wait = std::max(all.longest_wait, result.longest_wait);
          all.overspent += result.overspent;
        }
        MESSAGE(hosts, " hosts, ", budget_seconds, " s, callers ",
                callers_move ? "move: " : "stay: ", all.requests, " requests, ", all.refused,
                " refused, at most ", all.longest_wait.count(), " ms, ", all.messages,
                " messages, ", all.records, " records");
        CHECK(all.overspent == 0);
        CHECK(all.exhausted == 0);
        CHECK(all.refused * 200 <= all.requests);
        CHECK(all.longest_wait <= time_ms{250});
      }
}
