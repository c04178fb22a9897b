#pragma once

#include "relay/impl/fleet_config.hpp"
#include "relay/impl/message_head.hpp"
#include "relay/impl/prompt_parts.hpp"
#include "relay/impl/request_terms.hpp"
#include "relay/impl/wire_dialect.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sedgechute {

/// \brief The route, team, service and deadline of a request. `admit` fills it in step by step, so
/// that the log entry of a refused request shows which step refused it.
struct admitted_request {
  config_ptr config; ///< in force when the request arrived; owns `on_route` and `team`
  request_terms terms;
  const route* on_route{nullptr};
  const team_terms* team{nullptr}; ///< null where no key is needed
  std::string service;
  std::uint64_t content{0};            ///< see `content_of`
  std::vector<part_fingerprint> parts; ///< see `shared_parts`
  std::uint64_t event_tokens{1};       ///< maximum number of tokens in one event of the service
  time_ms deadline;
  bool returning{false}; ///< was refused before; set only where priorities differ

  [[nodiscard]] std::string_view team_name() const noexcept;
  [[nodiscard]] data_residency residency() const noexcept;
};

/// \brief Looks up the route, team and service of a request and sets its deadline.
/// \param received  when the first byte of the request was read
/// \throws error `not_ready`, `malformed_request`, `unknown_path`, `unauthenticated`, or
///   `no_capacity` where the route's service is not described
void admit(const request_head& head, time_ms received, const wire_dialect& dialect,
           config_ptr in_force, admitted_request& into);

/// \returns the service of `from` that handles the request, by weight; the same on every host
[[nodiscard]] std::string choose_service(const route& from, const std::string& request);

} // namespace sedgechute
