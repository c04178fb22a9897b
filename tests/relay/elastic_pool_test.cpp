#include "relay/relay.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace sedgechute;

namespace {

/// Blocks tasks until it is opened.
class gate {
 public:
  void pass() {
    std::unique_lock lock{mutex_};
    ++inside_;
    changed_.notify_all();
    changed_.wait(lock, [this] { return open_; });
  }
  void wait_for(int inside) {
    std::unique_lock lock{mutex_};
    CHECK(changed_.wait_for(lock, std::chrono::seconds{10}, [&] { return inside_ >= inside; }));
  }
  void open() {
    const std::scoped_lock lock{mutex_};
    open_ = true;
    changed_.notify_all();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  int inside_{0};
  bool open_{false};
};

} // namespace

TEST_CASE("waiting tasks do not block later ones") {
  gate held;
  elastic_pool pool{{}};
  for (int i = 0; i < 20; ++i)
    CHECK(pool.run([&] { held.pass(); }));
  held.wait_for(20);
  held.open();
  pool.stop();
}

TEST_CASE("when all threads are busy, tasks are queued up to the limit and run later") {
  gate held;
  std::atomic<int> ran{0};
  {
    elastic_pool pool{{.max_threads = 2, .max_queued = 3}};
    for (int i = 0; i < 2; ++i)
      CHECK(pool.run([&] { held.pass(); }));
    held.wait_for(2);
    for (int i = 0; i < 3; ++i)
      CHECK(pool.run([&] { ++ran; }));
    CHECK_FALSE(pool.run([&] { ++ran; }));
    held.open();
    for (int i = 0; i < 1000 && ran < 3; ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds{5});
  }
  CHECK(ran == 3);
}

TEST_CASE("idle threads end, and new ones start when needed") {
  elastic_pool pool{{.idle_timeout = time_ms{20}}};
  for (int round = 0; round < 3; ++round) {
    std::atomic<int> ran{0};
    for (int i = 0; i < 5; ++i)
      CHECK(pool.run([&] { ++ran; }));
    for (int i = 0; i < 1000 && ran < 5; ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds{5});
    CHECK(ran == 5);
    std::this_thread::sleep_for(std::chrono::milliseconds{60});
  }
}

TEST_CASE("a stopped pool accepts no tasks") {
  elastic_pool pool{{}};
  pool.stop();
  CHECK_FALSE(pool.run([] {}));
}

// A full pool must not count ended threads as running: with none left its tasks would wait for
// good.
TEST_CASE("a pool whose threads have all ended starts new ones") {
  constexpr int threads = 2;
  gate held;
  elastic_pool pool{{.max_threads = threads, .idle_timeout = time_ms{20}}};
  for (int i = 0; i < threads; ++i)
    CHECK(pool.run([&] { held.pass(); }));
  held.wait_for(threads);
  held.open();
  std::this_thread::sleep_for(std::chrono::milliseconds{300});
  std::atomic<int> ran{0};
  CHECK(pool.run([&] { ++ran; }));
  for (int i = 0; i < 400 && ran < 1; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds{5});
  CHECK(ran == 1);
}

// A host on which no thread takes requests must not count as ready.
TEST_CASE("a pool tells how long its first task has been waiting") {
  gate held;
  elastic_pool pool{{.max_threads = 1}};
  CHECK(pool.longest_wait() == time_ms{});
  CHECK(pool.run([&] { held.pass(); }));
  held.wait_for(1);
  CHECK(pool.longest_wait() == time_ms{});
  CHECK(pool.run([] {}));
  std::this_thread::sleep_for(std::chrono::milliseconds{30});
  CHECK(pool.longest_wait() >= time_ms{30});
  held.open();
  for (int i = 0; i < 1000 && pool.longest_wait() > time_ms{}; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds{5});
  CHECK(pool.longest_wait() == time_ms{});
}
