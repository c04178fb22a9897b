#pragma once

#include "admission/impl/memory_division.hpp"

#include <array>
#include <atomic>
#include <cstddef>

namespace sedgechute {

/// \brief Kind of a message that a host holds.
enum class held_message {
  body,       ///< of a request
  answer,     ///< that its caller has not read
  connection, ///< of a caller: what arrives on it, beside bodies
};

/// \brief Counts the bytes of the messages that a host holds, against their limits. Thread-safe.
class held_bytes {
 public:
  /// \brief The bytes of one message; they are released with the guard.
  class guard {
   public:
    guard() = default; ///< counts nothing and refuses nothing
    guard(guard&& other) noexcept;
    guard& operator=(guard&& other) noexcept;
    guard(const guard&) = delete;
    guard& operator=(const guard&) = delete;
    ~guard() { release(); }

    /// \brief Changes the size of the message.
    /// \returns false when the limit does not allow it; the former size then still counts
    [[nodiscard]] bool resize(std::size_t bytes) noexcept;
    /// \returns whether it counts a message
    [[nodiscard]] bool counts() const noexcept { return in_ != nullptr; }
    void release() noexcept;

   private:
    friend class held_bytes;
    guard(held_bytes& in, held_message kind) noexcept : in_{&in}, kind_{kind} {}

    held_bytes* in_{nullptr};
    held_message kind_{held_message::body};
    std::size_t bytes_{0};
    bool exceeds_{false}; ///< is the one answer that may exceed the limit
  };

  explicit held_bytes(const memory_division& limits) noexcept : limits_{limits} {}

  /// \brief Begins to count a message of size 0.
  [[nodiscard]] guard begin(held_message kind) noexcept { return {*this, kind}; }
  [[nodiscard]] std::size_t held(held_message kind) const noexcept { return counter(kind); }
  [[nodiscard]] const memory_division& limits() const noexcept { return limits_; }

 private:
  /// \returns how many bytes all messages of a kind may have once one of them has `bytes`
  [[nodiscard]] std::size_t limit(held_message kind, std::size_t bytes) const noexcept;
  /// \returns bytes of connections beyond their part of the memory
  [[nodiscard]] std::size_t connections_excess() const noexcept;
  [[nodiscard]] bool grow(held_message kind, std::size_t from, std::size_t to) noexcept;
  [[nodiscard]] std::atomic<std::size_t>& counter(held_message kind) noexcept {
    return counters_[static_cast<std::size_t>(kind)];
  }
  [[nodiscard]] const std::atomic<std::size_t>& counter(held_message kind) const noexcept {
    return counters_[static_cast<std::size_t>(kind)];
  }

  memory_division limits_;
  std::array<std::atomic<std::size_t>, 3> counters_{}; ///< by kind
  std::atomic<bool> exceeded_{false};
};

} // namespace sedgechute
