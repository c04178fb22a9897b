#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sedgechute {

/// \brief Regions in which requests may be handled; an empty list allows every region.
using region_list = std::vector<std::string>;

/// \brief The region of each data centre, by its name.
using region_map = std::map<std::string, std::string, std::less<>>;

/// \brief The regions of a request by its route and by its team. Both bind; null allows all.
struct data_residency {
  const region_list* of_route{nullptr};
  const region_list* of_team{nullptr};
};

[[nodiscard]] inline bool allows(const region_list* regions, std::string_view region) noexcept {
  return regions == nullptr || regions->empty() ||
         std::find(regions->begin(), regions->end(), region) != regions->end();
}

/// \param region  empty when it is unknown; then only a request without a restriction may go there
[[nodiscard]] inline bool allows(const data_residency& residency,
                                 std::string_view region) noexcept {
  return allows(residency.of_route, region) && allows(residency.of_team, region);
}

} // namespace sedgechute
