#pragma once

#include "kernel/kernel.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace sedgechute {

/// \brief Durations of recent requests, by kind. Not thread-safe.
class run_durations {
 public:
  void note(const std::string& kind, time_ms length);
  /// \returns the duration within which `percent` of the recent requests ended, or nothing if too
  /// few are recorded
  [[nodiscard]] std::optional<time_ms> within(const std::string& kind, std::size_t percent) const;

 private:
  // Covers some seconds of one kind's requests at one host.
  static constexpr std::size_t kept = 64;
  struct ring {
    std::array<std::uint32_t, kept> lengths{}; ///< ms
    std::size_t noted{0};
  };

  std::unordered_map<std::string, ring> kinds_;
};

} // namespace sedgechute
