#include "relay/impl/endpoint_build.hpp"

#include "kernel/kernel.hpp"

namespace sedgechute {

build_hash build_of(std::string_view service, std::string_view version) noexcept {
  return mix_hash(stable_hash(service), stable_hash(version));
}

} // namespace sedgechute
