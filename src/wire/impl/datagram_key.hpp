#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sedgechute {

/// \brief A secret that all hosts of the fleet share, as raw bytes.
using datagram_key = std::string;

/// \brief Reads keys in hexadecimal, one a line; empty lines and lines with `#` first are skipped.
/// The first key seals, all of them open.
/// \param file  for the message of an error
/// \throws error `invalid_settings` that names the line, never its content
[[nodiscard]] std::vector<datagram_key> parse_datagram_keys(const std::string& file,
                                                            std::string_view text);

/// \throws error `invalid_settings` also when the file cannot be read
[[nodiscard]] std::vector<datagram_key> read_datagram_keys(const std::string& file);

} // namespace sedgechute
