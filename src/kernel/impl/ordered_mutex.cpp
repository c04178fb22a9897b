#include "kernel/impl/ordered_mutex.hpp"

#include <algorithm>
#include <stdexcept>
#include <string>
#include <vector>

namespace sedgechute {

namespace {

#ifdef SEDGECHUTE_CHECK_LOCKS

std::vector<lock_rank>& held() {
  thread_local std::vector<lock_rank> ranks;
  return ranks;
}

void check_order(lock_rank wanted) {
  for (const lock_rank rank : held()) {
    if (rank >= wanted)
      throw std::logic_error{"lock order: " + std::string{name_of(wanted)} +
                             " taken while holding " + std::string{name_of(rank)}};
  }
}

void note_taken(lock_rank rank) {
  held().push_back(rank);
}

void note_released(lock_rank rank) noexcept {
  auto& ranks = held();
  const auto last = std::find(ranks.rbegin(), ranks.rend(), rank);
  if (last != ranks.rend())
    ranks.erase(std::next(last).base());
}

#else

void check_order(lock_rank) {}
void note_taken(lock_rank) {}
void note_released(lock_rank) noexcept {}

#endif

} // namespace

void ordered_mutex::lock() {
  check_order(rank_);
  mutex_.lock();
  note_taken(rank_);
}

bool ordered_mutex::try_lock() {
  check_order(rank_);
  const bool taken = mutex_.try_lock();
  if (taken)
    note_taken(rank_);
  return taken;
}

void ordered_mutex::unlock() noexcept {
  note_released(rank_);
  mutex_.unlock();
}

} // namespace sedgechute
