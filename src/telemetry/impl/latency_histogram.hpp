#pragma once

#include <cstdint>
#include <vector>

namespace sedgechute {

/// \brief A log-linear histogram: 256 buckets for each doubling, so a quantile is off by less than
/// 0.4% of its value. Values have any unit, best microseconds; memory is bounded.
class latency_histogram {
 public:
  void record(std::uint64_t value, std::uint64_t times = 1);
  void merge(const latency_histogram& other);

  [[nodiscard]] std::uint64_t count() const noexcept { return count_; }
  [[nodiscard]] std::uint64_t least() const noexcept { return count_ == 0 ? 0 : least_; }
  [[nodiscard]] std::uint64_t greatest() const noexcept { return greatest_; }
  [[nodiscard]] double mean() const noexcept;

  /// \param part  0 to 1
  /// \returns a value that at least this part of the recorded values do not exceed, but for the
  /// bucket's width; 0 when nothing was recorded
  [[nodiscard]] std::uint64_t quantile(double part) const noexcept;

 private:
  std::vector<std::uint64_t> buckets_; ///< as many as the greatest value needs
  std::uint64_t count_{0};
  std::uint64_t least_{~std::uint64_t{0}};
  std::uint64_t greatest_{0};
  double sum_{0};
};

} // namespace sedgechute
