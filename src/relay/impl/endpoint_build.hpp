#pragma once

#include <cstdint>
#include <string_view>

namespace sedgechute {

/// \brief Identifies a service and the version of the software of some of its endpoints; the same
/// on all hosts. Builds have no order, and events of two builds do not belong in one stream.
using build_hash = std::uint64_t;

[[nodiscard]] build_hash build_of(std::string_view service, std::string_view version) noexcept;

} // namespace sedgechute
