#pragma once

#include "routing/impl/quarantine.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sedgechute {

/// \brief Encodes news for datagrams between hosts. Verdicts come first.
/// \param max_datagrams  what does not fit into this many is left out
/// \returns messages that each fit into an Ethernet frame
[[nodiscard]] std::vector<std::string> encode_quarantine_news(const quarantine_news& news,
                                                              std::size_t max_datagrams);
/// \returns nothing when the bytes are not a valid message
[[nodiscard]] std::optional<quarantine_news> decode_quarantine_news(std::string_view bytes);

} // namespace sedgechute
