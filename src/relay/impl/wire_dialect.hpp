#pragma once

#include "relay/impl/message_head.hpp"
#include "relay/impl/request_terms.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sedgechute {

/// \brief Load of an endpoint, as it reported in a reply.
struct load_report {
  std::uint64_t running{};
  std::uint64_t waiting{};
  std::uint64_t slots{};
  /// Time that work takes on the endpoint's machine, in percent of the usual time; nothing:
  /// unknown.
  std::optional<double> work_time_percent{};
};

/// \brief Values from the header of an endpoint's reply.
struct reply_terms {
  bool not_run{false};   ///< the endpoint did not run the request and never will
  bool misdirected{};    ///< another endpoint has the address now
  bool leaving{false};   ///< the endpoint says that it leaves
  bool whole{false};     ///< has the field that marks an endpoint's answer
  std::string echoed_id; ///< id of the request that is answered; empty when absent
  std::optional<load_report> load;
  std::optional<std::string> malformed_load; ///< report with a figure that cannot be used
  /// Requests per second that the endpoint takes from all hosts together; nothing: it names none.
  std::optional<double> limit;
  std::optional<std::string> malformed_limit; ///< what it named instead of a usable limit
  /// Refusals per second, of all hosts together, under which a brittle endpoint stays up; nothing:
  /// it is not brittle.
  std::optional<double> refusals_borne;
  std::optional<std::string> malformed_refusals_borne;
  /// For how long the endpoint wants no requests from this host; nothing: it does not say so.
  std::optional<time_ms> pause;
  std::optional<std::string> malformed_pause;
};

/// \brief Values added to a request to an endpoint.
struct endpoint_send {
  std::string endpoint; ///< any other endpoint at the address refuses the request
  std::string team;     ///< empty for routes that need no key
  time_ms time_left;
  std::optional<std::uint64_t> resume_behind; ///< last event that the caller has received
  std::string
      fetch_from; ///< `IP:port` of an endpoint that has cached parts of the prompt; or empty
  std::optional<int> urgency; ///< 0 is the most urgent
};

/// \brief Port that maps requests and replies to the header fields of callers and endpoints. It
/// only translates.
class wire_dialect {
 public:
  wire_dialect() = default;
  wire_dialect(const wire_dialect&) = delete;
  wire_dialect& operator=(const wire_dialect&) = delete;
  virtual ~wire_dialect() = default;

  [[nodiscard]] virtual request_terms read_request(const header_fields& fields) const = 0;
  /// \brief Changes the fields of a caller's request to those of a request to an endpoint.
  virtual void to_endpoint(header_fields& fields, const endpoint_send& send) const = 0;
  [[nodiscard]] virtual reply_terms read_reply(const response_head& head) const = 0;
  /// \returns a request for an endpoint's status; it runs nothing
  [[nodiscard]] virtual request_head status_request(const std::string& endpoint) const = 0;
  /// \returns the start time in an endpoint's status, by its wall clock; nothing when it is absent
  [[nodiscard]] virtual std::optional<time_ms>
  parse_start_time(std::string_view status_body) const = 0;
  /// \returns the HTTP status of a refusal by this host
  [[nodiscard]] virtual int refusal_status(error_kind reason) const = 0;
  /// \brief Adds the fields of a refusal by this host.
  virtual void to_refusal(header_fields& fields, const std::string& attempt,
                          std::optional<time_ms> retry_after) const = 0;
};

} // namespace sedgechute
