#pragma once

#include "kernel/kernel.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace sedgechute {

struct reach_options {
  /// First wait before an unreachable endpoint is probed; doubles up to the second.
  time_ms first_probe{250};
  time_ms longest_probe{2000};
  /// So many endpoints of a data centre in a row that answer nothing tell that the way there is
  /// cut. A crashed engine refuses connections, so two that fall silent at once are rare.
  int silent_endpoints{3};
  /// Endpoints probed in one round; a cut data centre has a hundred.
  std::size_t most_probes{3};
};

/// \brief Which endpoints and data centres can be reached from this host. Guards against requests
/// that each wait out a connect timeout at an endpoint that is cut off: once that is known they go
/// elsewhere, or are refused at once, and only probes try. Pure; not thread-safe.
class reach_watch {
 public:
  explicit reach_watch(const reach_options& options) : options_{options} {}

  /// \param silent  no answer came at all, not even a refused connection
  void note_unreachable(const endpoint_id& endpoint, const data_centre_id& centre, bool silent,
                        time_ms now);
  void note_reachable(const endpoint_id& endpoint, const data_centre_id& centre);
  /// \brief The endpoint is gone, or has started again: what it did before tells nothing.
  void forget(const endpoint_id& endpoint);

  [[nodiscard]] bool reachable(const endpoint_id& endpoint, const data_centre_id& centre) const;
  /// \returns endpoints to be probed now; each is due again only after a while
  [[nodiscard]] std::vector<endpoint_id> due(time_ms now);

 private:
  struct trouble {
    data_centre_id centre;
    time_ms next_probe;
    time_ms wait;
    bool silent{false}; ///< counted among the silent of its data centre
  };

  reach_options options_;
  std::unordered_map<endpoint_id, trouble> troubles_;
  std::unordered_map<std::string, int> silent_in_a_row_; ///< by data centre
};

} // namespace sedgechute
