#pragma once

#include "relay/impl/request_terms.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace sedgechute {

/// \brief Hash of one part of a prompt for one service, equal on all hosts.
using part_fingerprint = std::uint64_t;

/// \returns the parts that requests may share: all but the last, each once. The text forms of an id
/// (letter case, leading zeros) have the same hash.
[[nodiscard]] std::vector<part_fingerprint> shared_parts(const generation_terms& generation,
                                                         std::string_view service);

} // namespace sedgechute
