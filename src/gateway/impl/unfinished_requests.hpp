#pragma once

#include "admission/admission.hpp"
#include "intake/intake.hpp"
#include "kernel/kernel.hpp"

#include <atomic>
#include <cstddef>
#include <functional>

namespace sedgechute {

/// \brief Memory that the unfinished requests of a server share. Where there is none left, callers
/// that have been silent for some time are evicted. Thread-safe.
class unfinished_requests {
 public:
  /// \param body_bytes  of all bodies that arrive
  /// \param stall  a caller that has been silent for so long may be evicted
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
  /// \brief Decides about a caller that has been silent: it is evicted where others wait for a
  /// connection, and in the middle of a request where memory is short.
  [[nodiscard]] bool evicts(wait_stage stage, time_ms silent_since) noexcept;
  [[nodiscard]] time_ms stall() const noexcept { return stall_; }
  [[nodiscard]] std::size_t held() const noexcept { return memory_.held(held_message::body); }
  /// \returns how many callers have been evicted
  [[nodiscard]] std::uint64_t evicted() const noexcept { return evicted_; }

 private:
  static constexpr std::size_t reserve_divisor = 8; ///< of the memory, for small bodies

  held_bytes memory_;
  time_ms stall_;
  const clock& time_;
  std::function<bool()> callers_wait_{[] { return false; }};
  std::atomic<std::int64_t> short_until_{0}; ///< time in ms until which memory counts as short
  std::atomic<std::uint64_t> evicted_{0};
};

} // namespace sedgechute
