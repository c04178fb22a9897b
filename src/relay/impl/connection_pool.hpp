#pragma once

#include "relay/impl/connection.hpp"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief Idle connections to endpoints. A connection comes back only after a whole, undisturbed
/// exchange: on one that was abandoned, the rest of the old answer would pass for the next one's.
class connection_pool {
 public:
  explicit connection_pool(const clock& time) : time_{time} {}

  /// \param most_idle  a connection that was idle for longer is not taken
  /// \returns an idle connection on which nothing has come meanwhile, or null
  [[nodiscard]] std::unique_ptr<connection> take(const endpoint_id& endpoint, time_ms most_idle);
  void give_back(const endpoint_id& endpoint, std::unique_ptr<connection> idle);
  void forget(const endpoint_id& endpoint);

 private:
  struct idle_connection {
    std::unique_ptr<connection> link;
    time_ms since;
  };

  const clock& time_;
  ordered_mutex mutex_{lock_rank::endpoints};
  std::unordered_map<endpoint_id, std::vector<idle_connection>> idle_;
};

} // namespace sedgechute
