#pragma once

#include "relay/impl/connection.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief Idle connections to endpoints. A connection is returned only after a complete exchange:
/// on an abandoned one the rest of the old answer would be taken for the next answer. When an
/// endpoint restarts its old connections are closed: bytes of a request sent on them would be lost,
/// and the request would have to be treated as one that may have run.
class connection_pool {
 public:
  explicit connection_pool(const clock& time) : time_{time} {}

  /// \param local_incarnation  current one of the endpoint; connections to earlier ones are closed
  /// \param max_idle  connections that were idle for longer are closed
  /// \returns an open idle connection without unread bytes, or null
  [[nodiscard]] std::unique_ptr<connection> take(const endpoint_id& endpoint,
                                                 std::uint64_t local_incarnation, time_ms max_idle);
  void give_back(const endpoint_id& endpoint, std::uint64_t local_incarnation,
                 std::unique_ptr<connection> idle);
  [[nodiscard]] std::size_t size() const;

 private:
  struct idle_connection {
    std::unique_ptr<connection> link;
    time_ms since;
  };

  struct endpoint_connections {
    std::uint64_t local_incarnation{};
    std::vector<idle_connection> idle;
  };

  /// \brief Removes expired connections of all endpoints.
  /// \returns the removed connections; destroying them closes them
  [[nodiscard]] std::vector<idle_connection> take_expired();

  const clock& time_;
  mutable ordered_mutex mutex_{lock_rank::endpoints};
  time_ms last_expiry_scan_;
  std::unordered_map<endpoint_id, endpoint_connections> known_;
};

} // namespace sedgechute
