#pragma once

#include "claims/impl/claim.hpp"

#include <map>
#include <vector>

namespace sedgechute {

/// \brief The live hosts, and the time at which others went missing.
class host_list {
 public:
  void update(time_ms now, const std::vector<live_host>& hosts);

  [[nodiscard]] const std::vector<live_host>& all() const noexcept { return hosts_; }
  [[nodiscard]] const live_host* find(const incarnation& who) const;
  [[nodiscard]] bool is_live(const incarnation& who) const { return find(who) != nullptr; }
  /// \returns the data centre where a host was last seen, or null if it never was
  [[nodiscard]] const data_centre_id* last_data_centre(const host_id& host) const;
  /// \returns how long `who` has been missing, 0 if live; for one that was never live, the time
  /// since the first call
  [[nodiscard]] time_ms missing_for(time_ms now, const incarnation& who);

 private:
  std::vector<live_host> hosts_; ///< ordered by incarnation
  std::map<incarnation, time_ms> missing_;
  std::map<host_id, data_centre_id> data_centres_;
};

} // namespace sedgechute
