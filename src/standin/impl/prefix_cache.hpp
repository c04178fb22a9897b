#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace sedgechute::standin {

/// \brief A bounded cache of prefix blocks, least recently used first out, with the record of its
/// events that engines publish late and with gaps.
class prefix_cache {
 public:
  explicit prefix_cache(std::size_t most_blocks) : most_blocks_{most_blocks} {}

  /// \brief Looks up a prompt's blocks and stores those that are missing.
  /// \returns how many leading blocks were cached
  std::size_t use(const std::vector<std::uint64_t>& blocks, std::int64_t now_ms);

  /// \returns the JSON answer of `GET /cache/events?after=N`: events older than `delay_ms`
  [[nodiscard]] std::string events_after(std::uint64_t after, std::int64_t now_ms,
                                         std::int64_t delay_ms) const;

  void clear();
  [[nodiscard]] std::size_t size() const noexcept { return where_.size(); }

 private:
  enum class event_kind { stored, evicted };
  struct event {
    std::uint64_t seq;
    event_kind kind;
    std::uint64_t block;
    std::int64_t at_ms;
  };

  void store(std::uint64_t block, std::int64_t now_ms);
  void note(event_kind kind, std::uint64_t block, std::int64_t now_ms);

  std::size_t most_blocks_;
  std::list<std::uint64_t> recent_; ///< most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> where_;
  std::deque<event> events_;
  std::uint64_t next_seq_{1};
};

} // namespace sedgechute::standin
