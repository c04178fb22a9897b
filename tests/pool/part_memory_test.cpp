#include "pool/pool.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sedgechute;
using namespace sedgechute::pool;

TEST_CASE("memory yields the parts that were used longest ago") {
  part_memory memory{300};
  memory.store(1, 100);
  memory.store(2, 100);
  memory.store(3, 100);
  memory.use(1);
  memory.release(1); // the most recently used now
  REQUIRE(memory.take(150));
  CHECK(memory.keeps(1));
  CHECK_FALSE(memory.keeps(2));
  CHECK_FALSE(memory.keeps(3));
}

TEST_CASE("parts that a request uses do not yield") {
  part_memory memory{300};
  memory.store(1, 100);
  memory.use(1);
  CHECK_FALSE(memory.take(201));
  REQUIRE(memory.take(200));
  CHECK(memory.keeps(1));
  memory.give_back(200);
  memory.release(1);
  REQUIRE(memory.take(300));
  CHECK_FALSE(memory.keeps(1));
}

TEST_CASE("a part that two requests have read is kept once") {
  part_memory memory{300};
  REQUIRE(memory.take(200));
  memory.make_part(1, 100);
  memory.make_part(1, 100);
  CHECK(memory.held() == 100);
  memory.release(1);
  CHECK(memory.held() == 100);
  memory.release(1);
  CHECK(memory.held() == 0);
  CHECK(memory.yielding() == 100);
}

// Whatever is taken, used, released and given back: no more is kept than there is, what is held and
// what yields adds up, and a refused request for room changes nothing.
TEST_CASE("memory never keeps more than its capacity") {
  CHECK(rc::check("memory's sums hold", [] {
    constexpr std::uint64_t capacity = 1000;
    part_memory memory{capacity};
    std::uint64_t taken = 0;
    std::vector<part_key> used;
    for (int i = 0; i < 200; ++i) {
      const auto tokens = *rc::gen::inRange<std::uint64_t>(1, 400);
      const auto part = *rc::gen::inRange<part_key>(1, 12);
      switch (*rc::gen::inRange(0, 4)) {
      case 0: {
        const auto before = memory.held() + memory.yielding();
        if (memory.take(tokens))
          taken += tokens;
        else
          RC_ASSERT(memory.held() + memory.yielding() == before);
        break;
      }
      case 1:
        memory.give_back(taken);
        taken = 0;
        break;
      case 2:
        memory.store(part, 90);
        if (memory.keeps(part)) {
          memory.use(part);
          used.push_back(part);
        }
        break;
      default:
        if (!used.empty()) {
          memory.release(used.back());
          used.pop_back();
        }
      }
      RC_ASSERT(memory.held() + memory.yielding() <= capacity);
      for (const part_key one : used)
        RC_ASSERT(memory.keeps(one));
    }
    memory.give_back(taken);
    for (const part_key one : used)
      memory.release(one);
    RC_ASSERT(memory.held() == 0U);
  }));
}
