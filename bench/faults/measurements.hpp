#pragma once

#include <cstdint>

namespace sedgechute::ledger {

/// \brief Measures costs and policies; prints a line per value, then all values as one JSON line.
/// \returns the program's exit code
int print_measurements(std::uint64_t seed);

} // namespace sedgechute::ledger
