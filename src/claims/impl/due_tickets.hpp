#pragma once

#include "kernel/kernel.hpp"

#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace sedgechute {

/// \brief Which ticket is to be looked at when. A ticket may be added again with another instant;
/// the owner passes over entries that are out of date.
class due_tickets {
 public:
  using entry = std::pair<time_ms, std::uint64_t>;

  void add(time_ms due, std::uint64_t ticket) { queue_.emplace(due, ticket); }

  /// \returns the next entry that is due, if any
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
