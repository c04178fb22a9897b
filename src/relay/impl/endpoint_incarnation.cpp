#include "relay/impl/endpoint_incarnation.hpp"

namespace sedgechute {

endpoint_hash incarnation_of(const endpoint_id& id, std::optional<time_ms> started) noexcept {
  const endpoint_hash name = stable_hash(id.str());
  return started ? mix_hash(name, static_cast<std::uint64_t>(started->count())) : name;
}

} // namespace sedgechute
