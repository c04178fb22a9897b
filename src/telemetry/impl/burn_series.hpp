#pragma once

#include "kernel/kernel.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace sedgechute {

/// \brief Requests that count towards an objective, and those of them that met it.
struct good_total {
  std::uint64_t good{0};
  std::uint64_t total{0};

  [[nodiscard]] std::uint64_t bad() const noexcept { return total - good; }
  good_total& operator+=(const good_total& other) noexcept {
    good += other.good;
    total += other.total;
    return *this;
  }
  bool operator==(const good_total&) const = default;
};

/// \brief The windows over which error budgets are watched.
enum class burn_window { m5, m30, h1, h2, h6, d1, d3 };

inline constexpr std::size_t burn_windows = 7;
inline constexpr std::size_t burn_history_points = 72; ///< of five minutes each: six hours

[[nodiscard]] time_ms span_of(burn_window window) noexcept;

/// \brief Counts over time in three rings of buckets, fine ones for short windows and coarse ones
/// for long windows: under a kilobyte, however many requests there are.
///
/// A window is counted in whole buckets and may begin up to one bucket early.
class burn_series {
 public:
  /// \param now  must not go back
  void record(time_ms now, good_total counts);

  [[nodiscard]] good_total over(burn_window window, time_ms now) const;

  /// \returns the last six hours in steps of five minutes, oldest first
  [[nodiscard]] std::array<good_total, burn_history_points> history(time_ms now) const;

  [[nodiscard]] const good_total& all() const noexcept { return all_; }

 private:
  struct bucket {
    std::int64_t index{-1}; ///< which one since the origin of time
    std::uint32_t good{0};
    std::uint32_t total{0};
  };

  static constexpr std::size_t fine = 11;
  static constexpr std::size_t medium = burn_history_points + 1;
  static constexpr std::size_t coarse = 13;

  std::array<bucket, fine> fine_{};     ///< half a minute each
  std::array<bucket, medium> medium_{}; ///< five minutes each
  std::array<bucket, coarse> coarse_{}; ///< six hours each
  good_total all_;
};

template <>
struct enum_names<burn_window> {
  static constexpr auto entries = enum_table<burn_window>({{burn_window::m5, "5m"},
                                                           {burn_window::m30, "30m"},
                                                           {burn_window::h1, "1h"},
                                                           {burn_window::h2, "2h"},
                                                           {burn_window::h6, "6h"},
                                                           {burn_window::d1, "1d"},
                                                           {burn_window::d3, "3d"}});
};

} // namespace sedgechute
