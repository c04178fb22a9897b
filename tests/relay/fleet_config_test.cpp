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
