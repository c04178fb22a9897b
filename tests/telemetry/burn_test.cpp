#include "telemetry/telemetry.hpp"

#include <Poco/JSON/Parser.h>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace sedgechute;

namespace {

constexpr std::int64_t minute = 60'000;

struct happened {
  std::int64_t at;
  bool good;
};

/// The naive version: every request kept.
good_total between(const std::vector<happened>& all, std::int64_t after, std::int64_t until) {
  good_total counted;
  for (const happened& one : all)
    if (one.at >= after && one.at <= until)
      counted += {one.good ? 1U : 0U, 1};
  return counted;
}

/// Records one request a second, from minute `from` to minute `to`, one in `bad_every` bad.
void traffic(burn_tracker& burn, std::int64_t from, std::int64_t to, int bad_every) {
  int number = 0;
  for (std::int64_t at = from * minute; at < to * minute; at += 1000)
    burn.record("lens", "chat", 0.99, bad_every == 0 || ++number % bad_every != 0, time_ms{at});
}

bool has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a window counts all of its requests and at most one bucket more") {
  const bool holds = rc::check([] {
    std::vector<happened> all;
    burn_series series;
    std::int64_t at = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 90 * 60'000));
    for (const int step : steps) {
      at += step;
      all.push_back({at, step % 3 != 0});
      series.record(time_ms{at}, {step % 3 != 0 ? 1U : 0U, 1});
    }
    const std::int64_t now = at + *rc::gen::inRange(0, 40 * 60'000);
    for (const auto& [window, name] : enum_names<burn_window>::entries) {
      const std::int64_t span = span_of(window).count();
      const std::int64_t bucket = window == burn_window::m5   ? minute / 2
                                  : window <= burn_window::h6 ? 5 * minute
                                                              : 360 * minute;
      const good_total got = series.over(window, time_ms{now});
      const good_total least = between(all, now - span, now);
      const good_total most = between(all, now - span - bucket, now);
      RC_ASSERT(got.total >= least.total);
      RC_ASSERT(got.total <= most.total);
      RC_ASSERT(got.bad() >= least.bad());
      RC_ASSERT(got.bad() <= most.bad());
    }
  });
  CHECK(holds);
}

// At eight in the evening one pool loses half of its engines: a fifth of the chat is late. Someone
// has to be called within the hour, and nobody once it is over.
TEST_CASE("a fast burn pages while it goes on and not after it has ended") {
  burn_tracker burn;
  traffic(burn, 0, 300, 0);
  CHECK(alert_of(burn.rows(time_ms{300 * minute}).front()) == burn_alert::none);
  traffic(burn, 300, 360, 5);
  CHECK(alert_of(burn.rows(time_ms{360 * minute}).front()) == burn_alert::page);
  traffic(burn, 360, 440, 0);
  CHECK(alert_of(burn.rows(time_ms{440 * minute}).front()) != burn_alert::page);
}

TEST_CASE("a slow burn that would use the budget up in days makes a ticket") {
  burn_tracker burn;
  traffic(burn, 0, 30 * 60, 40); // 2.5% bad of 1% allowed
  CHECK(alert_of(burn.rows(time_ms{30 * 60 * minute}).front()) == burn_alert::ticket);
}

// A team that makes four calls an hour would wake somebody with its first failed one.
TEST_CASE("a few bad requests alone raise no alert") {
  burn_tracker burn;
  for (std::uint64_t i = 0; i + 1 < least_bad_for_alert; ++i)
    burn.record("small", "report", 0.99, false, time_ms{minute});
  CHECK(burn_rate(burn.rows(time_ms{minute}).front(), burn_window::h1) == doctest::Approx(100));
  CHECK(alert_of(burn.rows(time_ms{minute}).front()) == burn_alert::none);
  burn.record("small", "report", 0.99, false, time_ms{minute});
  CHECK(alert_of(burn.rows(time_ms{minute}).front()) == burn_alert::page);
}

TEST_CASE("rows of several hosts add up, and the number of rows is bounded") {
  burn_tracker one{1};
  burn_tracker two;
  one.record("lens", "chat", 0.9, true, time_ms{0});
  one.record("other", "chat", 0.9, true, time_ms{0});
  two.record("lens", "chat", 0.9, false, time_ms{0});
  two.record("lens", "draft", 0.9, true, time_ms{0});
  auto rows = one.rows(time_ms{0});
  CHECK(rows.size() == 1);
  merge(rows, two.rows(time_ms{0}));
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].all == good_total{1, 2});
  CHECK(burn_rate(rows[0], burn_window::m5) == doctest::Approx(5));
  CHECK(rows[0].history.back() == good_total{1, 2});
}

TEST_CASE("the report comes as JSON, as a table and as a page of its own, the worst first") {
  burn_tracker burn;
  traffic(burn, 0, 10, 0);
  for (int i = 0; i < 20; ++i)
    burn.record("<b>", "draft", 0.95, false, time_ms{10 * minute});
  const auto rows = burn.rows(time_ms{10 * minute});
  Poco::JSON::Parser parser;
  const auto json = parser.parse(burn_json(rows, time_ms{5})).extract<Poco::JSON::Object::Ptr>();
  const auto first = json->getArray("rows")->getObject(0);
  CHECK(first->getValue<std::string>("alert") == "page");
  CHECK(first->getArray("windows")->getObject(2)->getValue<std::string>("name") == "1h");
  CHECK(first->getArray("windows")->getObject(2)->getValue<int>("seconds") == 3600);
  const std::string table = burn_table(rows);
  CHECK(table.find("<b>") < table.find("lens"));
  const std::string page = burn_html(rows, time_ms{5});
  CHECK(has(page, "&lt;b&gt;"));
  CHECK_FALSE(has(page, "<b>"));
  CHECK_FALSE(has(page, "http"));
  CHECK_FALSE(has(page, "<script"));
  CHECK(has(page, "<svg"));
}
