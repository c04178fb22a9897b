#pragma once

#include "load/impl/load_call.hpp"

#include <iosfwd>
#include <map>
#include <mutex>

namespace sedgechute::load {

/// \brief Counts of one row of the table, or of all.
struct tally_row {
  std::uint64_t requests{0};
  std::uint64_t answered{0};
  std::uint64_t refused{0};
  std::uint64_t unresolved{0};
  std::uint64_t mixed{0};
  std::uint64_t disordered{0};
  std::uint64_t cut{0}; ///< cut without a word at some try
  std::uint64_t tries{0};
  std::int64_t tokens{0};
  std::int64_t billed{0};
  std::int64_t used{0};
  latency_histogram first_us{};
  latency_histogram total_us{};
  latency_histogram gaps_us{};

  void count(const call_outcome& outcome, bool timed);
  void merge(const tally_row& other);
};

/// \brief Collects outcomes from any number of threads.
class tally {
 public:
  /// \param timed  whether its times count, too
  void count(const load_call& call, const call_outcome& outcome, bool timed = true);

  [[nodiscard]] tally_row total() const;
  /// \returns how often each kind of refusal or failure came
  [[nodiscard]] std::map<std::string, std::uint64_t> errors() const;
  [[nodiscard]] std::int64_t most_late_us() const;

  /// \brief Prints a table by class and team.
  void print(std::ostream& out) const;

 private:
  struct row_key {
    std::string class_name;
    std::string team;
    auto operator<=>(const row_key&) const = default;
  };

  mutable std::mutex mutex_;
  std::map<row_key, tally_row> rows_;
  std::map<std::string, std::uint64_t> errors_;
  std::int64_t most_late_us_{0};
};

} // namespace sedgechute::load
