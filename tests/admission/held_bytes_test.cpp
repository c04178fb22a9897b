#include "admission/admission.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

using namespace sedgechute;

namespace {

constexpr std::size_t mb = std::size_t{1} << 20U;
constexpr memory_division small_limits{.bodies = 4 * mb, .answers = 2 * mb, .reserve = mb};

held_bytes::guard body_of(held_bytes& held, std::size_t bytes, bool expected) {
  held_bytes::guard made = held.begin(held_message::body);
  CHECK(made.resize(bytes) == expected);
  return made;
}

} // namespace

// A division that leaves nothing to the program kills it under load: stacks, connections and the
// one answer beyond the limit need their part of the memory.
TEST_CASE("the parts of the memory leave enough to the program") {
  for (const double memory : {16.0, 32.0, 88.0, 96.0, 110.0, 512.0, 4096.0}) {
    const memory_division parts = divide_memory(memory);
    const auto left = memory * static_cast<double>(mb) -
                      static_cast<double>(parts.bodies + parts.answers + parts.reserve);
    CHECK(parts.bounded());
    CHECK(left >= static_cast<double>(mb) * memory / 4);
    if (memory >= 88)
      CHECK(left >= static_cast<double>(mb) * (24 + 8)); // 8: the longest answer
    CHECK(parts.bodies >= 3 * mb);
    CHECK(parts.reserve >= mb);
  }
  CHECK_FALSE(divide_memory(std::nullopt).bounded());
}

// An operator's settings may name no memory, or more than there is.
TEST_CASE("the memory that a host divides is bounded whatever its settings say") {
  CHECK(usable_memory(std::nullopt, 24000) == default_memory_mb);
  CHECK(usable_memory(110, 24000) == 110);
  CHECK(usable_memory(512, 256) == 256);
  CHECK(usable_memory(std::nullopt, 64) == 64);
  CHECK(divide_memory(usable_memory(std::nullopt, 24000)).bounded());
}

// A limit below the usual demand of a small machine would reject its everyday requests.
TEST_CASE("600 open requests with bodies of 75 kB fit into a machine of 88 MB") {
  held_bytes held{divide_memory(88)};
  std::vector<held_bytes::guard> open;
  for (int i = 0; i < 600; ++i)
    open.push_back(body_of(held, 75'000, true));
  CHECK(held.held(held_message::body) == 600 * 75'000);
}

// Many large bodies at once must not take the place of small requests.
TEST_CASE("beyond the limit of bodies only small ones are accepted, within the reserve") {
  held_bytes held{small_limits};
  const auto large = body_of(held, 4 * mb, true);
  const auto refused = body_of(held, small_message_bytes + 1, false);
  const auto empty = body_of(held, 0, true);
  std::vector<held_bytes::guard> small;
  for (std::size_t i = 0; i < mb / small_message_bytes; ++i)
    small.push_back(body_of(held, small_message_bytes, true));
  const auto one_more = body_of(held, 1, false);
  CHECK(held.held(held_message::body) == 5 * mb);
}

// Bytes that stay counted after their request block all later ones for good.
TEST_CASE("the bytes of a message are released once, on all paths") {
  held_bytes held{small_limits};
  {
    held_bytes::guard first = body_of(held, 3 * mb, true);
    CHECK_FALSE(first.resize(5 * mb));
    CHECK(held.held(held_message::body) == 3 * mb);
    held_bytes::guard moved = std::move(first);
    first.release(); // NOLINT(bugprone-use-after-move)
    CHECK(held.held(held_message::body) == 3 * mb);
    CHECK(moved.resize(mb));
    moved = body_of(held, 2 * mb, true);
    CHECK(held.held(held_message::body) == 2 * mb);
  }
  CHECK(held.held(held_message::body) == 0);
  held_bytes::guard uncounted;
  CHECK(uncounted.resize(100 * mb));
}

// Half-read answers that wait for each other's memory would all fail at their deadlines.
TEST_CASE("one answer at a time may exceed the limit, and small ones are never delayed") {
  held_bytes held{small_limits};
  std::optional<held_bytes::guard> first = held.begin(held_message::answer);
  held_bytes::guard second = held.begin(held_message::answer);
  held_bytes::guard small = held.begin(held_message::answer);
  CHECK(first->resize(mb));
  CHECK(second.resize(mb));
  CHECK(first->resize(3 * mb));
  CHECK_FALSE(second.resize(mb + 1));
  CHECK(small.resize(small_message_bytes));
  first.reset();
  CHECK(second.resize(2 * mb));
  second.release();
  small.release();
  CHECK(held.held(held_message::answer) == 0);
}

// Requests arrive on many threads: two that each see room for one must not both take it.
TEST_CASE("the limit holds with many threads") {
  held_bytes held{{.bodies = mb, .answers = mb, .reserve = 0}};
  std::atomic<bool> exceeded{false};
  std::vector<std::thread> threads;
  for (int t = 0; t < 4; ++t)
    threads.emplace_back([&] {
      for (int i = 0; i < 20000; ++i) {
        held_bytes::guard one = held.begin(held_message::body);
        if (one.resize(400 * 1024) && held.held(held_message::body) > mb)
          exceeded = true;
      }
    });
  for (std::thread& one : threads)
    one.join();
  CHECK_FALSE(exceeded);
  CHECK(held.held(held_message::body) == 0);
}

// A crowd of connections and of bodies must not take the memory twice.
TEST_CASE(
    "connections beyond their part take from the part of the bodies, and the other way round") {
  constexpr memory_division limits{
      .bodies = 4 * mb, .answers = mb, .reserve = 0, .connections = mb};
  held_bytes held{limits};
  held_bytes::guard connections = held.begin(held_message::connection);
  CHECK(connections.resize(2 * mb));
  held_bytes::guard body = body_of(held, 3 * mb, true);
  CHECK_FALSE(body.resize(3 * mb + 1));
  CHECK_FALSE(connections.resize(2 * mb + 1));
  body.release();
  CHECK(connections.resize(4 * mb)); // a quarter of the bodies' part is always theirs
  CHECK_FALSE(connections.resize(4 * mb + 1));
  CHECK(body_of(held, mb, true).counts());
}

// Usual callers must not meet the bound: their connections fit into the part that is kept.
TEST_CASE("600 callers with bodies of 75 kB and 3000 idle ones fit into a machine of 88 MB") {
  constexpr std::size_t usual = 12 * 1024 + 1536;
  held_bytes held{divide_memory(88)};
  held_bytes::guard connections = held.begin(held_message::connection);
  CHECK(connections.resize(600 * usual));
  held_bytes::guard bodies = body_of(held, 600 * 75'000, true);
  bodies.release();
  CHECK(connections.resize(1024 * usual + 1976 * (6 * 1024 + 1536)));
}
