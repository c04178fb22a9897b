#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/message_head.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace sedgechute {

/// \brief What a host adds to a request that it forwards to another host.
struct forwarded_terms {
  std::uint64_t version{}; ///< of the configuration by which the request was accepted
  time_ms time_left;       ///< until its deadline
};

/// \returns the header of a request for another host
[[nodiscard]] std::string forwarded_request(const request_head& head, std::size_t body_bytes,
                                            const forwarded_terms& terms);

/// \brief Removes the terms from the header of a forwarded request.
/// \throws error `malformed_request` when they are missing or invalid
[[nodiscard]] forwarded_terms take_forwarded_terms(header_fields& fields);

} // namespace sedgechute
