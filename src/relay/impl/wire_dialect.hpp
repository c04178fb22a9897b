#pragma once

#include "relay/impl/message_head.hpp"
#include "relay/impl/request_terms.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sedgechute {

/// \brief What an endpoint said of its load.
struct load_report {
  std::uint64_t running{};
  std::uint64_t waiting{};
  std::uint64_t slots{};
};

/// \brief What a header of an endpoint says beside status and body.
struct reply_terms {
  bool not_run{false};   ///< it did not run the request and never will
  bool misdirected{};    ///< another endpoint has the address now
  bool whole{false};     ///< bears the mark of an endpoint's answer
  std::string echoed_id; ///< of the request that it answers; empty when absent
  std::optional<load_report> load;
};

/// \brief What is added to a request on its way to an endpoint.
struct endpoint_send {
  std::string endpoint; ///< any other endpoint at the address refuses the request
  std::string team;     ///< empty for routes that need no key
  time_ms time_left;
  std::optional<std::uint64_t> resume_behind; ///< last event that the caller has
  std::string fetch_from; ///< `IP:port` of an endpoint that has read parts of the prompt; or empty
  std::optional<int> urgency; ///< 0 comes first
};

/// \brief The names of the fields that callers and endpoints use. Translates; decides nothing.
class wire_dialect {
 public:
  wire_dialect() = default;
  wire_dialect(const wire_dialect&) = delete;
  wire_dialect& operator=(const wire_dialect&) = delete;
  virtual ~wire_dialect() = default;

  [[nodiscard]] virtual request_terms read_request(const header_fields& fields) const = 0;
  /// \brief Turns a caller's fields into those of a request to an endpoint.
  virtual void to_endpoint(header_fields& fields, const endpoint_send& send) const = 0;
  [[nodiscard]] virtual reply_terms read_reply(const response_head& head) const = 0;
  /// \returns a request to an endpoint for what it says of itself; it runs nothing
  [[nodiscard]] virtual request_head self_question(const std::string& endpoint) const = 0;
  /// \returns when the endpoint started, by its machine's time of day; nothing when it does not say
  [[nodiscard]] virtual std::optional<time_ms> read_start(std::string_view self_answer) const = 0;
  /// \brief Adds what a refusal of our own says beside its status.
  virtual void to_refusal(header_fields& fields, const std::string& attempt,
                          std::optional<time_ms> retry_after) const = 0;
};

} // namespace sedgechute
