#pragma once

#include "kernel/kernel.hpp"

#include <array>
#include <span>
#include <vector>

namespace sedgechute {

/// \brief Which endpoints probably hold which prompt prefixes, within a fixed memory bound: a
/// set-associative table in which the entry least recently confirmed makes room.
class prefix_table {
 public:
  /// \brief An endpoint that may hold a prefix of the prompt.
  struct match {
    std::uint32_t endpoint{};
    std::uint32_t blocks{}; ///< length of the prefix
    time_ms age;            ///< since it was last known to be there
    double confidence{};    ///< 0..1, when it was last known to be there
  };

  static constexpr std::size_t most_matches = 4;

  /// \param entries  prefixes kept; rounded up to a power of two
  explicit prefix_table(std::size_t entries = 65536);

  /// \brief Records that the endpoint holds the prompt's prefixes.
  void learn(std::span<const std::uint64_t> blocks, std::uint32_t endpoint, double confidence,
             time_ms now);

  /// \brief Records one prefix, from an engine's own event.
  void learn_one(std::uint64_t block, std::uint32_t endpoint, double confidence, time_ms now);

  void forget_one(std::uint64_t block, std::uint32_t endpoint);

  /// \brief Finds up to `most_matches` endpoints, the longest prefix first.
  /// \returns how many were written to `found`
  std::size_t lookup(std::span<const std::uint64_t> blocks, time_ms now,
                     std::array<match, most_matches>& found) const;

  /// \brief Prefix lengths at which prompts are recorded and looked up: all short ones, fewer of
  /// the long, so that a long prompt costs a bounded number of look-ups.
  [[nodiscard]] static bool is_recorded(std::size_t length) noexcept {
    return length <= 16 || (length <= 64 && length % 4 == 0) || length % 16 == 0;
  }

  [[nodiscard]] std::size_t bytes() const noexcept { return entries_.size() * sizeof(entry); }

 private:
  static constexpr std::size_t ways = 4;
  static constexpr std::size_t holders_kept = 3;

  struct holder {
    std::uint32_t endpoint{};
    float confidence{}; ///< 0 when the place is free
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
