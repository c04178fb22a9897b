#pragma once

#include "kernel/kernel.hpp"

#include <absl/strings/str_format.h>

namespace sedgechute::slopes {

/// \brief The fleet that the letter of the users names.
inline constexpr std::size_t data_centres = 5;
inline constexpr std::size_t models = 13;

[[nodiscard]] inline team_id team_name(std::size_t i) {
  return team_id{absl::StrFormat("team-%06u", i)};
}
[[nodiscard]] inline data_centre_id data_centre_name(std::size_t i) {
  return data_centre_id{absl::StrFormat("dc-%u", i % data_centres)};
}
/// \returns hosts in turn of each data centre
[[nodiscard]] inline incarnation host_name(std::size_t i) {
  return {host_id{absl::StrFormat("entry-%u-%03u", i % data_centres, i / data_centres)},
          mix_hash(i, 77)};
}
[[nodiscard]] inline endpoint_id endpoint_name(std::size_t i) {
  return endpoint_id{absl::StrFormat("engine-%u-%04u", i % data_centres, i)};
}
[[nodiscard]] inline pool_id pool_name(std::size_t i) {
  return pool_id{absl::StrFormat("pool-%02u", i)};
}

} // namespace sedgechute::slopes
