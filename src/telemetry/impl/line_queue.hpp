#pragma once

#include "kernel/kernel.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace sedgechute {

/// \brief Writes lines on a thread of its own. Guards requests against whoever reads the log: when
/// nobody empties the pipe behind standard output a write blocks for good, and only this thread
/// waits. Lines beyond the bound are dropped and counted.
class line_queue {
 public:
  /// \brief Takes one or more whole lines, with line ends between them and none behind.
  using writer = std::function<void(const std::string& lines)>;

  line_queue(std::size_t most_lines, writer write);
  line_queue(const line_queue&) = delete;
  line_queue& operator=(const line_queue&) = delete;
  /// \brief Finishes, and gives a reader that does not read a second.
  ~line_queue();

  /// \returns false when the line was dropped
  bool push(std::string line);
  /// \returns lines dropped since the last call
  [[nodiscard]] std::uint64_t take_dropped();

  /// \brief Takes no more lines, and waits until those that are queued have been written.
  /// \param most  to wait for a reader that does not read
  /// \returns lines that were dropped or not written, and have not been told of
  std::uint64_t finish(time_ms most) noexcept;

 private:
  struct shared_state;
  static void run(const std::shared_ptr<shared_state>& state);
  static void write_together(const std::deque<std::string>& lines, const writer& write);

  std::shared_ptr<shared_state> state_;
  std::thread thread_;
};

} // namespace sedgechute
