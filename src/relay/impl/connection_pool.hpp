#pragma once

#include "relay/impl/connection.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief Idle connections to endpoints. A connection comes back only after a whole, undisturbed
/// exchange: on one that was abandoned, the rest of the old answer would pass for the next one's.
/// Connections end with the life of their endpoint: a process that is gone without a word takes a
/// request's bytes into nothing, and the request may then have run as far as can be told.
class connection_pool {
 public:
  explicit connection_pool(const clock& time) : time_{time} {}

  /// \param life  of the endpoint; connections to earlier ones are closed
  /// \param most_idle  a connection that was idle for longer is not taken
  /// \returns an idle connection on which nothing has come meanwhile, or null
  [[nodiscard]] std::unique_ptr<connection> take(const endpoint_id& endpoint, std::uint64_t life,
                                                 time_ms most_idle);
  void give_back(const endpoint_id& endpoint, std::uint64_t life, std::unique_ptr<connection> idle);
  [[nodiscard]] std::size_t size() const;

 private:
  struct idle_connection {
    std::unique_ptr<connection> link;
    time_ms since;
  };

  struct endpoint_connections {
    std::uint64_t life{};
    std::vector<idle_connection> idle;
  };

  /// \brief Takes out what no request will use again, of all endpoints, to be closed.
  [[nodiscard]] std::vector<idle_connection> take_old();

  const clock& time_;
  mutable ordered_mutex mutex_{lock_rank::endpoints};
  time_ms looked_for_old_;
  std::unordered_map<endpoint_id, endpoint_connections> known_;
};

} // namespace sedgechute
