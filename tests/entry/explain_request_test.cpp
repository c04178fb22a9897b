#include "entry/entry.hpp"

#include <doctest/doctest.h>

#include <sstream>

using namespace sedgechute;

TEST_CASE("a request is explained from the lines of all hosts") {
  std::istringstream lines{
      R"(h1 {"event":"config_in_force","host":"h1","version":4}
h1 {"event":"account_written","host":"h1","team":"t1","granted":10,"used":9}
h1 {"event":"account_written","host":"h1","team":"t1","granted":10,"used":10}
h1 {"event":"account_written","host":"h1","team":"t2","granted":70}
h2 {"event":"account_written","host":"h2","team":"t1","granted":50}
h1 {"event":"budget_log_unreachable","host":"h1"}
not a log line {
h1 {"event":"request_ended","host":"h1","request_id":"other","team":"t1","status":200}
h1 {"event":"request_ended","host":"h1","request_id":"r1","team":"t1","status":503}
)"};
  std::ostringstream out;
  CHECK(explain_request(lines, "r1", out) == 1);
  const std::string text = out.str();
  CHECK(text.find("\"version\":4") != std::string::npos);
  CHECK(text.find("\"used\":10") != std::string::npos);
  CHECK(text.find("\"used\":9") == std::string::npos);
  CHECK(text.find("t2") == std::string::npos);
  CHECK(text.find("\"host\":\"h2\"") == std::string::npos);
  CHECK(text.find("budget_log_unreachable") != std::string::npos);
  CHECK(text.find("did    h1") != std::string::npos);
}

TEST_CASE("a request that no line names is not found") {
  std::istringstream lines{"{\"event\":\"request_ended\",\"request_id\":\"a\"}\n"};
  std::ostringstream out;
  CHECK(explain_request(lines, "b", out) == 0);
  CHECK(out.str().empty());
}
