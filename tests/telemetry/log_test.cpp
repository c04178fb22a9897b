#include "telemetry/telemetry.hpp"

#include <Poco/JSON/Parser.h>
#include <Poco/TemporaryFile.h>
#include <doctest/doctest.h>

#include <fstream>

using namespace sedgechute;

namespace {

std::vector<Poco::JSON::Object::Ptr> lines_of(const std::string& file) {
  std::vector<Poco::JSON::Object::Ptr> lines;
  std::ifstream in{file};
  for (std::string line; std::getline(in, line);) {
    Poco::JSON::Parser parser;
    lines.push_back(parser.parse(line).extract<Poco::JSON::Object::Ptr>());
  }
  return lines;
}

} // namespace

TEST_CASE("a log line is one JSON object with the subject and the details") {
  const std::string line =
      log_line(time_ms{1'772'352'309'042}, severity::warning, "hf-a-1", "endpoint_ejected",
               {.request = "r1", .team = "lens", .endpoint = "lm-03"},
               {{log_field::status, 503}, {log_field::reason, "three failures \"in a row\"\n"}}, 7);
  CHECK(line ==
        R"({"time":"2026-03-01T08:05:09.042Z","level":"warning","event":"endpoint_ejected",)"
        R"("host":"hf-a-1","request_id":"r1","team":"lens","endpoint":"lm-03","status":503,)"
        R"("reason":"three failures \"in a row\"\u000a","suppressed":7})");
}

TEST_CASE("text that is not UTF-8 still makes a valid line") {
  std::string out;
  append_json_string(out, "\xc3(\x01");
  CHECK(out == R"("?(\u0001")");
  out.clear();
  append_json_string(out, "Sj\xc3\xb3n");
  CHECK(out == "\"Sj\xc3\xb3n\"");
}

// One endpoint fails every request of a busy minute. Unlimited, the log costs more than the work
// and hides the line that matters.
TEST_CASE("repeats of an event are limited, and other events are not") {
  const Poco::TemporaryFile file;
  structured_log log{
      {.host = "h", .file = file.path(), .repeats = 3, .window = time_ms{3'600'000}}};
  for (int i = 0; i < 10; ++i)
    log.write(severity::warning, "attempt_failed", {.endpoint = "lm-01"});
  log.write(severity::warning, "attempt_failed", {.endpoint = "lm-02"});
  log.write(severity::debug, "below_the_level");
  CHECK(lines_of(file.path()).size() == 4);
  CHECK(log.suppressed() == 7);
}

TEST_CASE("the first line of a new window says how many were suppressed") {
  const Poco::TemporaryFile file;
  structured_log log{{.host = "h", .file = file.path(), .repeats = 1, .window = time_ms{0}}};
  log.write(severity::info, "once");
  log.write(severity::info, "once");
  const auto lines = lines_of(file.path());
  REQUIRE(lines.size() == 2);
  CHECK(lines[0]->getValue<std::string>("event") == "once");
  CHECK_FALSE(lines[1]->has("suppressed"));
}
