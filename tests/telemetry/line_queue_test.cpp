#include "telemetry/impl/line_queue.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <vector>

using namespace sedgechute;

TEST_CASE("queued lines are written in order, also those of the last moment") {
  std::string written;
  {
    line_queue queue{10, [&](const std::string& lines) { written += lines + "\n"; }};
    for (int i = 0; i < 5; ++i)
      CHECK(queue.push(std::to_string(i)));
  }
  CHECK(written == "0\n1\n2\n3\n4\n");
}

// A busy host writes hundreds of lines a second. Each write of its own would cost it a wake-up.
TEST_CASE("lines of one moment are written together, but not without a bound") {
  std::vector<std::string> writes;
  const std::string line(1000, 'x');
  {
    line_queue queue{200, [&](const std::string& lines) { writes.push_back(lines); }};
    for (int i = 0; i < 100; ++i)
      CHECK(queue.push(line));
  }
  std::string all;
  for (const std::string& one : writes) {
    CHECK(one.size() <= 32 * 1024);
    all += one + "\n";
  }
  CHECK(writes.size() < 50);
  CHECK(all.size() == 100 * (line.size() + 1));
}

// Whoever reads the log has stopped reading. Requests must go on: lines beyond the bound are
// dropped and counted, and the queue's end does not wait for a write that never returns.
TEST_CASE("a log that nobody reads holds nobody up") {
  std::promise<void> reader;
  auto reading = std::make_shared<std::shared_future<void>>(reader.get_future().share());
  std::uint64_t dropped = 0;
  {
    line_queue queue{3, [reading](const std::string&) { reading->wait(); }};
    for (int i = 0; i < 20; ++i)
      queue.push("line");
    dropped = queue.take_dropped();
    CHECK(queue.take_dropped() == 0);
  }
  CHECK(dropped >= 14);
  CHECK(dropped <= 17);
  reader.set_value();
}

// A process that stops ends without unwinding, since callers may still hold its threads. Its last
// lines say why a request was cut, and they are the ones that lie in the queue.
TEST_CASE("a queue that finishes has written every line it took, and takes no more") {
  std::string written;
  line_queue queue{10, [&](const std::string& lines) { written += lines + "\n"; }};
  for (int i = 0; i < 5; ++i)
    CHECK(queue.push(std::to_string(i)));
  CHECK(queue.finish(time_ms{2000}) == 0);
  CHECK(written == "0\n1\n2\n3\n4\n");
  CHECK_FALSE(queue.push("late"));
  CHECK(queue.finish(time_ms{2000}) == 1);
  CHECK(written == "0\n1\n2\n3\n4\n");
}

// Whoever reads the log has stopped reading, and the process must end within its grace all the
// same. What was not written is told by its number.
TEST_CASE("a queue whose reader does not read finishes in time and counts what it leaves") {
  std::promise<void> reader;
  auto reading = std::make_shared<std::shared_future<void>>(reader.get_future().share());
  line_queue queue{3, [reading](const std::string&) { reading->wait(); }};
  for (int i = 0; i < 20; ++i)
    queue.push("line");
  CHECK(queue.finish(time_ms{20}) == 20);
  reader.set_value();
}
