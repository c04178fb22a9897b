#include "relay/relay.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace sedgechute;

namespace {

constexpr std::size_t endpoints = 6;

void fill(endpoint_directory& directory) {
  for (std::size_t i = 0; i < endpoints; ++i)
    directory.put({endpoint_id{"e" + std::to_string(i)}, "engines", "127.0.0.1:7000",
                   data_centre_id{"dc"}, 8, false});
}

placement handle(std::size_t endpoint) {
  placement of;
  of.endpoint = endpoint_id{"e" + std::to_string(endpoint)};
  of.local_incarnation = endpoint + 1;
  return of;
}

} // namespace

// Guards against another choice, or another sequence of random draws, in deployments whose
// endpoints report three figures. The costs differ, so the expected choice depends on no order.
TEST_CASE("a service without work times is placed exactly as before") {
  manual_clock time;
  random_source random{11};
  endpoint_directory directory{data_centre_id{"dc"}, {}, time, random_source{5}};
  endpoint_directory with_uneven{data_centre_id{"dc"}, {}, time, random_source{5}};
  fill(directory);
  fill(with_uneven);
  with_uneven.put({endpoint_id{"other"}, "uneven", "127.0.0.1:7001", data_centre_id{"dc"}, 8});
  placement other;
  other.endpoint = endpoint_id{"other"};
  other.local_incarnation = endpoints + 1;
  with_uneven.note_load(other, {1, 0, 8, 150.0});
  const generation_terms terms{"m", 900, 100, {}};
  for (int round = 0; round < 200; ++round) {
    std::vector<replica_candidate> candidates(endpoints);
    for (std::size_t i = 0; i < endpoints; ++i) {
      const load_report load{random.below(20) * endpoints + i, random.below(4), 8};
      directory.note_load(handle(i), load);
      with_uneven.note_load(handle(i), load);
      candidates[i].slots = 8;
      candidates[i].load = load;
    }
    const auto place = directory.place({"engines", &terms, {}});
    const auto same = with_uneven.place({"engines", &terms, {}});
    REQUIRE(place.has_value());
    REQUIRE(same.has_value());
    CHECK(place->local_incarnation == *choose_replica(candidates, 900, {}) + 1);
    CHECK(same->local_incarnation == place->local_incarnation);
    CHECK(same->grant == place->grant); // the next draw
    CHECK_FALSE(place->estimated_wait_ms.has_value());
    directory.release(*place, send_outcome::withheld, false);
    with_uneven.release(*same, send_outcome::withheld, false);
  }
}

// Guards against prompts that are read again because another endpoint has a little less load.
TEST_CASE("a prompt goes on to the endpoint that has cached its prefix when waits are estimated") {
  manual_clock time;
  endpoint_directory directory{data_centre_id{"dc"}, {}, time, random_source{5}};
  directory.set_hosts("h0", std::vector<std::string>(84));
  fill(directory);
  for (std::size_t i = 0; i < endpoints; ++i)
    directory.note_load(handle(i), {i, 0, 8, 100.0});
  const generation_terms terms{"m", 6000, 100, {{"system", 500}, {"subject", 4500}, {"own", 1000}}};
  const auto first = directory.place({"engines", &terms, {}});
  REQUIRE(first.has_value());
  CHECK(first->estimated_wait_ms.has_value());
  for (int i = 0; i < 20; ++i) {
    const auto again = directory.place({"engines", &terms, {}});
    REQUIRE(again.has_value());
    CHECK(again->endpoint == first->endpoint);
    directory.note_prompt_read(*again);
    directory.release(*again, send_outcome::answered, true);
  }
}
