// Configurations that another program wrote or that were damaged in transit.

#include "platform/platform.hpp"

#include <doctest/doctest.h>

#include <utility>

using namespace sedgechute;

namespace {

const std::string good =
    R"({"Version":7,"Routes":[{"Name":"r1","Hostname":"f","PathPrefix":"/a/",)"
    R"("Type":"streaming","TimeoutMs":15000,"LatencyTargetMs":800,)"
    R"("Priority":1,"Backends":[{"Service":"s1","Weight":90}],)"
    R"("MaxAttempts":1,"Public":false,"Resumable":true,"InterTokenMs":200},)"
    R"({"Name":"r2","Hostname":"f","PathPrefix":"/b/","Type":"safe",)"
    R"("Service":"s2"}],"Services":[{"Name":"s1","MaxConnections":370,)"
    R"("Runtime":{"Slots":64,"KvCapacityTokens":518063,"Stride":5}},)"
    R"({"Name":"s2"}],"Limits":{"MaxHeaderBytes":16384,"IdleTimeoutMs":15000},)"
    R"("Tenants":[{"Name":"t1","ApiKeys":["k1"],"Priority":1,"Prepaid":5}]})";

std::string changed(const std::string& from, const std::string& to) {
  const std::size_t at = good.find(from);
  REQUIRE(at != std::string::npos);
  return std::string{good}.replace(at, from.size(), to);
}

void check_refused(const std::string& text) {
  INFO(text.substr(0, 900));
  CHECK_THROWS_AS((void)parse_config_document(text), error);
}

} // namespace

TEST_CASE("optional fields of a configuration may be missing, and unknown ones are ignored") {
  REQUIRE_NOTHROW((void)parse_config_document(good));
  CHECK_NOTHROW((void)parse_config_document(R"({"Version":1,"Routes":[],"Services":[]})"));
  CHECK_NOTHROW(
      (void)parse_config_document(changed(R"("Version":7)", R"("Version":7,"New":[{}])")));
  CHECK_NOTHROW((void)parse_config_document(changed(R"("Type":"safe")", R"("Type":"newer")")));
  CHECK_NOTHROW((void)parse_config_document(changed(R"(,"Prepaid":5)", R"(,"Prepaid":null)")));
  CHECK_NOTHROW(
      (void)parse_config_document(changed(R"("InterTokenMs":200)", R"("InterTokenMs":1.5)")));
  CHECK(parse_config_document(changed(R"(,"Prepaid":5)", ""))->find_team("k1")->prepaid ==
        std::nullopt);
}

// Without a required field a route would accept requests that it cannot send anywhere, or callers
// of existing routes would get a 404.
TEST_CASE("a configuration without a field that it needs is refused") {
  for (const char* field :
       {R"("Version":7,)", R"("Hostname":"f",)", R"("PathPrefix":"/a/",)", R"("Type":"streaming",)",
        R"("Name":"r1",)", R"("Backends":[{"Service":"s1","Weight":90}],)", R"("Name":"s1",)",
        R"("Service":"s1",)", R"("Name":"t1",)", R"("ApiKeys":["k1"],)"})
    check_refused(changed(field, ""));
  check_refused(changed(R"("Routes")", R"("Other")"));
  check_refused(changed(R"("Services")", R"("Other")"));
}

// An array is an object, or a number a string. If it were read leniently the configuration would
// have no routes, and every caller would be told that its path does not exist.
TEST_CASE("a configuration with a field of another type is refused") {
  const std::vector<std::pair<std::string, std::string>> wrong{
      {R"("Version":7)", R"("Version":"7")"},
      {R"("Version":7)", R"("Version":7.5)"},
      {R"("Routes":[)", R"("Routes":{},"R":[)"},
      {R"("Routes":[)", R"("Routes":[7,)"},
      {R"("Services":[)", R"("Services":null,"S":[)"},
      {R"("Tenants":[)", R"("Tenants":{},"T":[)"},
      {R"("Tenants":[)", R"("Tenants":null,"T":[)"},
      {R"("Limits":{)", R"("Limits":[],"L":{)"},
      {R"("Hostname":"f")", R"("Hostname":1)"},
      {R"("Type":"safe")", R"("Type":1)"},
      {R"("TimeoutMs":15000)", R"("TimeoutMs":"15000")"},
      {R"("MaxAttempts":1)", R"("MaxAttempts":true)"},
      {R"("Public":false)", R"("Public":0)"},
      {R"("Public":false)", R"("Public":"no")"},
      {R"("Service":"s2")", R"("Service":["s2"])"},
      {R"("Weight":90)", R"("Weight":"90")"},
      {R"("Runtime":{)", R"("Runtime":1,"R":{)"},
      {R"("Slots":64)", R"("Slots":{})"},
      {R"("ApiKeys":["k1"])", R"("ApiKeys":"k1")"},
      {R"("ApiKeys":["k1"])", R"("ApiKeys":[1])"},
      {R"("Prepaid":5)", R"("Prepaid":"5")"},
      {R"("MaxHeaderBytes":16384)", R"("MaxHeaderBytes":"16384")"}};
  for (const auto& [from, to] : wrong)
    check_refused(changed(from, to));
}

TEST_CASE("a configuration with a number out of range is refused") {
  const std::vector<std::pair<std::string, std::string>> wrong{
      {R"("Version":7)", R"("Version":-7)"},
      {R"("TimeoutMs":15000)", R"("TimeoutMs":-1)"},
      {R"("TimeoutMs":15000)", R"("TimeoutMs":1e300)"},
      {R"("MaxAttempts":1)", R"("MaxAttempts":0)"},
      {R"("Priority":1)", R"("Priority":1e10)"},
      {R"("Weight":90)", R"("Weight":-90)"},
      {R"("Prepaid":5)", R"("Prepaid":-5)"},
      {R"("MaxHeaderBytes":16384)", R"("MaxHeaderBytes":0)"},
      {R"("PathPrefix":"/a/")", R"("PathPrefix":"a")"},
      {R"("Backends":[{"Service":"s1","Weight":90}])", R"("Backends":[])"}};
  for (const auto& [from, to] : wrong)
    check_refused(changed(from, to));
}

// A route names a service that the configuration does not define. If the version were refused for
// it, all other routes would stay at an older version; if it is accepted, only that route finds no
// endpoint.
TEST_CASE("a route to an undefined service does not reject the configuration") {
  const config_ptr whole = parse_config_document(changed(R"("Service":"s2")", R"("Service":"s3")"));
  CHECK(whole->version == 7);
  CHECK(whole->find_service("s1") != nullptr);
  CHECK(whole->find_service("s3") == nullptr);
  const config_ptr split = parse_config_document(
      changed(R"("Service":"s1","Weight":90)", R"("Service":"s3","Weight":90)"));
  CHECK(split->version == 7);
}

TEST_CASE("a configuration with a duplicate field or service is refused") {
  check_refused(changed(R"("Version":7)", R"("Version":7,"Version":8)"));
  check_refused(changed(R"("TimeoutMs":15000)", R"("TimeoutMs":15000,"TimeoutMs":1)"));
  check_refused(changed(R"({"Name":"s2"})", R"({"Name":"s1"})"));
}

TEST_CASE("truncated or malformed configurations are refused") {
  for (std::size_t length = 0; length < good.size(); ++length)
    check_refused(good.substr(0, length));
  check_refused(good + good);
  check_refused(changed("r1", "\xff"));
  check_refused(changed(R"("Version":7)", R"("Version":7,"D":)" + std::string(100000, '[')));
}
