#pragma once

#include "kernel/kernel.hpp"

#include <Poco/Net/HTTPServerResponse.h>

#include <optional>
#include <string>

namespace sedgechute {

/// \brief A refusal as the caller sees it.
struct refusal {
  error_kind kind{};
  std::string message;
  request_id id;
  std::optional<time_ms> retry_after;   ///< when absent, the error table's span
  std::optional<run_outcome> outcome{}; ///< when absent, the error table's
};

/// \returns the refusal as the JSON body of an answer or the data of an error event.
[[nodiscard]] std::string to_json(const refusal& refused);

/// \brief Sends the refusal as the whole answer and closes the connection if its kind says that
/// the rest of the request cannot be trusted.
void send_refusal(Poco::Net::HTTPServerResponse& response, const refusal& refused);

/// \returns `text` as a quoted JSON string.
[[nodiscard]] std::string json_quote(std::string_view text);

} // namespace sedgechute
