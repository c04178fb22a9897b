#pragma once

#include "gateway/impl/caller_api.hpp"
#include "kernel/kernel.hpp"

#include <optional>
#include <string>

namespace sedgechute {

/// \brief What a caller says about its request in headers.
struct caller_headers {
  std::string bearer;
  std::string key;                ///< `Idempotency-Key`
  std::string class_name;         ///< `X-Sedgechute-Class`
  std::optional<bool> idempotent; ///< `X-Sedgechute-Idempotent: true|false`
};

/// \throws error `unauthenticated` without a bearer key, `invalid_parameter` for a bad value
[[nodiscard]] caller_headers read_caller_headers(const caller_exchange& exchange);

/// \brief Reads a whole body.
/// \throws error `payload_too_large`, `slow_caller` when it is not whole within `most_time`, or
/// `malformed_request` when it ends early
[[nodiscard]] std::string read_body(caller_exchange& exchange, std::size_t most_bytes,
                                    time_ms most_time, const clock& time);

/// \brief Tells a caller that asked first (`Expect: 100-continue`) to send its body.
void invite_body(caller_exchange& exchange);

/// \brief A path that takes GET takes HEAD, too.
/// \throws error `method_not_allowed`
void require_method(const caller_exchange& exchange, const std::string& method);

} // namespace sedgechute
