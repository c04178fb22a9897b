#pragma once

#include "relay/impl/connection.hpp"
#include "relay/impl/message_head.hpp"
#include "relay/impl/preparing_requests.hpp"

#include <cstddef>
#include <string>

namespace sedgechute {

/// \brief A request as it came from its caller, whole.
struct incoming_request {
  request_head head;
  std::string body;
  time_ms received; ///< when its first byte was read
  connection& caller;
  std::size_t on_connection{1};         ///< 1 for the first request of its connection
  time_ms idle{};                       ///< how long the connection had waited for it
  bool screened{false};                 ///< the host's pressure has been considered
  preparing_requests::mark preparing{}; ///< ends with the first send
};

} // namespace sedgechute
