#include "telemetry/telemetry.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace sedgechute;

namespace {

bool has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("metrics come out as Prometheus text with the host and their labels") {
  metrics all{"hf-a-1"};
  all.add(metric::requests, {"lens", "chat", "answered"}, 2);
  all.set(metric::streams_open, {}, 5);
  all.observe(metric::first_token_seconds, {"chat"}, 0.003);
  const std::string text = all.text();
  CHECK(has(
      text,
      R"(sedgechute_requests_total{host="hf-a-1",class="chat",outcome="answered",team="lens"} 2)"));
  CHECK(has(text, R"(sedgechute_streams_open{host="hf-a-1"} 5)"));
  CHECK(has(text, R"(sedgechute_first_token_seconds_count{host="hf-a-1",class="chat"} 1)"));
}

TEST_CASE("a wrong number of labels or a wrong type is refused") {
  metrics all{"h"};
  CHECK_THROWS_AS(all.add(metric::requests, {"lens"}), std::logic_error);
  CHECK_THROWS_AS(all.set(metric::requests, {"lens", "chat", "answered"}, 1), std::logic_error);
  CHECK_THROWS_AS(all.add(metric::first_token_seconds, {"chat"}), std::logic_error);
}

// An operator publishes a contract for each of thousands of short-lived teams. Without a bound each
// leaves its series behind on every host until memory runs out.
TEST_CASE("a family that is full counts further label values together") {
  metrics all{"h", 2};
  for (const char* team : {"a", "b", "c", "d"})
    all.add(metric::tokens_billed, {team}, 10);
  const std::string text = all.text();
  CHECK(has(text, R"(sedgechute_tokens_billed_total{host="h",team="other"} 20)"));
  CHECK_FALSE(has(text, R"(team="c")"));
}

TEST_CASE("every metric has a name of its own, and the page lists all of them") {
  std::set<std::string_view> names;
  const std::string page = metrics_page();
  for (const metric_family& family : metric_families()) {
    CHECK(names.insert(family.name).second);
    CHECK(has(page, "`" + std::string{family.name} + "`"));
    CHECK((family.kind == metric_kind::counter) == family.name.ends_with("_total"));
  }
}

TEST_CASE("docs/METRICS.md is what the table of metrics says") {
  std::ifstream file{SEDGECHUTE_DOCS "/METRICS.md"};
  std::ostringstream text;
  text << file.rdbuf();
  CHECK(text.str() == metrics_page());
}
