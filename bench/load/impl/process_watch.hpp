#pragma once

#include <cstdint>
#include <vector>

namespace sedgechute::load {

/// \brief Processor time and memory of other processes, from /proc.
class process_watch {
 public:
  explicit process_watch(std::vector<int> pids);

  /// \brief Takes a look at the memory; call it now and then.
  void look();

  /// \returns processor time used since the start of the watch
  [[nodiscard]] double cpu_seconds() const;
  /// \returns the most memory that any of the processes was seen with
  [[nodiscard]] double most_resident_mb() const noexcept { return most_mb_; }

 private:
  std::vector<int> pids_;
  double cpu_at_start_;
  double most_mb_{0};
};

} // namespace sedgechute::load
