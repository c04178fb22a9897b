#pragma once

#include "relay/impl/part_quarantine.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sedgechute {

/// \brief Encodes evidence on parts of prompts for datagrams between hosts.
/// \param max_datagrams  what does not fit into this many is left out
/// \returns messages that each fit into an Ethernet frame
[[nodiscard]] std::vector<std::string> encode_part_news(const part_news& news,
                                                        std::size_t max_datagrams);
/// \returns nothing when the bytes are not a valid message
[[nodiscard]] std::optional<part_news> decode_part_news(std::string_view bytes);

} // namespace sedgechute
