#include "admission/impl/held_bytes.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

constexpr std::size_t shared_divisor = 4;

} // namespace

held_bytes::guard::guard(guard&& other) noexcept
    : in_{std::exchange(other.in_, nullptr)}, kind_{other.kind_},
      bytes_{std::exchange(other.bytes_, 0)}, exceeds_{std::exchange(other.exceeds_, false)} {}

held_bytes::guard& held_bytes::guard::operator=(guard&& other) noexcept {
  if (this == &other)
    return *this;
  release();
  in_ = std::exchange(other.in_, nullptr);
  kind_ = other.kind_;
  bytes_ = std::exchange(other.bytes_, 0);
  exceeds_ = std::exchange(other.exceeds_, false);
  return *this;
}

// Answers that wait for each other's memory would all wait until their deadlines. So one of them
// may exceed the limit; it ends and frees its bytes.
bool held_bytes::guard::resize(std::size_t bytes) noexcept {
  if (in_ == nullptr)
    return true;
  if (bytes <= bytes_) {
    in_->counter(kind_) -= bytes_ - bytes;
  } else if (!in_->grow(kind_, bytes_, bytes)) {
    if (kind_ != held_message::answer || (!exceeds_ && in_->exceeded_.exchange(true)))
      return false;
    exceeds_ = true;
    in_->counter(kind_) += bytes - bytes_;
  }
  bytes_ = bytes;
  return true;
}

void held_bytes::guard::release() noexcept {
  if (in_ == nullptr)
    return;
  in_->counter(kind_) -= std::exchange(bytes_, 0);
  if (std::exchange(exceeds_, false))
    in_->exceeded_ = false;
}

std::size_t held_bytes::connections_excess() const noexcept {
  const std::size_t held = counter(held_message::connection);
  return held - std::min(held, limits_.connections);
}

// A small answer is never delayed: there are at most as many of them as open requests.
std::size_t held_bytes::limit(held_message kind, std::size_t bytes) const noexcept {
  const bool is_small = bytes <= small_message_bytes;
  if (kind == held_message::answer)
    return is_small ? memory_division::unbounded : limits_.answers;
  if (!limits_.bounded())
    return memory_division::unbounded;
  // Connections may take most of the part of the bodies; the rest keeps requests with bodies going.
  const std::size_t shared = limits_.bodies / shared_divisor * (shared_divisor - 1);
  if (kind == held_message::connection && limits_.connections == memory_division::unbounded)
    return memory_division::unbounded;
  if (kind == held_message::connection) {
    const std::size_t bodies = counter(held_message::body);
    return limits_.connections +
           std::min(shared, limits_.bodies - std::min(bodies, limits_.bodies));
  }
  return limits_.bodies - std::min(connections_excess(), shared) + (is_small ? limits_.reserve : 0);
}

bool held_bytes::grow(held_message kind, std::size_t from, std::size_t to) noexcept {
  std::atomic<std::size_t>& count = counter(kind);
  const std::size_t most = limit(kind, to);
  std::size_t seen = count;
  do {
    if (seen + (to - from) > most)
      return false;
  } while (!count.compare_exchange_weak(seen, seen + (to - from)));
  return true;
}

} // namespace sedgechute
