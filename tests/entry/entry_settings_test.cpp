#include "entry/entry.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>

using namespace sedgechute;

namespace {

constexpr const char* good = R"({"host":"h","data_centre":"dc","callers":"127.0.0.1:1",
 "peers":"127.0.0.1:2","status":"127.0.0.1:3","store":"127.0.0.1:4","grace_s":8,
 "retry_ratio":0.2,"retry_slack":58.0,"retry_window_s":10,"new":1})";

std::string without(const std::string& name) {
  std::string text = good;
  const std::size_t at = text.find("\"" + name + "\"");
  return text.replace(at, name.size() + 2, "\"x\"");
}

} // namespace

TEST_CASE("settings are read, and names that mean nothing are reported") {
  const settings_reading reading = parse_entry_settings("file", good);
  CHECK(reading.settings.host == "h");
  CHECK(reading.settings.stop.grace == time_ms{8000});
  CHECK(reading.settings.retry_slack == 58);
  CHECK(reading.settings.config_bound == time_ms{2000});
  CHECK(reading.settings.drain_bound == time_ms{2000});
  CHECK(reading.settings.processor_share == 1);
  CHECK_FALSE(reading.settings.memory_mb);
  REQUIRE(reading.unknown.size() == 1);
  CHECK(reading.unknown.front() == "new");
}

TEST_CASE("the page of settings holds the table that names are checked by") {
  std::ifstream file{SEDGECHUTE_SOURCE_DIR "/docs/SETTINGS.md"};
  const std::string page{std::istreambuf_iterator<char>{file}, {}};
  const std::string table = entry_settings_page();
  CHECK_MESSAGE(page.find(table) != std::string::npos, table);
}

// A setting that nobody reads any more would go on being promised by the page.
TEST_CASE("each setting of the table is read") {
  for (const entry_setting& setting : entry_settings_table()) {
    const field_info& field = setting.field;
    std::string text = R"({"host":"h","data_centre":"dc","callers":"127.0.0.1:1",
      "peers":"127.0.0.1:2","status":"127.0.0.1:3","store":"127.0.0.1:4"})";
    if (field.required)
      text.replace(text.find("\"" + field.name + "\""), field.name.size() + 2, "\"x\"");
    else
      text.insert(1, "\"" + field.name + "\":-1,");
    try {
      (void)parse_entry_settings("file", text);
      FAIL_CHECK(field.name << " is not read");
    } catch (const error& fault) {
      CHECK(fault.where() == "file /" + field.name);
    }
  }
}

TEST_CASE("the bound for changes of the configuration is read, and looks keep within it") {
  std::string text = good;
  text.insert(1, R"("config_bound_ms":1200,)");
  const time_ms bound = parse_entry_settings("file", text).settings.config_bound;
  CHECK(bound == time_ms{1200});
  const config_read look = config_read_within(bound);
  CHECK(look.wait + look.timeout + fleet_watch_options{}.retry_pause < bound);
}

// Each look is a call of each host: the list is read as often as the endpoints' leaving asks for.
TEST_CASE("looks at the list of endpoints follow the bound for those that leave") {
  std::string text = good;
  text.insert(1, R"("drain_bound_ms":4000,)");
  const time_ms bound = parse_entry_settings("file", text).settings.drain_bound;
  CHECK(bound == time_ms{4000});
  CHECK(endpoint_interval_within(bound) == time_ms{1200});
  CHECK(endpoint_interval_within(time_ms{2000}) == time_ms{600});
  CHECK(endpoint_interval_within(time_ms{3600000}) == time_ms{1500}); // new ones are found soon
  text = good;
  text.insert(1, R"("drain_bound_ms":0,)");
  CHECK_THROWS_AS((void)parse_entry_settings("file", text), error);
}

