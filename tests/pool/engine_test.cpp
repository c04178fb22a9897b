#include "pool/pool.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace sedgechute;
using namespace sedgechute::pool;

namespace {

constexpr std::uint32_t prompt = 2000;

engine_sheet sheet() {
  engine_sheet made;
  made.batch = 8;
  made.queue = 16;
  made.memory_tokens = 50'000;
  return made;
}

engine_run run(std::uint32_t request, part_key own, std::uint32_t output = 100, int urgency = 2) {
  engine_run made;
  made.request = request;
  made.urgency = urgency;
  made.pieces = {{1000, prompt / 2}, {own, prompt / 2}};
  made.prompt_tokens = prompt;
  made.output_tokens = output;
  return made;
}

/// \brief Steps an engine and remembers what it said.
struct driven {
  explicit driven(const engine_sheet& of) : at{of, 1} {}

  double step() {
    const double took = at.begin_step(words);
    at.end_step(words);
    return took;
  }
  void finish() {
    while (step() > 0) {
    }
  }
  [[nodiscard]] std::int64_t said(engine_word::what what, std::uint32_t request) const {
    return std::count_if(words.begin(), words.end(), [&](const engine_word& word) {
      return word.said == what && word.request == request;
    });
  }

  engine at;
  std::vector<engine_word> words;
};

} // namespace

TEST_CASE("a step lengthens with the requests that run") {
  double before = 0;
  for (std::uint32_t count = 1; count <= 8; ++count) {
    driven one{sheet()};
    for (std::uint32_t i = 0; i < count; ++i)
      REQUIRE(one.at.accept(run(i, 1 + i)));
    for (int i = 0; i < 40; ++i)
      one.step(); // all prompts are read
    REQUIRE(one.at.load().running == count);
    const double took = one.step();
    CHECK(took > before);
    before = took;
  }
}

TEST_CASE("reading a chunk lengthens the step, the more the more was read before") {
  driven one{sheet()};
  engine_run longest = run(1, 1);
  longest.pieces = {{1, 10'000}};
  longest.prompt_tokens = 10'000;
  REQUIRE(one.at.accept(longest));
  const double first = one.step();
  const double second = one.step();
  const double third = one.step();
  CHECK(first > sheet().step_ms + sheet().chunk_tokens / sheet().tokens_read_a_ms);
  CHECK(second > first);
  CHECK(third - second == doctest::Approx(second - first));
}

TEST_CASE("a part that is kept is not read again") {
  driven one{sheet()};
  REQUIRE(one.at.accept(run(1, 1)));
  one.finish();
  CHECK(one.at.tokens_read() == prompt);
  REQUIRE(one.at.accept(run(2, 2)));
  one.finish();
  CHECK(one.at.tokens_read() == prompt + prompt / 2);
  CHECK(one.said(engine_word::what::kept_piece, 2) == 1);
  CHECK(one.said(engine_word::what::read_piece, 2) == 1);
}

TEST_CASE("a part is of no use without the parts before it") {
  driven one{sheet()};
  one.at.store({{1000, prompt / 2}, {1, prompt / 2}}, 2);
  CHECK(one.at.kept_pieces({{1000, prompt / 2}, {1, prompt / 2}}) == 2);
  CHECK(one.at.kept_pieces({{999, prompt / 2}, {1, prompt / 2}}) == 0);
}

TEST_CASE("the more urgent is admitted first, and the earlier of equals") {
  driven one{sheet()};
  REQUIRE(one.at.accept(run(1, 1, 5, 4)));
  REQUIRE(one.at.accept(run(2, 2, 5, 4)));
  REQUIRE(one.at.accept(run(3, 3, 5, 1)));
  one.finish();
  std::vector<std::uint32_t> firsts;
  for (const engine_word& word : one.words)
    if (word.said == engine_word::what::first_token)
      firsts.push_back(word.request);
  CHECK(firsts == std::vector<std::uint32_t>{3, 1, 2});
}

TEST_CASE("a prompt that is being read is read to its end before a later one that is more urgent") {
  driven one{sheet()};
  REQUIRE(one.at.accept(run(1, 1, 5, 4)));
  one.step(); // the first chunk of two
  REQUIRE(one.at.accept(run(2, 2, 5, 1)));
  one.step();
  CHECK(one.said(engine_word::what::first_token, 1) == 1);
  CHECK(one.said(engine_word::what::first_token, 2) == 0);
}

// Three requests of 2,000 tokens fill the memory. A fourth that is more urgent comes. The newest of
// the least urgent gives its memory up and is read in again once there is room; all four end whole.
TEST_CASE("without memory the newest of the least urgent is preempted and read again") {
  engine_sheet small = sheet();
  small.memory_tokens = 3 * (prompt + 110);
  driven one{small};
  for (std::uint32_t i = 1; i <= 3; ++i) {
    engine_run made = run(i, i, 100, i == 1 ? 2 : 4);
    made.pieces = {{i, prompt}};
    REQUIRE(one.at.accept(made));
  }
  for (int i = 0; i < 10; ++i)
    one.step();
  REQUIRE(one.at.load().running == 3);
  engine_run urgent = run(4, 4, 100, 1);
  urgent.pieces = {{4, prompt}};
  REQUIRE(one.at.accept(urgent));
  one.step();
  CHECK(one.said(engine_word::what::preempted, 3) == 1);
  CHECK(one.said(engine_word::what::preempted, 2) == 0);
  CHECK(one.said(engine_word::what::preempted, 1) == 0);
  one.finish();
  for (std::uint32_t i = 1; i <= 4; ++i) {
    CHECK(one.said(engine_word::what::first_token, i) == 1);
    CHECK(one.said(engine_word::what::end, i) == 1);
  }
  CHECK(one.at.tokens_read() > 4 * prompt);
  CHECK(one.at.memory().held() == 0);
}

TEST_CASE("an equal request does not preempt an earlier one") {
  engine_sheet small = sheet();
  small.memory_tokens = prompt + 200;
  driven one{small};
  REQUIRE(one.at.accept(run(1, 1)));
  one.step();
  engine_run other = run(2, 2);
  other.pieces = {{5, prompt}};
  REQUIRE(one.at.accept(other));
  one.finish();
  CHECK(one.said(engine_word::what::preempted, 1) == 0);
  CHECK(one.said(engine_word::what::end, 2) == 1);
}

TEST_CASE("a full queue and a request beyond the memory are refused") {
  driven one{sheet()};
  engine_run huge = run(1, 1);
  huge.prompt_tokens = static_cast<std::uint32_t>(sheet().memory_tokens);
  CHECK_FALSE(one.at.accept(huge));
  for (std::uint32_t i = 0; i < sheet().queue; ++i)
    REQUIRE(one.at.accept(run(i, i)));
  CHECK_FALSE(one.at.accept(run(99, 99)));
}

TEST_CASE("a request whose caller has left holds nothing") {
  driven one{sheet()};
  REQUIRE(one.at.accept(run(1, 1)));
  one.step();
  CHECK(one.at.cancel(1));
  CHECK_FALSE(one.at.cancel(1));
  CHECK(one.at.memory().held() == 0);
  CHECK(one.at.load() == engine_load{});
}
