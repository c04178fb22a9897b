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

TEST_CASE("cold starts and regions are read, and are absent where they are not given") {
  const config_ptr without = parse_config_document(document);
  CHECK(without->find_service("s1")->cold_start.per_second == 0);
  CHECK(without->find_route("f.example", "/lo/x")->regions.empty());
  const config_ptr config = parse_config_document(R"({"Version":8,
    "Routes":[{"Name":"r","Hostname":"f.example","PathPrefix":"/","Type":"safe","Service":"s",
      "AllowedRegions":["is-sv","is-no"]}],
    "Services":[{"Name":"s","ColdStartS":2.5,"ColdPerS":0.5}],
    "Tenants":[{"Name":"t","ApiKeys":["k"],"AllowedRegions":["is-no"]}]})");
  CHECK(config->find_service("s")->cold_start.duration == time_ms{2500});
  CHECK(config->find_service("s")->cold_start.per_second == 0.5);
  CHECK(config->find_route("f.example", "/")->regions == region_list{"is-sv", "is-no"});
  CHECK(config->find_team("k")->regions == region_list{"is-no"});
}

TEST_CASE("a configuration with an invalid cold start or region is refused as a whole") {
  for (const char* fields : {R"("ColdStartS":-1)", R"("ColdStartS":1e12)", R"("ColdStartS":"3")",
                             R"("ColdPerS":-0.5)", R"("ColdPerS":1e300)", R"("ColdPerS":[])"}) {
    INFO(fields);
    CHECK_THROWS_AS(
        (void)parse_config_document(
            std::string{R"({"Version":1,"Routes":[],"Services":[{"Name":"s",)"} + fields + "}]}"),
        error);
  }
  for (const char* regions : {R"("is-sv")", "[1]", R"([""])", "{}"}) {
    INFO(regions);
    CHECK_THROWS_AS((void)parse_config_document(
                        std::string{R"({"Version":1,"Routes":[{"Name":"r","Hostname":"h",
                          "PathPrefix":"/","Type":"safe","Service":"s","AllowedRegions":)"} +
                        regions + R"(}],"Services":[{"Name":"s"}]})"),
                    error);
  }
}

TEST_CASE("evacuations are read from their keys, in the order of the log") {
  keyed_page page;
  page.records = {{"evacuate/dc-a", "{}"},
                  {"evacuate/dc-b", "{}"},
                  {"evacuate/dc-a", std::nullopt},
                  {"evacuated", "{}"}};
  const config_changes changes = read_configs(page);
  REQUIRE(changes.evacuations.size() == 3);
  CHECK(changes.evacuations[0].data_centre == data_centre_id{"dc-a"});
  CHECK(changes.evacuations[0].evacuated);
  CHECK_FALSE(changes.evacuations[2].evacuated);
  CHECK(apply_changes({}, changes.evacuations, true) == evacuated_centres{data_centre_id{"dc-b"}});
  CHECK(changes.faults.empty());
}

// Guards against requests to a data centre whose evacuation somebody wrote in another format.
TEST_CASE("an evacuation whose text cannot be parsed is in force, and its fault is reported") {
  keyed_page page;
  page.records = {{"evacuate/dc-a", "{\"torn"}, {"evacuate/dc-b", "\xff\xfe"}};
  const config_changes changes = read_configs(page);
  REQUIRE(changes.evacuations.size() == 2);
  for (const evacuation_change& change : changes.evacuations) {
    CHECK(change.evacuated);
    CHECK_FALSE(change.fault.empty());
  }
}
