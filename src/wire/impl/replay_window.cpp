#include "wire/impl/replay_window.hpp"

namespace sedgechute {

bool replay_window::admit(std::uint64_t number) noexcept {
  if (number > highest_) {
    if (number - highest_ >= width)
      seen_.reset();
    else
      for (std::uint64_t skipped = highest_ + 1; skipped < number; ++skipped)
        seen_.reset(skipped % width);
    highest_ = number;
    seen_.set(number % width);
    return true;
  }
  if (highest_ - number >= width || seen_.test(number % width))
    return false;
  seen_.set(number % width);
  return true;
}

} // namespace sedgechute
