#pragma once

#include <cstdint>

namespace sedgechute {

/// \brief A small deterministic generator (SplitMix64). Pure logic is handed one, so that a seed
/// replays a run.
class random_source {
 public:
  using result_type = std::uint64_t;

  explicit random_source(std::uint64_t seed) noexcept : state_{seed} {}

  /// \returns a generator seeded from the operating system.
  [[nodiscard]] static random_source from_system();

  [[nodiscard]] static constexpr result_type min() noexcept { return 0; }
  [[nodiscard]] static constexpr result_type max() noexcept { return ~result_type{0}; }

  result_type operator()() noexcept;

  /// \returns a number in [0, bound); 0 when `bound` is 0.
  [[nodiscard]] std::uint64_t below(std::uint64_t bound) noexcept;

  /// \returns a number in [0, 1).
  [[nodiscard]] double unit() noexcept;

 private:
  std::uint64_t state_;
};

} // namespace sedgechute
