#pragma once

#include "admission/admission.hpp"
#include "relay/impl/connection.hpp"
#include "relay/impl/forwarded_request.hpp"
#include "relay/impl/message_head.hpp"
#include "relay/impl/preparing_requests.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace sedgechute {

/// \brief What has been done about the host's load before a request was read.
struct load_check {
  bool screened{false}; ///< the load allows the request
  bool counted{false};  ///< it counts as one of its team's requests
};

/// \brief A complete request from a caller or from another host.
struct incoming_request {
  request_head head;
  std::string body;
  time_ms received; ///< when the first byte was read
  connection& caller;
  std::size_t on_connection{1}; ///< number on its connection, from 1
  time_ms idle{};               ///< time that the connection was idle before it
  load_check checked{};
  preparing_requests::guard preparing{};      ///< counts it until the first send
  std::optional<forwarded_terms> forwarded{}; ///< set when another host forwarded it
  held_bytes::guard held{};                   ///< counts the bytes of the body
};

} // namespace sedgechute
