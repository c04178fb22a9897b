#include "routing/routing.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::literals;

namespace {

constexpr content_fingerprint poison = 666;
constexpr content_fingerprint innocent = 100;

endpoint_id name(int i) {
  return endpoint_id{std::string{"lm-"}.append(std::to_string(i))};
}

std::vector<cut_run> runs(std::initializer_list<content_fingerprint> contents) {
  std::vector<cut_run> all;
  for (const content_fingerprint content : contents)
    all.push_back({content, 800_ms});
  return all;
}

} // namespace

TEST_SUITE("quarantine") {
  TEST_CASE(
      "content that crashed two endpoints is quarantined, and other content there is cleared") {
    // A caller resends a request each time it fails, and each endpoint that runs it crashes.
    quarantine_table table;
    table.note_death(name(1), 1, runs({poison, innocent, 101, 102}), 10_s);
    CHECK(table.standing(poison) == content_standing::suspect);
    CHECK(table.standing(innocent) == content_standing::suspect);
    table.note_death(name(2), 1, runs({poison, 201, 202}), 20_s);
    CHECK(table.standing(poison) == content_standing::quarantined);
    for (const content_fingerprint beside : {innocent, content_fingerprint{101}, {201}, {202}})
      CHECK(table.standing(beside) == content_standing::clear);
  }

  TEST_CASE("deaths seen by different hosts add up in any order of news") {
    quarantine_table a;
    quarantine_table b;
    a.note_death(name(1), 7, runs({poison, innocent}), 10_s);
    b.note_death(name(2), 3, runs({poison}), 5_s);
    const quarantine_news from_a = a.take_news();
    const quarantine_news from_b = b.take_news();
    a.merge(from_b, 11_s);
    b.merge(from_a, 6_s);
    CHECK(a.standing(poison) == content_standing::quarantined);
    CHECK(b.standing(poison) == content_standing::quarantined);
    CHECK(a.standing(innocent) != content_standing::quarantined);
    b.merge(a.take_news(), 7_s);
    CHECK(b.records(7_s).size() == 1);
  }

  TEST_CASE("one death seen by two hosts counts once") {
    quarantine_table a;
    quarantine_table b;
    a.note_death(name(1), 7, runs({poison}), 10_s);
    b.note_death(name(1), 7, runs({poison}), 5_s);
    a.merge(b.take_news(), 11_s);
    CHECK(a.standing(poison) == content_standing::suspect);
  }

  TEST_CASE("an outage of a rack quarantines no request that was retried within it") {
    // Harmless requests would be refused for an hour: they ran in a rack that lost power and were
    // retried on a neighbouring endpoint, which died a second later.
    quarantine_table table;
    table.note_death(name(1), 1, runs({innocent, 101}), 10_s);
    table.note_death(name(2), 1, runs({innocent, 201}), 11_s);
    table.note_death(name(3), 1, runs({301}), 11500_ms);
    table.note_death(name(4), 1, runs({}), 12_s);
    CHECK(table.standing(innocent) != content_standing::quarantined);
    const auto records = table.records(13_s);
    for (const quarantine_record& record : records)
      CHECK(record.lifted);
  }

  TEST_CASE("crashing content sent five times at once is found, as it ran on all five endpoints") {
    quarantine_table table;
    for (int i = 1; i <= 5; ++i)
      table.note_death(name(i), 1, runs({poison, content_fingerprint(1000 + i)}),
                       10_s + time_ms{i});
    CHECK(table.standing(poison) == content_standing::quarantined);
  }

  TEST_CASE("content that many callers send is not suspected although it runs on every endpoint") {
    quarantine_table table;
    table.note_survived(innocent, 1_s, true, 5_s);
    table.note_death(name(1), 1, runs({innocent}), 10_s);
    table.note_death(name(2), 1, runs({innocent}), 100_s);
    CHECK(table.standing(innocent) == content_standing::clear);
    // Another host, on which no run has completed yet, learns this from the first one.
    quarantine_table other;
    other.note_death(name(3), 1, runs({innocent}), 100_s);
    table.merge(other.take_news(), 101_s);
    other.merge(table.take_news(), 101_s);
    CHECK(other.standing(innocent) == content_standing::clear);
  }

  TEST_CASE("a suspect is cleared when a run completes or lasts past the point of the crash") {
    quarantine_table table;
    table.note_death(name(1), 1, runs({innocent, 101}), 10_s);
    table.note_survived(innocent, 500_ms, false, 11_s);
    CHECK(table.standing(innocent) == content_standing::suspect);
    table.note_survived(innocent, 4_s, false, 15_s);
    CHECK(table.standing(innocent) == content_standing::clear);
    table.note_survived(101, 300_ms, true, 15_s);
    CHECK(table.standing(101) == content_standing::clear);
  }

  TEST_CASE("two contents that ran together at both deaths are distinguished by the next death") {
    quarantine_table table;
    table.note_death(name(1), 1, runs({poison, innocent}), 10_s);
    table.note_death(name(2), 1, runs({poison, innocent}), 20_s);
    CHECK(table.standing(innocent) == content_standing::suspect);
    CHECK(table.standing(poison) == content_standing::suspect);
    table.note_death(name(3), 1, runs({poison}), 30_s);
    CHECK(table.standing(poison) == content_standing::quarantined);
    CHECK(table.standing(innocent) == content_standing::clear);
  }

  TEST_CASE("a quarantine expires or is lifted by an operator, on every host") {
    quarantine_table a;
    quarantine_table b;
    for (int i = 1; i <= 2; ++i)
      a.note_death(name(i), 1, runs({poison}), 10_s * i);
    b.merge(a.take_news(), 20_s);
    CHECK(b.standing(poison) == content_standing::quarantined);
    CHECK(b.lift(poison, 30_s));
    CHECK_FALSE(b.lift(poison, 30_s));
    const quarantine_news lifted = b.take_news();
    a.merge(lifted, 31_s);
    CHECK(a.standing(poison) == content_standing::clear);
    // An outdated record does not restore the quarantine.
    quarantine_news stale;
    stale.records.push_back({poison, 1, false, 3600_s, {}});
    a.merge(stale, 32_s);
    CHECK(a.standing(poison) == content_standing::clear);

    quarantine_table c;
    for (int i = 1; i <= 2; ++i)
      c.note_death(name(i), 1, runs({poison}), 10_s * i);
    c.expire(20_s + quarantine_policy{}.quarantine_duration);
    CHECK(c.standing(poison) == content_standing::clear);
  }
}
