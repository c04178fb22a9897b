#pragma once

#include "kernel/kernel.hpp"

#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace sedgechute {

/// \brief A timer queue of tickets. A ticket may be added again with another time; the owner
/// ignores entries that are out of date.
class due_tickets {
 public:
  using entry = std::pair<time_ms, std::uint64_t>;

  void add(time_ms due, std::uint64_t ticket) { queue_.emplace(due, ticket); }

  /// \brief Removes the earliest entry if it is due.
  /// \returns that entry, or nothing
  [[nodiscard]] std::optional<entry> take(time_ms now) {
    if (queue_.empty() || queue_.top().first > now)
      return std::nullopt;
    const entry next = queue_.top();
    queue_.pop();
    return next;
  }

 private:
  std::priority_queue<entry, std::vector<entry>, std::greater<>> queue_;
};

} // namespace sedgechute
