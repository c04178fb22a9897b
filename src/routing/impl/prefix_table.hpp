#pragma once

#include "kernel/kernel.hpp"

#include <array>
#include <span>
#include <vector>

namespace sedgechute {

/// \brief Maps prompt prefixes to the endpoints that probably cache them, in a set-associative
/// table of fixed size that evicts the least recently confirmed entry.
class prefix_table {
 public:
  /// \brief An endpoint that probably caches a prefix of the prompt.
  struct match {
    std::uint32_t endpoint{};
    std::uint32_t blocks{}; ///< length of the prefix
    time_ms age;            ///< since the entry was last confirmed
    double confidence{};    ///< 0..1, at that time
  };

  static constexpr std::size_t max_matches = 4;

  /// \param entries  capacity in prefixes; rounded up to a power of two
  explicit prefix_table(std::size_t entries = 65536);

  /// \brief Records that the endpoint caches the prompt's prefixes.
  void learn(std::span<const std::uint64_t> blocks, std::uint32_t endpoint, double confidence,
             time_ms now);

  /// \brief Records that the endpoint caches one prefix.
  void learn_one(std::uint64_t block, std::uint32_t endpoint, double confidence, time_ms now);

  void forget_one(std::uint64_t block, std::uint32_t endpoint);

  /// \brief Finds up to `max_matches` endpoints, the longest prefix first.
  /// \returns number of matches written to `found`
  std::size_t lookup(std::span<const std::uint64_t> blocks, time_ms now,
                     std::array<match, max_matches>& found) const;

  /// \returns whether prefixes of this length, in blocks, are recorded and looked up. Every short
  /// length is, long ones at intervals, so that a long prompt costs a bounded number of look-ups.
  [[nodiscard]] static bool is_recorded(std::size_t length) noexcept {
    return length <= 16 || (length <= 64 && length % 4 == 0) || length % 16 == 0;
  }

  [[nodiscard]] std::size_t bytes() const noexcept { return entries_.size() * sizeof(entry); }

 private:
  static constexpr std::size_t ways = 4;
  static constexpr std::size_t holders_kept = 3;

  struct holder {
    std::uint32_t endpoint{};
    float confidence{}; ///< 0 if unused
    time_ms confirmed;
  };

  struct entry {
    std::uint64_t block{};
    std::array<holder, holders_kept> holders{};
  };

  [[nodiscard]] const entry* find(std::uint64_t block) const noexcept;
  [[nodiscard]] entry& find_or_replace(std::uint64_t block) noexcept;
  [[nodiscard]] std::size_t set_of(std::uint64_t block) const noexcept;

  std::vector<entry> entries_;
  std::size_t mask_;
};

} // namespace sedgechute
