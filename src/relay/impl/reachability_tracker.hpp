#pragma once

#include "kernel/kernel.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace sedgechute {

struct reachability_options {
  /// Backoff before the first probe of an unreachable endpoint; doubles up to `max_probe_backoff`.
  time_ms initial_probe_backoff{250};
  time_ms max_probe_backoff{2000};
  /// Number of consecutive silent endpoints of a data centre after which the whole data centre
  /// counts as unreachable. A crashed engine refuses connections instead of being silent, so two
  /// silent ones at once are rare.
  int silent_endpoints{3};
  /// Maximum number of endpoints per round of probes; an unreachable data centre has a hundred.
  std::size_t max_probes{3};
};

/// \brief Tracks which endpoints and data centres can be reached from this host. Without it each
/// request would wait for a connect timeout at an unreachable endpoint; with it, requests go
/// elsewhere or are refused at once, and only probes try to connect. Not thread-safe.
class reachability_tracker {
 public:
  explicit reachability_tracker(const reachability_options& options) : options_{options} {}

  /// \param silent  there was no reply at all, not even a refused connection
  void note_unreachable(const endpoint_id& endpoint, const data_centre_id& centre, bool silent,
                        time_ms now);
  void note_reachable(const endpoint_id& endpoint, const data_centre_id& centre);
  /// \brief Drops the state of an endpoint that was removed or has restarted.
  void forget(const endpoint_id& endpoint);

  [[nodiscard]] bool reachable(const endpoint_id& endpoint, const data_centre_id& centre) const;
  /// \returns whether the endpoint itself is unreachable, whatever is known of its data centre
  [[nodiscard]] bool is_unreachable(const endpoint_id& endpoint) const {
    return unreachable_.contains(endpoint);
  }
  /// \returns endpoints to be probed now, and schedules their next probes
  [[nodiscard]] std::vector<endpoint_id> due(time_ms now);

 private:
  struct unreachable_endpoint {
    data_centre_id centre;
    time_ms next_probe;
    time_ms wait;
    bool silent{false}; ///< counted in `consecutive_silent_`
  };

  reachability_options options_;
  std::unordered_map<endpoint_id, unreachable_endpoint> unreachable_;
  std::unordered_map<std::string, int> consecutive_silent_; ///< by data centre
};

} // namespace sedgechute
