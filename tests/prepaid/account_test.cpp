#include "prepaid/prepaid.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

TEST_CASE("an account reads back as it was written") {
  const account written{.incarnation = 17,
                        .granted = 5000,
                        .used = 1200,
                        .rate = 33,
                        .burst = 40,
                        .pace = 50,
                        .outage_pace = 60,
                        .outage_after = time_ms{2500},
                        .written = {time_ms{123}, time_ms{456789}, true}};
  const auto read = decode_account(account_key("team-a", "host-1"), encode_account(written));
  REQUIRE(read.has_value());
  CHECK(read->team == "team-a");
  CHECK(read->host == "host-1");
  CHECK(read->value == written);
}

// The account of a killed host of an earlier release has no promise in it.
TEST_CASE("a host that promised nothing may have used all that it was granted") {
  const auto read = decode_account("team-a\nhost-1", "1 200 3 4");
  REQUIRE(read.has_value());
  CHECK(max_used(read->value, time_ms{0}) == 200);
}

TEST_CASE("a promise grows with time, slowly and then faster, up to what was granted") {
  const account promised{.incarnation = 1,
                         .granted = 1000,
                         .used = 100,
                         .rate = 0,
                         .burst = 20,
                         .pace = 10,
                         .outage_pace = 100,
                         .outage_after = time_ms{2000},
                         .written = {}};
  CHECK(max_used(promised, time_ms{-500}) == 120);
  CHECK(max_used(promised, time_ms{0}) == 120);
  CHECK(max_used(promised, time_ms{2000}) == 140);
  CHECK(max_used(promised, time_ms{3000}) == 240);
  CHECK(max_used(promised, time_ms{100000}) == 1000);
}

TEST_CASE("a recorded budget reads back as it was written") {
  CHECK(decode_budget(budget_key("team-a"), encode_budget(700)) == budget_record{"team-a", 700});
  CHECK(read_budget_key(budget_key("team-a")) == "team-a");
}

TEST_CASE("malformed recorded budgets are rejected") {
  CHECK_FALSE(decode_budget("team-a", "700"));
  CHECK_FALSE(decode_budget("team-a\nhost-1", "700"));
  CHECK_FALSE(decode_budget("\n", "700"));
  CHECK_FALSE(decode_budget("team-a\n", ""));
  CHECK_FALSE(decode_budget("team-a\n", "-7"));
  CHECK_FALSE(decode_budget("team-a\n", "700 "));
  CHECK_FALSE(decode_budget("team-a\n", "1125899906842625"));
}

TEST_CASE("malformed accounts are rejected") {
  CHECK_FALSE(decode_account("team-a", "1 2 3 4"));
  CHECK_FALSE(decode_account("team-a\nhost-1", ""));
  CHECK_FALSE(decode_account("team-a\nhost-1", "1 2 3"));
  CHECK_FALSE(decode_account("team-a\nhost-1", "1 2 3 4 5"));
  CHECK_FALSE(decode_account("team-a\nhost-1", "1 2 x 4"));
  CHECK_FALSE(decode_account("team-a\nhost-1", "1 2 3 4 5 6 7 8 9 10"));
  CHECK_FALSE(decode_account("team-a\nhost-1", "1 2 3 4 5 6 7 8 9 10 1 12"));
  CHECK_FALSE(decode_account("team-a\nhost-1", "1 2 3 99999999999999999999999"));
}

// Another program writes an account whose numbers are near the limit of 64 bits. The sum of two of
// them would wrap, and a budget that is granted entirely would look free.
TEST_CASE("an account whose numbers would overflow sums is rejected") {
  CHECK(decode_account("team-a\nhost-1", "1 1125899906842624 3 4").has_value());
  CHECK_FALSE(decode_account("team-a\nhost-1", "1 1125899906842625 3 4"));
  CHECK_FALSE(decode_account("team-a\nhost-1", "1 18446744073709551615 3 4"));
  CHECK_FALSE(decode_account("team-a\nhost-1", "1 2 3 4 18446744073709551615 6 7 8 9 10 0"));
}

TEST_CASE("an account that uses more than it was granted has no slack") {
  CHECK(account{.incarnation = 1, .granted = 100, .used = 130}.slack() == 0);
  CHECK(account{.incarnation = 1, .granted = 130, .used = 100}.slack() == 30);
}

TEST_CASE("a promise without a second pace stops growing at its end") {
  const account promised{.incarnation = 1,
                         .granted = 1000,
                         .used = 100,
                         .burst = 20,
                         .pace = 10,
                         .outage_after = time_ms{12000}};
  CHECK(use_limit(promised) == 240);
  CHECK(max_used(promised, time_ms{12000}) == 240);
  CHECK(max_used(promised, time_ms{1000000000}) == 240);
  CHECK(reclaimed(promised).granted == 240);
  CHECK(max_used(reclaimed(promised), time_ms{0}) == 240);
}

// Its host may use all that it was granted: lowering the grant would give those tokens away twice.
TEST_CASE("a record of an earlier release is not reclaimed") {
  const account endless{.incarnation = 1,
                        .granted = 1000,
                        .used = 100,
                        .burst = 20,
                        .pace = 10,
                        .outage_pace = 1,
                        .outage_after = time_ms{2200}};
  CHECK(use_limit(endless) == 1000);
  const auto older = decode_account("team-a\nhost-1", "1 200 3 4");
  REQUIRE(older);
  CHECK(use_limit(older->value) == 200);
}
