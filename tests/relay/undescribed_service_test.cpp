#include "relay_fixture.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

config_ptr config_with(const std::vector<std::string>& described) {
  auto config = std::make_shared<fleet_config>();
  config->version = 3;
  for (const std::string& name : {std::string{"a"}, std::string{"b"}}) {
    route made;
    made.name = name;
    made.host = "f.example";
    made.prefix = "/" + name + "/";
    made.kind = request_kind::safe;
    made.timeout = time_ms{2000};
    made.services = {{name, 1}};
    config->add_route(made);
  }
  for (const std::string& name : described)
    config->add_service({.name = name});
  config->add_team({team_id{"team-a"}, std::nullopt, 1000000}, {"key-a"});
  return config;
}

scripted_reply answer_whole(const scripted_endpoint::seen_request& request) {
  return {whole_answer(*request.head.fields.find("Attempt-Id"), "ok"), scripted_reply::then::keep,
          ""};
}

} // namespace

// A route names a service that the configuration does not describe, and an endpoint has registered
// for that service. The route's requests must not be sent there. Other routes work as usual, and so
// does this one with a configuration that describes the service.
TEST_CASE("an endpoint of a service that is not described gets no request") {
  for (const bool described : {false, true}) {
    scripted_endpoint known{answer_whole};
    scripted_endpoint other{answer_whole};
    relay_fixture at{1000000,
                     {},
                     config_with(described ? std::vector<std::string>{"a", "b"}
                                           : std::vector<std::string>{"a"})};
    at.add_endpoint("e1", known.address(), std::nullopt, "a");
    at.add_endpoint("e2", other.address(), std::nullopt, "b");
    CHECK(status_of(at.call("/a/", "id-1")) == 200);
    const std::string answer = at.call("/b/", "id-2");
    CHECK(status_of(answer) == (described ? 200 : 503));
    CHECK(other.seen().size() == (described ? 1 : 0));
    CHECK((answer.find("Retry-After") == std::string::npos) == described);
  }
}
