#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sedgechute::fleet_test {

/// \brief A program of ours, run for one test; killed when it goes out of scope.
class process {
 public:
  /// \param output  file that gets what it prints
  process(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& output);
  process(const process&) = delete;
  process& operator=(const process&) = delete;
  ~process();

  void signal(int number) const;
  /// \returns the exit code, or -1 when it did not end in `most_ms`.
  [[nodiscard]] int wait(int most_ms);
  /// \returns the exit code if it has ended by now, without waiting
  [[nodiscard]] std::optional<int> ended();
  /// \brief Ends it as a crash would.
  void crash();
  [[nodiscard]] pid_t id() const noexcept { return pid_; }

 private:
  pid_t pid_{-1};
  std::optional<int> ended_; ///< its exit code
};

/// \returns a TCP port that nothing listens on now.
[[nodiscard]] std::uint16_t free_port();

} // namespace sedgechute::fleet_test
