#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace sedgechute {

/// \brief An instant or a span in whole milliseconds.
///
/// Instants count from an origin that only their clock knows, so instants of two hosts must never
/// be compared; spans may be sent anywhere.
class time_ms {
 public:
  constexpr time_ms() noexcept = default;
  constexpr explicit time_ms(std::int64_t count) noexcept : count_{count} {}

  [[nodiscard]] constexpr std::int64_t count() const noexcept { return count_; }

  constexpr auto operator<=>(const time_ms&) const noexcept = default;

  constexpr time_ms& operator+=(time_ms other) noexcept {
    count_ += other.count_;
    return *this;
  }
  constexpr time_ms& operator-=(time_ms other) noexcept {
    count_ -= other.count_;
    return *this;
  }
  [[nodiscard]] friend constexpr time_ms operator+(time_ms a, time_ms b) noexcept { return a += b; }
  [[nodiscard]] friend constexpr time_ms operator-(time_ms a, time_ms b) noexcept { return a -= b; }
  [[nodiscard]] friend constexpr time_ms operator*(time_ms a, std::int64_t factor) noexcept {
    return time_ms{a.count_ * factor};
  }
  friend std::ostream& operator<<(std::ostream& out, time_ms t) { return out << t.count_ << "ms"; }

 private:
  std::int64_t count_{};
};

namespace literals {

[[nodiscard]] constexpr time_ms operator""_ms(unsigned long long count) noexcept {
  return time_ms{static_cast<std::int64_t>(count)};
}
[[nodiscard]] constexpr time_ms operator""_s(unsigned long long count) noexcept {
  return time_ms{static_cast<std::int64_t>(count) * 1000};
}

} // namespace literals
} // namespace sedgechute
