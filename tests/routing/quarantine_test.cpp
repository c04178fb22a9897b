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
  TEST_CASE("content that ended two endpoints is not run a third time; those beside it are free") {
    // Replica after replica goes down: a caller sends a request again each time it fails, and each
    // endpoint that runs it crashes.
    quarantine_table table;
    table.note_death(name(1), 1, runs({poison, innocent, 101, 102}), 10_s);
    CHECK(table.standing(poison) == content_standing::suspect);
    CHECK(table.standing(innocent) == content_standing::suspect);
    table.note_death(name(2), 1, runs({poison, 201, 202}), 20_s);
    CHECK(table.standing(poison) == content_standing::quarantined);
    for (const content_fingerprint beside : {innocent, content_fingerprint{101}, {201}, {202}})
      CHECK(table.standing(beside) == content_standing::clear);
  }

  TEST_CASE("retries that enter by different hosts add up, whichever news comes first") {
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

  TEST_CASE("one endpoint that two hosts saw end counts once") {
    quarantine_table a;
    quarantine_table b;
    a.note_death(name(1), 7, runs({poison}), 10_s);
    b.note_death(name(1), 7, runs({poison}), 5_s);
    a.merge(b.take_news(), 11_s);
    CHECK(a.standing(poison) == content_standing::suspect);
  }

  TEST_CASE("a rack that goes down quarantines none of the requests that were retried inside it") {
    // Chats are refused for an hour although nothing is wrong with them: they ran in a rack
    // that lost power, were retried on a neighbour, and that went down a second later.
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

  TEST_CASE("poison sent five times at once is still found, for it explains all five ends") {
    quarantine_table table;
    for (int i = 1; i <= 5; ++i)
      table.note_death(name(i), 1, runs({poison, content_fingerprint(1000 + i)}),
                       10_s + time_ms{i});
    CHECK(table.standing(poison) == content_standing::quarantined);
  }

  TEST_CASE("content that many callers send is on every endpoint that ends and stays free") {
    quarantine_table table;
    table.note_survived(innocent, 1_s, true, 5_s);
    table.note_death(name(1), 1, runs({innocent}), 10_s);
    table.note_death(name(2), 1, runs({innocent}), 100_s);
    CHECK(table.standing(innocent) == content_standing::clear);
    // Another host, at which it has not come through yet, learns it from this one.
    quarantine_table other;
    other.note_death(name(3), 1, runs({innocent}), 100_s);
    table.merge(other.take_news(), 101_s);
    other.merge(table.take_news(), 101_s);
    CHECK(other.standing(innocent) == content_standing::clear);
  }

  TEST_CASE("a suspect that comes through, or gets past where it was cut, is cleared") {
    quarantine_table table;
    table.note_death(name(1), 1, runs({innocent, 101}), 10_s);
    table.note_survived(innocent, 500_ms, false, 11_s);
    CHECK(table.standing(innocent) == content_standing::suspect);
    table.note_survived(innocent, 4_s, false, 15_s);
    CHECK(table.standing(innocent) == content_standing::clear);
    table.note_survived(101, 300_ms, true, 15_s);
    CHECK(table.standing(101) == content_standing::clear);
  }

  TEST_CASE("two contents that were together on both ends are told apart by the next") {
    quarantine_table table;
    table.note_death(name(1), 1, runs({poison, innocent}), 10_s);
    table.note_death(name(2), 1, runs({poison, innocent}), 20_s);
    CHECK(table.standing(innocent) == content_standing::suspect);
    CHECK(table.standing(poison) == content_standing::suspect);
    table.note_death(name(3), 1, runs({poison}), 30_s);
    CHECK(table.standing(poison) == content_standing::quarantined);
    CHECK(table.standing(innocent) == content_standing::clear);
  }

  TEST_CASE("a quarantine ends by its time, or by an operator, for every host") {
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
    // An old verdict that comes late does not bring it back.
    quarantine_news stale;
    stale.records.push_back({poison, 1, false, 3600_s, {}});
    a.merge(stale, 32_s);
    CHECK(a.standing(poison) == content_standing::clear);

    quarantine_table c;
    for (int i = 1; i <= 2; ++i)
      c.note_death(name(i), 1, runs({poison}), 10_s * i);
    c.expire(20_s + quarantine_policy{}.sentence);
    CHECK(c.standing(poison) == content_standing::clear);
  }
}
