#include "relay/relay.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

generation_terms prompt_of(std::vector<prompt_part> parts) {
  return {"m", 1000, 50, std::move(parts)};
}

} // namespace

TEST_CASE("prompts share prefixes up to their first different part") {
  const auto one = shared_prefixes(prompt_of({{"a", 100}, {"b", 200}, {"own-1", 50}}));
  const auto two = shared_prefixes(prompt_of({{"a", 100}, {"c", 300}, {"own-2", 50}}));
  REQUIRE(one.size() == 2);
  REQUIRE(two.size() == 2);
  CHECK(one[0].hash == two[0].hash);
  CHECK(one[1].hash != two[1].hash);
  CHECK(one[1].tokens == 300);
}

TEST_CASE("a prompt of a single part has no shared prefix") {
  CHECK(shared_prefixes(prompt_of({{"own", 50}})).empty());
  CHECK(shared_prefixes(prompt_of({})).empty());
}

TEST_CASE("the longest prefix sent to an endpoint counts until it expires") {
  const auto prefixes = shared_prefixes(prompt_of({{"a", 100}, {"b", 200}, {"own", 50}}));
  prefix_index seen{time_ms{5000}};
  seen.note({prefixes[0].hash, 7}, time_ms{1000});
  CHECK(seen.tokens_at(prefixes, 7, time_ms{2000}) == 100);
  seen.note({prefixes[1].hash, 7}, time_ms{3000});
  CHECK(seen.tokens_at(prefixes, 7, time_ms{3500}) == 300);
  CHECK(seen.tokens_at(prefixes, 8, time_ms{3500}) == 0);
  CHECK(seen.tokens_at(prefixes, 7, time_ms{9000}) == 0);
  seen.remove_expired(time_ms{20000});
  CHECK(seen.size() == 0);
}
