#pragma once

#include "relay/impl/message_head.hpp"

#include <cstddef>
#include <string_view>

namespace sedgechute {

constexpr std::size_t max_header_fields = 200;

/// \brief State of a request in a connection's buffer.
enum class preview_state {
  arriving, ///< more bytes are needed
  whole,
  large, ///< the header has arrived, and part of a body that is too large to be waited for
  other, ///< malformed, too large, with a chunked body, or with an `Expect` field
};

/// \brief The first request in a connection's buffer.
struct request_preview {
  preview_state state{preview_state::arriving};
  request_head head;        ///< only when the request is whole or large
  std::size_t bytes{};      ///< size of header and body; only when the request is whole or large
  std::size_t body_bytes{}; ///< stated size of the body; 0 until the header is whole
};

/// \brief Examines the first request in `bytes` without consuming it.
/// \param max_header  maximum size of the header in bytes
/// \param max_body    maximum size of the body in bytes
/// \param max_waited  size of a body up to which the rest of it is to be waited for
[[nodiscard]] request_preview preview_request(std::string_view bytes, std::size_t max_header,
                                              std::size_t max_body, std::size_t max_waited);

} // namespace sedgechute
