#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sedgechute::soak {

/// \brief What was promised, checked from what callers got and what engines ran. Thread-safe.
class promises {
 public:
  /// \brief An engine began to run an attempt.
  void note_run(const std::string& attempt, bool run_once, std::uint64_t prompt_tokens);
  /// \brief A caller got events of a stream, each of so many tokens at most.
  void note_delivered(std::uint64_t tokens);
  /// \brief The team has paid for so much from now on.
  void note_paid(std::uint64_t tokens);

  /// \brief What a caller got in the end.
  struct outcome {
    std::string attempt;
    int status{}; ///< 0: the connection ended without an answer
    bool whole{}; ///< the answer ended as a complete one does
    bool right{}; ///< what came belongs to this attempt, in order
    bool left{};  ///< the caller gave up
  };
  void note_outcome(const outcome& got);
  /// \brief A host was told to stop and ended by itself.
  /// \param code  its exit code; -1 when it had to be killed after its grace
  void note_stop(int code);
  /// \brief From now on only planned work happens: every request that an engine ran and whose
  /// caller waited has a whole answer.
  void only_planned_work() noexcept { only_planned_ = true; }

  /// \returns what was broken; empty when nothing was
  [[nodiscard]] std::vector<std::string> broken() const;
  [[nodiscard]] std::string summary() const;

 private:
  void spend(std::uint64_t tokens) noexcept;

  struct attempt_runs {
    int runs{};
    bool run_once{};
  };

  mutable std::mutex mutex_;
  std::map<std::string, attempt_runs> runs_;
  std::vector<outcome> outcomes_;
  std::uint64_t spent_{0};
  std::uint64_t paid_{0};
  std::vector<int> bad_stops_; ///< exit codes
  int stops_{0};
  std::atomic<bool> only_planned_{false};
  std::uint64_t most_above_{0}; ///< tokens spent above what was paid then
};

} // namespace sedgechute::soak
