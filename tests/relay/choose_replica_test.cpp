#include "relay/relay.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

const choice_weights weights;

std::size_t choose(const std::vector<replica_candidate>& from, std::uint64_t prompt) {
  const auto chosen = choose_replica(from, prompt, weights);
  REQUIRE(chosen.has_value());
  return *chosen;
}

} // namespace

TEST_CASE("without candidates nothing is chosen") {
  CHECK_FALSE(choose_replica({}, 100, weights));
}

// A chat request arrives while one engine prefills a document of 50,000 tokens from another host.
// It must not wait for most of a second behind it.
TEST_CASE("a short prompt does not queue behind a long one of another host") {
  std::vector<replica_candidate> engines(2);
  engines[0].slots = engines[1].slots = 64;
  engines[0].unread_tokens_elsewhere = 50000;
  engines[1].open_here = 12;
  CHECK(choose(engines, 600) == 1);
}

// The engine that has cached a user's history runs three more answers than the other one. Reading
// 5,000 tokens again costs far more than that.
TEST_CASE("a prompt goes to the endpoint that has cached its prefix") {
  std::vector<replica_candidate> engines(2);
  engines[0].slots = engines[1].slots = 64;
  engines[0].open_here = 3;
  engines[1].missing_tokens = 5000;
  CHECK(choose(engines, 6500) == 0);
}

// A third of all callers share one prefix. Its engine is busy for seconds; another one that fetches
// the prefix from it answers sooner.
TEST_CASE("a prompt leaves a busy engine for one that can fetch its prefix") {
  std::vector<replica_candidate> engines(2);
  engines[0].slots = engines[1].slots = 64;
  engines[0].unread_tokens_here = 30000;
  engines[1].missing_tokens = 5000;
  engines[1].fetchable_tokens = 5000;
  CHECK(choose(engines, 6500) == 1);
}

TEST_CASE("an endpoint that fails its requests is avoided while another can serve") {
  std::vector<replica_candidate> endpoints(2);
  endpoints[0].slots = endpoints[1].slots = 6;
  endpoints[0].failing = 0.5;
  endpoints[1].open_here = 6;
  CHECK(choose(endpoints, 0) == 1);
}

TEST_CASE("an old load report is ignored") {
  replica_candidate endpoint;
  endpoint.open_here = 1;
  endpoint.load = load_report{20, 5, 6};
  endpoint.load_age = time_ms{100};
  CHECK(expected_open(endpoint, weights) == 25);
  endpoint.load_age = weights.max_load_age + time_ms{1};
  CHECK(expected_open(endpoint, weights) == 1);
}
