#pragma once

#include "relay/impl/message_head.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace sedgechute {

/// \returns a hash of what a request asks for, equal for all attempts of its caller and on all
/// hosts \param team  name of the caller's team; empty where no key is needed
[[nodiscard]] std::uint64_t content_of(const request_head& head, std::string_view body,
                                       std::string_view team) noexcept;

/// \returns the hash as text, for logs and keys: always 16 digits
[[nodiscard]] std::string content_text(std::uint64_t content);

} // namespace sedgechute
