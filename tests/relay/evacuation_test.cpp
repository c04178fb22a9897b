#include "relay/relay.hpp"
#include "relay_fixture.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace sedgechute;

namespace {

endpoint_entry entry_in(const std::string& centre, const std::string& id, time_ms cold_left = {}) {
  return {endpoint_id{id}, "engines",    "127.0.0.1:1", data_centre_id{centre}, 64,
          false,           std::nullopt, cold_left};
}

data_centre_id centre_of(int number) {
  return data_centre_id{"dc-" + std::to_string(number)};
}

struct three_centres {
  three_centres() {
    for (int i = 0; i < 9; ++i)
      directory.put(entry_in(centre_of(i % 3).str(), "e" + std::to_string(i)));
  }

  manual_clock time;
  endpoint_directory directory{data_centre_id{"dc-0"}, choice_weights{}, time, random_source{7}};
};

} // namespace

TEST_CASE("of several orders for a data centre the last one holds") {
  const data_centre_id a{"a"};
  const data_centre_id b{"b"};
  CHECK(apply_changes({}, {{a, true}, {a, false}, {b, true}}, false) == evacuated_centres{b});
  CHECK(apply_changes({a}, {{b, true}}, false) == evacuated_centres{a, b});
  CHECK(apply_changes({a}, {{b, true}}, true) == evacuated_centres{b});
  CHECK(apply_changes({a}, {}, true).empty());
}

// Guards against an evacuated data centre that gets requests, whichever way its endpoints became
// known or changed meanwhile.
TEST_CASE("no schedule of evacuations and entries sends a request to an evacuated data centre") {
  const bool held = rc::check([] {
    three_centres at;
    evacuated_centres evacuated;
    std::map<std::string, data_centre_id> centres;
    for (int i = 0; i < 9; ++i)
      centres["e" + std::to_string(i)] = centre_of(i % 3);
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    for (const int step : steps) {
      const data_centre_id centre = centre_of(step % 3);
      const std::string id = "e" + std::to_string(step % 11);
      switch (step / 3 % 5) {
      case 0:
        evacuated = apply_changes(evacuated, {{centre, true}}, false);
        at.directory.set_evacuated(evacuated);
        break;
      case 1:
        evacuated = apply_changes(evacuated, {{centre, false}}, step % 2 == 0);
        at.directory.set_evacuated(evacuated);
        break;
      case 2:
        at.directory.put(entry_in(centre.str(), id));
        centres[id] = centre;
        break;
      case 3:
        at.directory.remove(endpoint_id{id});
        break;
      default:
        at.directory.put(
            {endpoint_id{id}, "engines", "127.0.0.1:1", centre, 64, false, time_ms{step + 1}});
        centres[id] = centre;
      }
      const auto place = at.directory.place({"engines", nullptr, {}});
      if (place)
        RC_ASSERT(!evacuated.contains(centres.at(place->endpoint.str())));
    }
  });
  CHECK(held);
}

TEST_CASE("endpoints of an evacuated data centre do not count as ready") {
  three_centres at;
  CHECK(at.directory.ready("engines") == 9);
  at.directory.set_evacuated({centre_of(0), centre_of(2)});
  CHECK(at.directory.ready("engines") == 3);
  at.directory.set_evacuated({});
  CHECK(at.directory.ready("engines") == 9);
}

// Guards against the crash of endpoints that became cold while their data centre was evacuated, and
// whose entries do not say so yet.
TEST_CASE("endpoints of a data centre that is taken back count as cold") {
  three_centres at;
  at.directory.set_cold_start({{"engines", {time_ms{3000}, 10}}});
  at.directory.set_evacuated({centre_of(1)});
  CHECK(at.directory.cold() == 0);
  at.directory.set_evacuated({});
  CHECK(at.directory.cold() == 3);
  at.time.advance(time_ms{3000});
  CHECK(at.directory.cold() == 0);
}

TEST_CASE("the start time of an endpoint in an evacuated data centre is not queried") {
  three_centres at;
  at.directory.put(
      {endpoint_id{"e1"}, "engines", "127.0.0.1:1", centre_of(1), 64, false, time_ms{100}});
  at.directory.set_evacuated({centre_of(0), centre_of(2)});
  auto place = at.directory.place({"engines", nullptr, {}});
  while (place && place->endpoint.str() != "e1")
    place = at.directory.place({"engines", nullptr, {}});
  REQUIRE(place.has_value());
  at.directory.release(*place, send_outcome::failed, false);
  at.directory.set_evacuated({centre_of(1)});
  for (const auto& probe : at.directory.due_probes())
    CHECK_FALSE(probe.query_start_time);
}

// Guards against a wait until the deadline where it is known that no endpoint may be used.
TEST_CASE("a service whose endpoints are all evacuated refuses at once, truthfully") {
  scripted_endpoint endpoint{answers("ok")};
  relay_fixture host;
  host.add_endpoint("e", endpoint.address());
  host.endpoints().set_evacuated({data_centre_id{"dc"}});
  const std::string answer = host.call("/safe/x", "a1");
  CHECK(status_of(answer) == 503);
  CHECK(answer.find("Retry-After") != std::string::npos);
  CHECK(endpoint.seen().empty());
  host.endpoints().set_evacuated({});
  CHECK(status_of(host.call("/safe/x", "a2")) == 200);
}
