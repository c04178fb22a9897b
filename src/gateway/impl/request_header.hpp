#pragma once

#include "kernel/kernel.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sedgechute {

/// \brief Bounds on a request's header.
struct header_limits {
  std::size_t fields{64};
  std::size_t line_bytes{8192}; ///< of the request line and of each field
};

/// \brief How the end of a body is told.
enum class body_framing { none, stated, chunked, until_close };

template <>
struct enum_names<body_framing> {
  static constexpr auto entries =
      enum_table<body_framing>({{body_framing::none, "none"},
                                {body_framing::stated, "stated"},
                                {body_framing::chunked, "chunked"},
                                {body_framing::until_close, "until_close"}});
};

struct message_framing {
  body_framing body{body_framing::none};
  std::uint64_t bytes{}; ///< of a stated body
};

/// \brief Checks a request header as it came, up to and with its empty line: each line ends in
/// CRLF, no line is folded, names are tokens, values hold no control characters, and the body's
/// end and the fields that decide about the request are stated once.
/// \throws error `malformed_request` or `payload_too_large`
[[nodiscard]] message_framing check_request_header(std::string_view header,
                                                   const header_limits& limits);

} // namespace sedgechute
