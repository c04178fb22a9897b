#include "intake/impl/receive_buffer.hpp"

#include <algorithm>

namespace sedgechute {

std::size_t receive_buffer(const receive_bounds& bounds, std::size_t connections) noexcept {
  return connections < bounds.usual_connections
             ? bounds.usual_bytes
             : std::min(bounds.usual_bytes, bounds.reduced_bytes);
}

} // namespace sedgechute
