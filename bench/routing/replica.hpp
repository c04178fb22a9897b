#pragma once

#include "workload.hpp"

#include <deque>
#include <list>
#include <set>
#include <unordered_map>

namespace sedgechute::bench {

/// \brief Prefix blocks kept by one replica, least recently used out first.
class block_cache {
 public:
  explicit block_cache(std::size_t capacity) : capacity_{capacity} {}

  /// \returns how many leading blocks are cached
  [[nodiscard]] std::uint32_t hits(const std::vector<std::uint64_t>& blocks) const;
  /// \brief Stores a prompt's blocks and calls `changed(block, stored)` for each change.
  template <typename Changed>
  void store(const std::vector<std::uint64_t>& blocks, Changed&& changed) {
    for (const std::uint64_t block : blocks) {
      const auto found = places_.find(block);
      if (found != places_.end()) {
        order_.splice(order_.end(), order_, found->second);
        continue;
      }
      places_[block] = order_.insert(order_.end(), block);
      changed(block, true);
      if (order_.size() <= capacity_)
        continue;
      changed(order_.front(), false);
      places_.erase(order_.front());
      order_.pop_front();
    }
  }
  void clear();

 private:
  std::size_t capacity_;
  std::list<std::uint64_t> order_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places_;
};

/// \brief One attempt at a replica.
struct run {
  std::uint32_t request{};
  std::uint32_t attempt{};
  std::uint32_t replica{};
  std::uint32_t priority{};
  std::uint32_t unread{}; ///< prompt tokens still to be read
  std::uint32_t cached{}; ///< prompt tokens found in the cache
  bool first_token{};
};

struct cache_event {
  double at_ms{};
  std::uint64_t block{};
  bool stored{};
};

/// \brief A replica in virtual time: places, a reader that goes by priority in chunks, and a pace
/// that falls with the number of streams.
struct replica {
  /// Order in which waiting runs are taken: priority first, then arrival.
  struct place_in_line {
    std::uint32_t priority{};
    std::uint64_t sequence{};
    std::uint32_t run{};
    auto operator<=>(const place_in_line&) const = default;
  };

  explicit replica(const engine_speed& s) : speed{s}, cache{s.cache_blocks} {}

  engine_speed speed;
  block_cache cache;
  double slow_factor{1.0};
  bool up{true};
  std::uint64_t life{1};
  std::uint32_t running{};
  bool reading{};
  std::set<place_in_line> waiting; ///< for a place
  std::set<place_in_line> unread;  ///< for the reader
  std::set<std::uint32_t> runs;    ///< all runs here
  std::deque<cache_event> events;
  std::deque<std::pair<double, load_report>> snapshots;

  [[nodiscard]] double pace_ms() const noexcept;
  [[nodiscard]] load_report report() const;
};

} // namespace sedgechute::bench
