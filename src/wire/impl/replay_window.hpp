#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace sedgechute {

/// \brief Which of a sender's last numbers have arrived.
class replay_window {
 public:
  /// A sender counts over all receivers, so two datagrams that overtake each other on one path may
  /// lie as many numbers apart as it has peers.
  static constexpr std::size_t width = 1024;

  /// \returns whether `number` is new here; false as well when it is too old to tell.
  [[nodiscard]] bool admit(std::uint64_t number) noexcept;

 private:
  std::uint64_t highest_{0};
  std::bitset<width> seen_; ///< by number modulo width
};

} // namespace sedgechute
