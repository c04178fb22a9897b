#include "telemetry/impl/line_queue.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <vector>

using namespace sedgechute;

TEST_CASE("queued lines are written in order, also those of the last moment") {
  std::vector<std::string> written;
  {
    line_queue queue{10, [&](const std::string& line) { written.push_back(line); }};
    for (int i = 0; i < 5; ++i)
      CHECK(queue.push(std::to_string(i)));
  }
  CHECK(written == std::vector<std::string>{"0", "1", "2", "3", "4"});
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
