#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

namespace sedgechute::pool {

/// \brief Names a part of a prompt together with all parts before it.
using part_key = std::uint64_t;

/// \brief An engine's memory in tokens: what requests hold, and parts of prompts. Parts that no
/// request uses yield, the least recently used first.
class part_memory {
 public:
  explicit part_memory(std::uint64_t capacity) : capacity_{capacity} {}

  [[nodiscard]] bool keeps(part_key part) const { return parts_.contains(part); }
  /// \brief Holds tokens for a request.
  /// \returns false, and changes nothing, when what is held leaves no room
  [[nodiscard]] bool take(std::uint64_t tokens);
  void give_back(std::uint64_t tokens) noexcept { held_ -= tokens; }
  /// \returns whether `take` would succeed
  [[nodiscard]] bool has_room(std::uint64_t tokens) const noexcept {
    return held_ + tokens <= capacity_;
  }

  /// \brief A request uses a part that is kept.
  void use(part_key part);
  /// \brief Tokens that a request holds become a part that it uses.
  void make_part(part_key part, std::uint64_t tokens);
  /// \brief A request uses the part no more; unused, it is the most recently used.
  void release(part_key part);
  /// \brief Keeps a part that no request uses yet, if there is room.
  void store(part_key part, std::uint64_t tokens);

  [[nodiscard]] std::uint64_t held() const noexcept { return held_; }
  [[nodiscard]] std::uint64_t yielding() const noexcept { return yielding_; }
  [[nodiscard]] std::uint64_t capacity() const noexcept { return capacity_; }

 private:
  struct kept {
    std::uint64_t tokens{};
    std::uint32_t users{};
    std::list<part_key>::iterator place; ///< among the unused
  };

  void yield_until(std::uint64_t tokens);

  std::uint64_t capacity_;
  std::uint64_t held_{0};
  std::uint64_t yielding_{0};
  std::list<part_key> unused_; ///< least recently used first
  std::unordered_map<part_key, kept> parts_;
};

} // namespace sedgechute::pool
