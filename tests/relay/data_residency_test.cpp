#include "relay/relay.hpp"
#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace sedgechute;

namespace {

endpoint_entry entry_in(const std::string& centre) {
  return {endpoint_id{"e-" + centre}, "engines", "127.0.0.1:1", data_centre_id{centre}, 64, false};
}

struct two_regions {
  two_regions() {
    for (const char* centre : {"north-1", "north-2", "south-1", "elsewhere"})
      directory.put(entry_in(centre));
  }

  /// \returns the endpoints that requests with these restrictions may go to
  std::vector<std::string> allowed(const region_list* of_route, const region_list* of_team) {
    std::vector<std::string> ids;
    std::vector<endpoint_hash> avoid;
    while (const auto place = directory.place({"engines", nullptr, avoid, {of_route, of_team}})) {
      ids.push_back(place->endpoint.str());
      avoid.push_back(place->incarnation);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
  }

  manual_clock time;
  endpoint_directory directory{data_centre_id{"north-1"},
                               choice_weights{},
                               time,
                               random_source{7},
                               {{"north-1", "north"}, {"north-2", "north"}, {"south-1", "south"}}};
};

config_ptr config_for(const region_list& of_route, const region_list& of_team) {
  auto config = std::make_shared<fleet_config>();
  config->version = 1;
  config->keys_required = true;
  route made;
  made.name = "r";
  made.host = "f.example";
  made.prefix = "/safe/";
  made.kind = request_kind::safe;
  made.timeout = time_ms{2000};
  made.services = {{"s", 1}};
  made.regions = of_route;
  config->add_route(made);
  config->add_service({"s", 100, 8, 100000, 5});
  team_terms team;
  team.name = team_id{"team-a"};
  team.prepaid = 1000000;
  team.regions = of_team;
  config->add_team(team, {"key-a"});
  return config;
}

} // namespace

TEST_CASE("without restrictions requests go to every region") {
  two_regions at;
  const region_list none;
  CHECK(at.allowed(nullptr, nullptr).size() == 4);
  CHECK(at.allowed(&none, &none).size() == 4);
}

TEST_CASE("restrictions of the route and of the team both bind") {
  two_regions at;
  const region_list north{"north"};
  const region_list south{"south"};
  const region_list both{"south", "north"};
  CHECK(at.allowed(&north, nullptr) == std::vector<std::string>{"e-north-1", "e-north-2"});
  CHECK(at.allowed(nullptr, &south) == std::vector<std::string>{"e-south-1"});
  CHECK(at.allowed(&both, &south) == std::vector<std::string>{"e-south-1"});
  CHECK(at.allowed(&north, &south).empty());
}

// Guards against data that leaves its region because the settings do not name a data centre.
TEST_CASE("an endpoint whose region is unknown gets no restricted request") {
  two_regions at;
  const region_list unknown{"elsewhere"};
  CHECK(at.allowed(&unknown, nullptr).empty());
}

TEST_CASE("a request without an endpoint in its regions is refused at once and not sent") {
  const region_list none;
  const region_list nowhere{"nowhere"};
  for (const config_ptr& config : {config_for(nowhere, none), config_for(none, nowhere)}) {
    scripted_endpoint endpoint{answers("ok")};
    relay_fixture host{1000000, {}, config};
    host.add_endpoint("e", endpoint.address());
    const std::string answer = host.call("/safe/x", "a1");
    CHECK(status_of(answer) == 503);
    CHECK(answer.find("Retry-After") != std::string::npos);
    CHECK(endpoint.seen().empty());
  }
}
