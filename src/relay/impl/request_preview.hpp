#pragma once

#include "relay/impl/message_head.hpp"

#include <cstddef>
#include <string_view>

namespace sedgechute {

constexpr std::size_t most_header_fields = 200;

/// \brief How far a request can be told from the bytes that have come.
enum class preview_state {
  arriving, ///< more bytes are needed
  whole,
  other, ///< malformed, too large, or its body's end is told in another way than by a length
};

/// \brief A request as it lies in a connection's buffer; nothing is consumed.
struct request_preview {
  preview_state state{preview_state::arriving};
  request_head head;   ///< of a whole one
  std::size_t bytes{}; ///< header and body of a whole one
};

/// \param most_header  bytes
/// \param most_body    bytes
[[nodiscard]] request_preview preview_request(std::string_view bytes, std::size_t most_header,
                                              std::size_t most_body);

} // namespace sedgechute
