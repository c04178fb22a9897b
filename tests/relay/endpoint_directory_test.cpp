#include "relay/relay.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <vector>

using namespace sedgechute;

namespace {

struct fixture {
  fixture() {
    for (int i = 0; i < 6; ++i)
      directory.put(entry(i));
  }

  static endpoint_entry entry(int number) {
    return {endpoint_id{"e" + std::to_string(number)},
            "engines",
            "127.0.0.1:" + std::to_string(7000 + number),
            data_centre_id{"dc"},
            64,
            false};
  }

  std::optional<placement> place(const generation_terms* terms = nullptr) {
    return directory.place({"engines", terms, {}});
  }

  manual_clock time;
  endpoint_directory directory{data_centre_id{"dc"}, choice_weights{}, time};
};

generation_terms subject(const std::string& name) {
  return {"m", 6000, 100, {{"system", 500}, {name, 4500}, {"own", 1000}}};
}

} // namespace

TEST_CASE("plain requests spread over all endpoints") {
  fixture at;
  std::set<std::string> chosen;
  for (int i = 0; i < 6; ++i) {
    const auto place = at.place();
    REQUIRE(place.has_value());
    chosen.insert(place->endpoint.str());
  }
  CHECK(chosen.size() == 6);
}

TEST_CASE("draining and leaving endpoints get no new requests") {
  fixture at;
  for (int i = 1; i < 6; ++i) {
    endpoint_entry leaving = fixture::entry(i);
    leaving.draining = true;
    at.directory.put(leaving);
  }
  const auto place = at.place();
  REQUIRE(place.has_value());
  CHECK(place->endpoint.str() == "e0");
  at.directory.note_leaving(*place);
  CHECK_FALSE(at.place().has_value());
  CHECK(at.directory.ready("engines") == 0);
}

// Two hosts that have not communicated send prompts with one prefix. Both must choose the same
// endpoint, where the second prompt finds the prefix cached.
TEST_CASE("hosts agree on the home endpoint of a prefix") {
  fixture one;
  fixture other;
  for (int i = 0; i < 20; ++i) {
    const generation_terms terms = subject("s" + std::to_string(i));
    const auto here = one.place(&terms);
    const auto there = other.place(&terms);
    REQUIRE(here.has_value());
    REQUIRE(there.has_value());
    CHECK(here->endpoint == there->endpoint);
    one.directory.release(*here, send_outcome::answered, false);
    other.directory.release(*there, send_outcome::answered, false);
  }
}

// The home endpoint of a prefix is busy. The next prompt goes elsewhere and fetches the prefix from
// an endpoint that has it.
TEST_CASE("a prompt that leaves its home endpoint fetches the prefix from there") {
  fixture at;
  const generation_terms terms = subject("s");
  const auto home = at.place(&terms);
  REQUIRE(home.has_value());
  CHECK(home->fetch_from.empty());
  std::optional<placement> away;
  for (int i = 0; i < 30 && (!away || away->endpoint == home->endpoint); ++i)
    away = at.place(&terms);
  REQUIRE(away->endpoint != home->endpoint);
  CHECK(away->fetch_from == home->address);
}

// Guards against requests that go to an unreachable endpoint because an earlier one left it.
TEST_CASE("a send that another endpoint takes over does not show that its endpoint is reachable") {
  fixture at;
  std::vector<placement> open;
  for (int i = 0; i < 12; ++i)
    open.push_back(*at.place());
  const auto silent = open.front();
  const auto later = std::find_if(open.begin() + 1, open.end(), [&](const placement& one) {
    return one.endpoint == silent.endpoint;
  });
  REQUIRE(later != open.end());
  at.directory.note_sent(open.front());
  at.directory.release(*later, send_outcome::silent, false);
  REQUIRE(at.directory.paths_to("engines") == endpoint_directory::paths::some);
  at.directory.release(open.front(), send_outcome::stalled, false);
  CHECK(at.directory.paths_to("engines") == endpoint_directory::paths::some);
}

TEST_CASE("a refused connection sends the next requests elsewhere until a probe succeeds") {
  fixture at;
  for (int i = 1; i < 6; ++i)
    at.directory.remove(endpoint_id{"e" + std::to_string(i)});
  const auto place = at.place();
  REQUIRE(place.has_value());
  at.directory.release(*place, send_outcome::unreachable, false);
  CHECK_FALSE(at.place().has_value());
  at.time.advance(time_ms{300});
  const auto probes = at.directory.due_probes();
  REQUIRE(probes.size() == 1);
  at.directory.note_probe(probes.front(), true, false);
  CHECK(at.place().has_value());
}

TEST_CASE("own use of endpoints is reported as changes or in full") {
  fixture at;
  const auto place = at.place();
  REQUIRE(place.has_value());
  CHECK(at.directory.own_use(true).size() == 1);
  CHECK(at.directory.own_use(true).empty());
  CHECK(at.directory.own_use(false).size() == 1);
  at.directory.release(*place, send_outcome::answered, false);
  const auto changed = at.directory.own_use(true);
  REQUIRE(changed.size() == 1);
  CHECK(changed.front().use == endpoint_use{});
}

// A host that was cut off by resets took each refused connection for the death of an endpoint, and
// contents that had run there were quarantined.
TEST_CASE("a host whose connections to all endpoints are refused counts none of them as dead") {
  fixture at;
  int lost = 0;
  at.directory.on_loss([&](const endpoint_id&, endpoint_hash, loss_source) { ++lost; });
  for (int i = 0; i < 6; ++i) {
    const auto place = at.place();
    REQUIRE(place.has_value());
    at.directory.release(*place, send_outcome::unreachable, false);
  }
  for (int round = 0; round < 40; ++round) {
    at.time.advance(time_ms{100});
    for (const endpoint_directory::probe& probe : at.directory.due_probes())
      at.directory.note_probe(probe, false, false);
  }
  CHECK(lost == 0);
}

// Guards against a log line for each answer of an endpoint whose figures cannot be used.
TEST_CASE("a load report that cannot be used is reported once for each start of the endpoint") {
  fixture at;
  std::vector<std::string> reported;
  at.directory.on_malformed_load([&](const endpoint_id& id, const std::string& report) {
    reported.push_back(id.str() + ' ' + report);
  });
  const auto place = at.place();
  REQUIRE(place.has_value());
  for (int i = 0; i < 3; ++i)
    at.directory.note_malformed_load(*place, "3,1,8,busy");
  CHECK(reported == std::vector<std::string>{place->endpoint.str() + " 3,1,8,busy"});
}
