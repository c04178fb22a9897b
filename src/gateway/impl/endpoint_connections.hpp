#pragma once

#include "gateway/impl/endpoint_session.hpp"
#include "kernel/kernel.hpp"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief Time bounds of a connection to an endpoint.
struct connection_timeouts {
  time_ms connect{1000};
  time_ms send{5000};
  time_ms silence{5000}; ///< longest wait for any byte, heartbeat comments included
};

/// \brief Idle keep-alive connections to endpoints, by address. Thread-safe.
///
/// A connection is handed out to one user at a time and comes back only after a whole, undisturbed
/// exchange: on one that was abandoned half-way, the rest of the old answer would be read as the
/// start of the next one's.
class endpoint_connections {
 public:
  using session_ptr = std::unique_ptr<endpoint_session>;

  explicit endpoint_connections(connection_timeouts timeouts) : timeouts_{timeouts} {}

  /// \param address  `IP:port`
  /// \param reuse    false asks for a new connection
  /// \returns a session and whether it has been used before
  [[nodiscard]] std::pair<session_ptr, bool> take(const std::string& address, bool reuse);

  /// \brief Connects a session that `take` returned, if it is not connected yet.
  /// \param silence  longest wait for any byte
  /// \returns false when the endpoint cannot be reached: nothing was sent to it
  [[nodiscard]] bool connect(endpoint_session& session, const std::string& address,
                             time_ms silence) const;

  [[nodiscard]] const connection_timeouts& timeouts() const noexcept { return timeouts_; }

  /// \brief Keeps a connection for the next user.
  void give_back(const std::string& address, session_ptr session);

  /// \brief Closes the idle connections of an endpoint that failed or left.
  void forget(const std::string& address);

 private:
  [[nodiscard]] session_ptr open(const std::string& address) const;
  [[nodiscard]] session_ptr take_idle(const std::string& address);
  [[nodiscard]] static bool is_quiet(endpoint_session& session);

  connection_timeouts timeouts_;
  ordered_mutex mutex_{lock_rank::endpoints};
  std::unordered_map<std::string, std::vector<session_ptr>> idle_;
};

} // namespace sedgechute
