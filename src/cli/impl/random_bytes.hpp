#pragma once

#include <cstdint>
#include <vector>

namespace sedgechute::cli {

/// \returns bytes from the operating system's secure source
[[nodiscard]] std::vector<std::uint8_t> random_bytes(std::size_t count);

} // namespace sedgechute::cli
