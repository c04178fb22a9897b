#include "relay/relay.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

route route_of(std::string host, std::string prefix, std::string name) {
  route made;
  made.name = std::move(name);
  made.host = std::move(host);
  made.prefix = std::move(prefix);
  return made;
}

} // namespace

TEST_CASE("the longest prefix of a host's routes decides") {
  fleet_config config;
  config.add_route(route_of("a.example", "/x/", "short"));
  config.add_route(route_of("a.example", "/x/y/", "long"));
  config.add_route(route_of("b.example", "/x/", "other"));
  REQUIRE(config.find_route("a.example", "/x/y/z") != nullptr);
  CHECK(config.find_route("a.example", "/x/y/z")->name == "long");
  CHECK(config.find_route("a.example", "/x/q")->name == "short");
  CHECK(config.find_route("A.Example:80", "/x/q")->name == "short");
  CHECK(config.find_route("b.example", "/x/y/")->name == "other");
  CHECK(config.find_route("a.example", "/xy") == nullptr);
  CHECK(config.find_route("c.example", "/x/") == nullptr);
}

TEST_CASE("a key belongs to one team, and an unknown key to none") {
  fleet_config config;
  config.add_team({team_id{"t1"}, std::nullopt, 100}, {"k1", "k2"});
  REQUIRE(config.find_team("k2") != nullptr);
  CHECK(config.find_team("k2")->name.str() == "t1");
  CHECK(config.find_team("k3") == nullptr);
  CHECK(config.find_team("") == nullptr);
}

// Only where priorities differ may they decide which requests are refused.
TEST_CASE("priorities differ where two requests may have different ones") {
  const auto made = [](const std::vector<int>& routes, const std::vector<std::optional<int>>& teams,
                       bool open = false) {
    fleet_config config;
    config.keys_required = true;
    for (const int priority : routes) {
      route one = route_of("a.example", "/" + std::to_string(priority) + "/", "r");
      one.priority = priority;
      config.add_route(one);
    }
    if (open) {
      route one = route_of("a.example", "/open/", "open");
      one.open_to_all = true;
      config.add_route(one);
    }
    int number = 0;
    for (const auto& priority : teams)
      config.add_team({team_id{"t" + std::to_string(++number)}, priority, 1}, {});
    return config.priorities_differ();
  };
  CHECK_FALSE(made({}, {}));
  CHECK_FALSE(made({0, 0}, {std::nullopt, 0}));
  CHECK(made({0, 1}, {std::nullopt}));
  CHECK_FALSE(made({0, 1}, {2, 2}));
  CHECK(made({0, 1}, {2, 3}));
  CHECK(made({1}, {std::nullopt, 2}));
  CHECK(made({1}, {1}, true));
  CHECK_FALSE(made({0}, {0}, true));
}

// Guards against a queue for a service of one priority because routes of another have others.
TEST_CASE("the priorities of a service are those of its own routes") {
  fleet_config config;
  const auto add = [&](const std::string& service, int priority) {
    route one = route_of("a.example", "/" + service + std::to_string(priority) + "/", "r");
    one.services = {{service, 1}};
    one.priority = priority;
    config.add_route(one);
  };
  for (const int priority : {0, 1})
    add("mixed", priority);
  add("plain", 2);
  CHECK(config.priorities_differ("mixed"));
  CHECK_FALSE(config.priorities_differ("plain"));
  CHECK_FALSE(config.priorities_differ("unknown"));
}