TEST_CASE("a missing or wrong setting is named") {
  for (const char* name : {"host", "data_centre", "callers", "peers", "status", "store"}) {
    try {
      (void)parse_entry_settings("file", without(name));
      FAIL("accepted without " << name);
    } catch (const error& fault) {
      CHECK(fault.kind() == error_kind::invalid_settings);
      CHECK(fault.where() == "file /" + std::string{name});
    }
  }
  std::string no_processor = good;
  no_processor.insert(1, R"("processor_share":0,)");
  CHECK_THROWS_AS((void)parse_entry_settings("file", no_processor), error);
  std::string no_bound = good;
  no_bound.insert(1, R"("config_bound_ms":0,)");
  CHECK_THROWS_AS((void)parse_entry_settings("file", no_bound), error);
  CHECK_THROWS_AS((void)parse_entry_settings("file", "{"), error);
  CHECK_THROWS_AS((void)parse_entry_settings("file", "[]"), error);
  std::string negative = good;
  negative.replace(negative.find("0.2"), 3, "-1 ");
  CHECK_THROWS_AS((void)parse_entry_settings("file", negative), error);
  std::string address = good;
  address.replace(address.find("127.0.0.1:1"), 11, "not.address");
  CHECK_THROWS_AS((void)parse_entry_settings("file", address), error);
}

TEST_CASE("what a stop is bound by follows the grace where it is not given") {
  const auto stop_of = [](const std::string& settings) {
    std::string text = good;
    return parse_entry_settings("file", text.replace(text.find(R"("grace_s":8)"), 11, settings))
        .settings.stop;
  };
  CHECK(stop_of(R"("grace_s":8)").notice == time_ms{2600});
  CHECK(stop_of(R"("grace_s":8)").kept_for_exit == time_ms{500});
  CHECK(stop_of(R"("grace_s":1)").kept_for_exit == time_ms{250});
  CHECK(stop_of(R"("grace_s":1)").notice == time_ms{750});
  CHECK(stop_of(R"("grace_s":9,"notice_s":1,"kept_for_exit_s":2)").notice == time_ms{1000});
}

TEST_CASE("spans of a stop that contradict each other are refused with file, path and reason") {
  struct wrong_settings {
    std::string settings;
    std::string path;
    std::string reason;
  };
  const std::vector<wrong_settings> wrong{
      {R"("grace_s":2,"kept_for_exit_s":2)", "/grace_s", "kept for the exit"},
      {R"("grace_s":0)", "/grace_s", "leave no time"},
      {R"("grace_s":4,"notice_s":3.6)", "/notice_s", "3500 ms"}};
  for (const auto& [settings, path, reason] : wrong) {
    std::string text = good;
    text.replace(text.find(R"("grace_s":8)"), 11, settings);
    try {
      (void)parse_entry_settings("file", text);
      FAIL("accepted: " << settings);
    } catch (const error& fault) {
      CHECK(fault.kind() == error_kind::invalid_settings);
      CHECK(fault.where() == "file " + path);
      CHECK(fault.why().find(reason) != std::string::npos);
    }
  }
}

namespace {

/// \returns `good` with the member `name` replaced by other text
std::string with(const std::string& name, const std::string& member) {
  const std::string whole = good;
  const std::size_t at = whole.find("\"" + name + "\"");
  REQUIRE(at != std::string::npos);
  const std::size_t end = whole.find_first_of(",}", at);
  return std::string{whole}.replace(at, end - at, member);
}

} // namespace

// Somebody writes a new settings file with several mistakes. Each start, and each check, named one
// of them.
TEST_CASE("every fault of the settings is told, with file, path and reason") {
  const settings_reading reading = check_entry_settings(
      "file", R"({"host":7,"data_centre":"","callers":"10.0.0.1","peers":"h.example:1",
       "status":"127.0.0.1:3","grace_s":"8","retry_ratio":-1,"retry_ratio":2,"retry_window_s":0,
       "processor_share":1e300,"memory_mb":0,"a/b":1})");
  const std::vector<std::pair<std::string, std::string>> expected{
      {"file /retry_ratio", "stands there twice"},
      {"file /host", "is no text"},
      {"file /data_centre", "is empty"},
      {"file /callers", "is not IP:port: 10.0.0.1"},
      {"file /peers", "is not IP:port: h.example:1"},
      {"file /store", "is missing"},
      {"file /grace_s", "is not a number"},
      {"file /retry_ratio", "is -1, not within 0 and 100"},
      {"file /retry_window_s", "must be above 0"},
      {"file /processor_share", "is 1e+300, not within 0.001 and 1024"},
      {"file /memory_mb", "is 0, not within 16 and 16777216"}};
  REQUIRE(reading.faults.size() == expected.size());
  for (std::size_t i = 0; i < expected.size(); ++i) {
    CHECK(reading.faults[i].where == expected[i].first);
    CHECK(reading.faults[i].why == expected[i].second);
  }
  CHECK(reading.unknown == std::vector<std::string>{"a/b"});
}

