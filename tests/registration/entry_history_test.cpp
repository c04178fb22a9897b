#include "registration/registration.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace sedgechute;

namespace {

constexpr time_ms settle{9000};
constexpr time_ms first_start{1'790'000'000'000};
constexpr time_ms later_start{first_start + time_ms{60000}};

entry_stamp ready(std::uint64_t sequence, std::optional<time_ms> started = {}) {
  return {started, sequence, 7, false};
}

entry_stamp leaving(std::uint64_t sequence, std::optional<time_ms> started = {}) {
  return {started, sequence, 7, true};
}

/// The history of one id, fed as a host does it.
struct reader {
  entry_verdict read(const entry_stamp& entry, time_ms now = {}) {
    const entry_verdict verdict = classify(known, entry);
    record(known, entry, verdict, now);
    return verdict;
  }

  entry_history known;
};

} // namespace

TEST_CASE("entries of one process supersede each other by their numbers") {
  reader at;
  CHECK(at.read(ready(100)) == entry_verdict::newest);
  CHECK(at.read(leaving(103)) == entry_verdict::newest);
  CHECK(at.read(ready(101)) == entry_verdict::outdated);
  CHECK(at.read(ready(102)) == entry_verdict::outdated);
  CHECK(at.read(leaving(103)) == entry_verdict::repeated);
  CHECK(at.read(leaving(104)) == entry_verdict::newest);
  CHECK(at.known.newest->sequence == 104);
}

// Guards against a repeated write that starts a time anew which counts from its first reading.
TEST_CASE("of two entries with one number the other one is news and the same one is not") {
  reader at;
  at.read(ready(5));
  CHECK(at.read(ready(5)) == entry_verdict::repeated);
  entry_stamp other = ready(5);
  other.content = 8;
  CHECK(at.read(other) == entry_verdict::newest);
  CHECK(at.read(leaving(5)) == entry_verdict::newest);
}

// Guards against a late entry that brings a removed endpoint back.
TEST_CASE("after a removal only a higher number brings an endpoint back") {
  reader at;
  at.read(ready(100));
  record_removal(at.known);
  CHECK(at.read(ready(99)) == entry_verdict::outdated);
  CHECK(at.read(ready(100)) == entry_verdict::outdated);
  CHECK(at.read(ready(101)) == entry_verdict::newest);
  CHECK(at.known.presence == entry_presence::listed);
}

TEST_CASE("after something that is no entry the last entry counts again") {
  reader at;
  at.read(ready(100));
  record_unusable(at.known);
  CHECK(at.read(ready(99)) == entry_verdict::outdated);
  CHECK(at.read(ready(100)) == entry_verdict::newest);
}

TEST_CASE("a process that is not known replaces the one before, whatever its numbers") {
  for (const time_ms started : {later_start, first_start - time_ms{3'600'000}}) {
    reader at;
    at.read(ready(100, first_start));
    CHECK(at.read(ready(1, started)) == entry_verdict::newest);
    CHECK(at.read(ready(2, started)) == entry_verdict::newest);
    CHECK(at.read(ready(101, first_start)) == entry_verdict::replaced_start);
  }
}

// Guards against a late entry of an earlier process that takes back the leaving of its successor.
TEST_CASE("entries of a replaced process do not take back that its successor leaves") {
  reader at;
  at.read(ready(90, first_start));
  at.read(leaving(1, later_start));
  CHECK(at.read(ready(89, first_start)) == entry_verdict::replaced_start);
  CHECK(at.read(ready(91, first_start)) == entry_verdict::replaced_start);
  CHECK(at.read(ready(1, first_start - time_ms{1})) == entry_verdict::unproven_start);
  CHECK(at.read(ready(1, later_start + time_ms{1})) == entry_verdict::newest);
}

// Guards against a single late entry of a process that was never seen, which would have the entries
// of the running one rejected.
TEST_CASE("a process whose successor showed once only is believed when it goes on") {
  reader at;
  at.read(ready(50, later_start));
  CHECK(at.read(ready(90, first_start)) == entry_verdict::newest);
  CHECK(at.read(ready(50, later_start)) == entry_verdict::replaced_start);
  CHECK(at.read(ready(51, later_start)) == entry_verdict::newest);
  CHECK(at.read(ready(90, first_start)) == entry_verdict::replaced_start);
}

