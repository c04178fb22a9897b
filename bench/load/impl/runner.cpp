#include "load/impl/runner.hpp"

#include "load/impl/player.hpp"

#include <Poco/Thread.h>

#include <algorithm>
#include <atomic>
#include <list>
#include <thread>

namespace sedgechute::load {

namespace {

constexpr int stack_bytes = 256 * 1024;

} // namespace

void run(std::span<const load_call> calls, std::span<const target> targets,
         const run_options& options, instant start, tally& into) {
  std::atomic<std::size_t> next{0};
  std::atomic<std::size_t> next_worker{0};
  const auto work = [&] {
    const std::size_t worker = next_worker++;
    player caller{targets, options.most_tries};
    for (std::size_t i = next++; i < calls.size(); i = next++) {
      const instant due = start + std::chrono::milliseconds{calls[i].due.count()};
      std::this_thread::sleep_until(due);
      const call_outcome outcome =
          caller.play(calls[i], (options.pinned ? worker : i) % targets.size(), due);
      into.count(calls[i], outcome, calls[i].due >= options.warm_up);
      if (options.seen)
        options.seen(calls[i], outcome);
    }
  };
  std::list<Poco::Thread> workers;
  for (std::size_t i = 0; i < std::min(options.workers, calls.size()); ++i) {
    workers.emplace_back().setStackSize(stack_bytes);
    workers.back().startFunc(work);
  }
  for (Poco::Thread& worker : workers)
    worker.join();
}

} // namespace sedgechute::load
