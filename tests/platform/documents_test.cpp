#include "platform/platform.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

constexpr const char* document = R"({"Version":7,"New":{"a":1},
 "Routes":[{"Name":"r1","Hostname":"f.example","PathPrefix":"/lo/","Type":"streaming",
   "TimeoutMs":15000,"LatencyTargetMs":800,"Priority":1,
   "Backends":[{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}],"MaxAttempts":1,
   "Public":false,"Resumable":true,"InterTokenMs":200},
  {"Name":"r2","Hostname":"f.example","PathPrefix":"/pu/","Type":"safe","TimeoutMs":800,
   "Service":"s2","MaxAttempts":2,"Public":true},
  {"Name":"r3","Hostname":"f.example","PathPrefix":"/od/","Type":"something new","Service":"s2"}],
 "Services":[{"Name":"s1","MaxConnections":370,"Runtime":{"Slots":64,"KvCapacityTokens":518063,
   "Stride":5}},{"Name":"s2","MaxConnections":110}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
   "IdleTimeoutMs":15000},
 "Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Priority":1,"Prepaid":4613384},
  {"Name":"t2","ApiKeys":[]}]})";

} // namespace

TEST_CASE("a configuration is read completely, and unknown fields are ignored") {
  const config_ptr config = parse_config_document(document);
  CHECK(config->version == 7);
  CHECK(config->route_count() == 3);
  const route* stream = config->find_route("f.example", "/lo/x");
  REQUIRE(stream != nullptr);
  CHECK(stream->kind == request_kind::stream);
  CHECK(stream->resumable);
  CHECK(stream->latency_target == time_ms{800});
  REQUIRE(stream->services.size() == 2);
  CHECK(stream->services[0].weight == 90);
  CHECK(config->find_route("f.example", "/pu/")->open_to_all);
  REQUIRE(config->find_service("s1") != nullptr);
  CHECK(config->find_service("s1")->tokens_per_event == 5);
  CHECK(config->limits.idle_timeout == time_ms{15000});
  REQUIRE(config->find_team("k2") != nullptr);
  CHECK(config->find_team("k2")->prepaid == 4613384);
  CHECK(config->keys_required);
}

TEST_CASE("a kind of request that is not known is never repeated") {
  const config_ptr config = parse_config_document(document);
  CHECK(config->find_route("f.example", "/od/")->kind == request_kind::unsafe);
}

TEST_CASE("a document that is not a configuration is refused") {
  CHECK_THROWS_AS((void)parse_config_document("{"), error);
  CHECK_THROWS_AS((void)parse_config_document("[]"), error);
  CHECK_THROWS_AS((void)parse_config_document("{}"), error);
  CHECK_THROWS_AS((void)parse_config_document(R"({"Version":1,"Routes":[{"Name":"r"}]})"), error);
}
