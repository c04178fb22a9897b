#include "relay/impl/evacuation.hpp"

namespace sedgechute {

evacuated_centres apply_changes(const evacuated_centres& before,
                                const std::vector<evacuation_change>& changes, bool all) {
  evacuated_centres after = all ? evacuated_centres{} : before;
  for (const evacuation_change& change : changes) {
    if (change.evacuated)
      after.insert(change.data_centre);
    else
      after.erase(change.data_centre);
  }
  return after;
}

} // namespace sedgechute
