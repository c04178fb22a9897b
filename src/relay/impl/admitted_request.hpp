#pragma once

#include "relay/impl/fleet_config.hpp"
#include "relay/impl/message_head.hpp"
#include "relay/impl/request_terms.hpp"
#include "relay/impl/wire_dialect.hpp"

#include <string>
#include <string_view>

namespace sedgechute {

/// \brief What a request was admitted as. Filled in step by step, so that the record of a refused
/// request tells how far it came.
struct admitted_request {
  config_ptr config; ///< in force when it came; owns `on_route` and `team`
  request_terms terms;
  const route* on_route{nullptr};
  const team_terms* team{nullptr}; ///< null where no key is needed
  std::string service;
  std::uint64_t event_tokens{1}; ///< most tokens that one event of the service may hold
  time_ms deadline;

  [[nodiscard]] std::string_view team_name() const noexcept;
};

/// \brief Finds what the configuration says about a request.
/// \param received  when its first byte was read
/// \throws error `not_ready`, `malformed_request`, `unknown_path`, `unauthenticated`, or
///   `no_capacity` where the route's service is not described
void admit(const request_head& head, time_ms received, const wire_dialect& dialect,
           config_ptr in_force, admitted_request& into);

/// \returns the service of a route that a request goes to: each host chooses the same
[[nodiscard]] std::string choose_service(const route& from, const std::string& request);

} // namespace sedgechute
