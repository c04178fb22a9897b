#include "admission/impl/returning_request.hpp"

namespace sedgechute {

bool is_returning(std::optional<time_ms> patience, std::optional<time_ms> usual) noexcept {
  return patience && usual && *usual - *patience >= shortest_retry_after;
}

} // namespace sedgechute
