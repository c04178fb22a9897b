#include "prepaid/prepaid.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

TEST_CASE("an account reads back as it was written") {
  const account written{17, 5000, 1200, 33};
  const auto read = decode_account(account_key("team-a", "host-1"), encode_account(written));
  REQUIRE(read.has_value());
  CHECK(read->team == "team-a");
  CHECK(read->host == "host-1");
  CHECK(read->value == written);
}

TEST_CASE("bytes that no host wrote are not taken for an account") {
  CHECK_FALSE(decode_account("team-a", "1 2 3 4"));
  CHECK_FALSE(decode_account("team-a\nhost-1", ""));
  CHECK_FALSE(decode_account("team-a\nhost-1", "1 2 3"));
  CHECK_FALSE(decode_account("team-a\nhost-1", "1 2 3 4 5"));
  CHECK_FALSE(decode_account("team-a\nhost-1", "1 2 x 4"));
  CHECK_FALSE(decode_account("team-a\nhost-1", "1 2 3 99999999999999999999999"));
}

TEST_CASE("an account that uses more than it was granted has no slack") {
  CHECK(account{1, 100, 130, 0}.slack() == 0);
  CHECK(account{1, 130, 100, 0}.slack() == 30);
}