TEST_CASE("settings of another type or out of range are refused") {
  for (const char* name : {"host", "data_centre", "callers", "peers", "status", "store"})
    for (const char* value : {"1", "null", "true", "[]", "{}", R"("")"})
      CHECK_FALSE(check_entry_settings("file", with(name, "\"" + std::string{name} + "\":" + value))
                      .faults.empty());
  for (const char* name : {"grace_s", "retry_ratio", "retry_slack", "retry_window_s"})
    for (const char* value : {"\"1\"", "true", "[]", "{}", "-1", "1e300", "1e400"})
      CHECK_FALSE(check_entry_settings("file", with(name, "\"" + std::string{name} + "\":" + value))
                      .faults.empty());
  const std::vector<std::pair<std::string, std::string>> wrong{
      {"host", R"("a\nb")"},
      {"host", "\"" + std::string(101, 'h') + "\""},
      {"data_centre", R"("a\u0000")"},
      {"peers", R"("1.2.3.4:0")"},
      {"status", R"("127.0.0.1:1")"}}; // the callers' address
  for (const auto& [name, value] : wrong)
    CHECK_FALSE(
        check_entry_settings("file", with(name, "\"" + name + "\":" + value)).faults.empty());
}

TEST_CASE("bytes that are no whole settings are refused, and no process ends") {
  const std::string whole = good;
  for (std::size_t length = 0; length < whole.size(); ++length)
    CHECK(check_entry_settings("file", whole.substr(0, length)).faults.size() == 1);
  for (const std::string& text : {std::string{"\xff"}, std::string{"null"}, std::string{"7"},
                                  std::string(100000, '['), std::string(2U << 20U, ' ')})
    CHECK(check_entry_settings("file", text).faults.size() == 1);
  CHECK(check_entry_settings("file", "").faults.front().where == "file");
}

// A machine is cut off and another takes its name, at another address. The first goes on serving
// from the tokens it was granted: the other must not take its accounts for those of an earlier
// life.
TEST_CASE("a host of the same name at another address is another host") {
  entry_settings before;
  before.host = "edge-1";
  before.peers = "10.0.0.1:7340";
  entry_settings restarted = before;
  entry_settings replaced = before;
  replaced.peers = "10.0.0.2:7340";
  CHECK(identity_of(restarted) == identity_of(before));
  CHECK(identity_of(replaced) != identity_of(before));
}

TEST_CASE("limits of cold endpoints and regions of data centres are read, and may be missing") {
  const entry_settings without = parse_entry_settings("file", good).settings;
  CHECK(without.regions.empty());
  CHECK(without.cold_start.overage == 1);
  CHECK(without.cold_start.tolerance == 0);
  std::string text = good;
  text.insert(1, R"("cold_overage":1.5,"cold_tolerance":5,"regions":{"dc":"r","dc-2":"r"},)");
  const entry_settings with = parse_entry_settings("file", text).settings;
  CHECK(with.cold_start.overage == 1.5);
  CHECK(with.cold_start.tolerance == 5);
  CHECK(with.regions == region_map{{"dc", "r"}, {"dc-2", "r"}});
}

// Guards against streams that are held back where no bound says for how long they may be.
TEST_CASE("the bound on the delay of events is read, and is 0 where it is missing") {
  CHECK(parse_entry_settings("file", good).settings.event_latency == time_ms{0});
  std::string text = good;
  text.insert(1, R"("event_latency_ms":120,)");
  CHECK(parse_entry_settings("file", text).settings.event_latency == time_ms{120});
}

TEST_CASE("regions of another type are reported with file and setting") {
  for (const char* regions : {"[]", "7", R"({"dc":1})", R"({"dc":""})", R"({"dc":{}})"}) {
    std::string text = good;
    text.insert(1, R"("regions":)" + std::string{regions} + ",");
    const settings_reading reading = check_entry_settings("file", text);
    INFO(regions);
    REQUIRE(reading.faults.size() == 1);
    CHECK(reading.faults.front().where == "file /regions");
  }
}
