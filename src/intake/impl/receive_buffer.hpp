#pragma once

#include <cstddef>

namespace sedgechute {

/// \brief Bytes that the kernel may hold of a connection and the process has not read.
struct receive_bounds {
  std::size_t usual_bytes{12 * 1024};
  std::size_t admitted_bytes{64 * 1024}; ///< while a body for which there is room arrives
  std::size_t reduced_bytes{6 * 1024};   ///< with more connections than `usual_connections`
  std::size_t usual_connections{1024};
};

/// \returns the receive buffer of one more connection
[[nodiscard]] std::size_t receive_buffer(const receive_bounds& bounds,
                                         std::size_t connections) noexcept;

} // namespace sedgechute
