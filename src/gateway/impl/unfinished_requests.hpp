#pragma once

#include "admission/admission.hpp"
#include "intake/intake.hpp"
#include "kernel/kernel.hpp"

#include <atomic>
#include <cstddef>
#include <functional>

namespace sedgechute {

/// \brief Room that the unfinished requests of a server share. Where there is none left, callers
/// that have been silent for some time give way. Thread-safe.
class unfinished_requests {
 public:
  /// \param body_bytes  of all bodies that arrive
  /// \param stall  a caller that has been silent for so long may give way
  unfinished_requests(std::size_t body_bytes, time_ms stall, const clock& time) noexcept
      : memory_{{.bodies = body_bytes - body_bytes / reserve_divisor,
                 .answers = 0,
                 .reserve = body_bytes / reserve_divisor}},
        stall_{stall}, time_{time} {}

  /// \param waits  returns whether callers wait for a connection
  void set_waiting(std::function<bool()> waits) { callers_wait_ = std::move(waits); }
  [[nodiscard]] held_bytes::guard begin() noexcept { return memory_.begin(held_message::body); }
  /// \brief Counts the body of one request with another size.
  /// \throws error `no_capacity`
  void resize(held_bytes::guard& body, std::size_t bytes);
  /// \returns whether a caller that has been silent since then gives way: where connections are
  /// waited for, or in the middle of a request where memory is short
  [[nodiscard]] bool gives_way(wait_stage stage, time_ms silent_since) noexcept;
  [[nodiscard]] time_ms stall() const noexcept { return stall_; }
  [[nodiscard]] std::size_t held() const noexcept { return memory_.held(held_message::body); }
  /// \returns how many callers have given way
  [[nodiscard]] std::uint64_t yielded() const noexcept { return yielded_; }

 private:
  static constexpr std::size_t reserve_divisor = 8; ///< of the room, for small bodies

  held_bytes memory_;
  time_ms stall_;
  const clock& time_;
  std::function<bool()> callers_wait_{[] { return false; }};
  std::atomic<std::int64_t> short_until_{0}; ///< time in ms until which memory counts as short
  std::atomic<std::uint64_t> yielded_{0};
};

} // namespace sedgechute