TEST_CASE("an entry without a start time is one of the newest process") {
  reader at;
  at.read(leaving(103, first_start));
  CHECK(at.read(ready(101)) == entry_verdict::outdated);
  CHECK(at.read(leaving(104)) == entry_verdict::newest);
  CHECK(at.known.newest->started == first_start);
}

TEST_CASE("an entry without a start time is not taken for one of a process that reports it") {
  reader at;
  at.read(ready(90));
  at.read(ready(1, first_start));
  CHECK(at.read(ready(90)) == entry_verdict::replaced_start);
}

// Guards against a number of another writer that shuts out the endpoint's own entries for good.
TEST_CASE("a rejected entry is settled when nothing newer follows for long") {
  reader at;
  at.read(ready(std::uint64_t{1} << 53U));
  CHECK_FALSE(is_settled(at.known, time_ms{0}, settle, time_ms{100'000}));
  CHECK(at.read(ready(104), time_ms{1000}) == entry_verdict::outdated);
  CHECK(at.read(ready(105), time_ms{2200}) == entry_verdict::outdated);
  CHECK_FALSE(is_settled(at.known, time_ms{0}, settle, time_ms{9999}));
  CHECK(is_settled(at.known, time_ms{0}, settle, time_ms{10000}));
  CHECK_FALSE(is_settled(at.known, time_ms{5000}, settle, time_ms{13999}));
  CHECK(is_settled(at.known, time_ms{5000}, settle, time_ms{14000}));
}

TEST_CASE("a rejected entry is not settled once the list ends with another") {
  const auto rejected = [] {
    reader at;
    at.read(ready(103));
    at.read(ready(101), time_ms{1000});
    return at;
  };
  reader newer = rejected();
  newer.read(ready(104), time_ms{2000});
  CHECK_FALSE(is_settled(newer.known, time_ms{0}, settle, time_ms{60000}));
  reader repeated = rejected();
  repeated.read(ready(103), time_ms{2000});
  CHECK_FALSE(is_settled(repeated.known, time_ms{0}, settle, time_ms{60000}));
  reader removed = rejected();
  record_removal(removed.known);
  CHECK_FALSE(is_settled(removed.known, time_ms{0}, settle, time_ms{60000}));
  reader unusable = rejected();
  record_unusable(unusable.known);
  CHECK_FALSE(is_settled(unusable.known, time_ms{0}, settle, time_ms{60000}));
}

// Guards against a writer that makes a host remember without limit.
TEST_CASE("what is remembered of an id and of removed ids is bounded") {
  reader at;
  for (int i = 0; i < 1000; ++i)
    at.read(ready(1, first_start + time_ms{i}));
  CHECK(at.known.replaced.size() == entry_history::max_replaced);
  CHECK(at.read(ready(1, first_start + time_ms{998})) == entry_verdict::replaced_start);

  entry_histories all{100};
  const auto id = [](int number) { return endpoint_id{"e" + std::to_string(number)}; };
  for (int i = 0; i < 1000; ++i) {
    all.record(id(i), ready(5), all.classify(id(i), ready(5)), time_ms{0});
    all.record_removal(id(i));
  }
  CHECK(all.size() == 100);
  CHECK(all.classify(id(999), ready(4)) == entry_verdict::outdated);
  CHECK(all.classify(id(899), ready(4)) == entry_verdict::newest); // forgotten
  for (int i = 900; i < 1000; ++i)
    all.record(id(i), ready(6), all.classify(id(i), ready(6)), time_ms{0});
  for (int i = 0; i < 100; ++i) {
    all.record(id(i), ready(5), all.classify(id(i), ready(5)), time_ms{0});
    all.record_unusable(id(i));
  }
  CHECK(all.size() == 200);
  CHECK(all.classify(id(999), ready(5)) == entry_verdict::outdated); // listed: not forgotten
}
