#pragma once

#include "config/config.hpp"
#include "daemon/impl/host_status.hpp"
#include "daemon/impl/log_replayer.hpp"
#include "daemon/impl/membership_service.hpp"
#include "daemon/impl/order_service.hpp"
#include "gateway/gateway.hpp"
#include "telemetry/telemetry.hpp"

#include <Poco/JSON/Object.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief What operators' calls work with. The host owns the parts and outlives it.
struct admin_context {
  const host_settings& settings;
  const incarnation& self;
  const clock& time;
  document_service& documents;
  budget_service& budgets;
  claim_service& claims;
  dispatch_service& dispatch;
  order_service& orders;
  record_appender& log;
  log_replayer& replayer;
  host_status& status;
  decision_events& events;
  burn_tracker& burn;
  metrics& figures;
  peer_links& peers;
  std::function<membership_view()> members;
  std::function<std::vector<host_list_entry>()> listed_hosts; ///< as the platform names them
  std::function<void()> start_drain;
};

/// \brief One operator's call, authenticated.
struct admin_call {
  caller_exchange& exchange;
  std::string method;
  std::vector<std::string> path; ///< decoded segments behind `/admin/v1`
  std::map<std::string, std::string> query;
  std::string operator_name;
};

/// \brief A plug-in that serves a part of the operators' API. Its name in the registry is the first
/// path segment behind `/admin/v1`.
class admin_api {
 public:
  admin_api() = default;
  admin_api(const admin_api&) = delete;
  admin_api& operator=(const admin_api&) = delete;
  virtual ~admin_api() = default;

  /// \throws error for a refusal
  virtual void handle(const admin_call& call, admin_context& host) const = 0;
};

/// \brief Sends a JSON answer.
void send_json(const admin_call& call, int status, const Poco::JSON::Object& body);

/// \brief Sends JSON text as an answer.
void send_text(const admin_call& call, int status, const std::string& json);

/// \returns the body as it came.
[[nodiscard]] std::string read_text(const admin_call& call, const clock& time);

/// \throws error `malformed_json` when the body is not a JSON object
[[nodiscard]] Poco::JSON::Object::Ptr read_json(const admin_call& call, const clock& time);

/// \throws error `unknown_path` when there are fewer segments
[[nodiscard]] const std::string& segment(const admin_call& call, std::size_t index);

/// \returns a number from the query, or `fallback` when it is missing or none.
[[nodiscard]] std::uint64_t query_number(const admin_call& call, const std::string& name,
                                         std::uint64_t fallback);

} // namespace sedgechute
