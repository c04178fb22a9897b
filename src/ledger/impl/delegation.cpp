#include "ledger/impl/delegation.hpp"

#include <algorithm>

namespace sedgechute::ledger {

bool delegation::has_moved(std::uint32_t sequence) const noexcept {
  if (sequence <= moved_upto)
    return true;
  return std::binary_search(moved_after.begin(), moved_after.end(), sequence);
}

void delegation::note_moved(std::uint32_t sequence) {
  moved_after.insert(std::upper_bound(moved_after.begin(), moved_after.end(), sequence), sequence);
  auto next = moved_after.begin();
  for (; next != moved_after.end() && *next == moved_upto + 1; ++next)
    ++moved_upto;
  moved_after.erase(moved_after.begin(), next);
}

} // namespace sedgechute::ledger
