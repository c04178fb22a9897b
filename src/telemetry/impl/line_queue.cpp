#include "telemetry/impl/line_queue.hpp"

#include <chrono>
#include <memory>
#include <utility>

namespace sedgechute {

namespace {

constexpr time_ms last_words{1000}; // for the queue to empty at the end

// Lines are gathered for so long and written together: a wake-up and a write for each would cost a
// busy host a tenth of its processor. A killed host loses the lines of that time.
constexpr std::chrono::milliseconds gather{10};
constexpr std::size_t most_together = 32 * 1024; // bytes of one write

} // namespace

// Outlives the queue: the thread may stand in a write that never returns.
struct line_queue::shared_state {
  std::size_t most_lines{};
  writer write;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::string> lines;
  std::size_t being_written{0}; ///< lines, beside those that are queued
  std::uint64_t dropped{0};
  bool stopping{false};
  bool ended{false};
};

line_queue::line_queue(std::size_t most_lines, writer write)
    : state_{std::make_shared<shared_state>()} {
  state_->most_lines = most_lines;
  state_->write = std::move(write);
  thread_ = std::thread{[state = state_] { run(state); }};
}

line_queue::~line_queue() {
  (void)finish(last_words);
}

// The thread may stand in a write that never returns; then it is left behind, and so are its lines.
std::uint64_t line_queue::finish(time_ms most) noexcept {
  std::unique_lock lock{state_->mutex};
  state_->stopping = true;
  state_->changed.notify_all();
  const bool ended = state_->changed.wait_for(lock, std::chrono::milliseconds{most.count()},
                                              [this] { return state_->ended; });
  const std::uint64_t unwritten =
      std::exchange(state_->dropped, 0) + state_->lines.size() + state_->being_written;
  lock.unlock();
  if (!thread_.joinable())
    return unwritten;
  if (ended)
    thread_.join();
  else
    thread_.detach();
  return unwritten;
}

bool line_queue::push(std::string line) {
  const std::scoped_lock lock{state_->mutex};
  if (state_->stopping || state_->lines.size() >= state_->most_lines) {
    ++state_->dropped;
    return false;
  }
  state_->lines.push_back(std::move(line));
  if (state_->lines.size() == 1)
    state_->changed.notify_all(); // a queue that holds lines has woken its thread already
  return true;
}

std::uint64_t line_queue::take_dropped() {
  const std::scoped_lock lock{state_->mutex};
  return std::exchange(state_->dropped, 0);
}

void line_queue::write_together(const std::deque<std::string>& lines, const writer& write) {
  std::string text;
  for (const std::string& line : lines) {
    if (!text.empty() && text.size() + line.size() >= most_together)
      write(std::exchange(text, {}));
    if (!text.empty())
      text += '\n';
    text += line;
  }
  if (!text.empty())
    write(text);
}

void line_queue::run(const std::shared_ptr<shared_state>& state) {
  std::unique_lock lock{state->mutex};
  for (;;) {
    state->changed.wait(lock, [&] { return state->stopping || !state->lines.empty(); });
    if (state->lines.empty())
      break;
    if (!state->stopping)
      state->changed.wait_for(lock, gather, [&] { return state->stopping; });
    const std::deque<std::string> batch = std::exchange(state->lines, {});
    state->being_written = batch.size();
    lock.unlock();
    write_together(batch, state->write);
    lock.lock();
    state->being_written = 0;
  }
  state->ended = true;
  state->changed.notify_all();
}

} // namespace sedgechute
