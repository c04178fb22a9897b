#include "kernel/impl/random.hpp"

#include <random>

namespace sedgechute {

random_source random_source::from_system() {
  std::random_device device;
  const std::uint64_t high = device();
  return random_source{(high << 32U) | device()};
}

random_source::result_type random_source::operator()() noexcept {
  state_ += 0x9e3779b97f4a7c15ULL;
  std::uint64_t z = state_;
  z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31U);
}

std::uint64_t random_source::below(std::uint64_t bound) noexcept {
  return bound == 0 ? 0 : (*this)() % bound;
}

double random_source::unit() noexcept {
  constexpr double two_to_53 = 9007199254740992.0;
  return static_cast<double>((*this)() >> 11U) / two_to_53;
}

} // namespace sedgechute
