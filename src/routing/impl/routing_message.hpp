#pragma once

#include "routing/impl/quarantine.hpp"
#include "routing/impl/share_plan.hpp"
#include "routing/impl/use_report.hpp"

#include <optional>

namespace sedgechute {

/// \brief Message between hosts: demand about once a second, use of endpoints more often,
/// quarantine news at once. Any part may be empty; messages may be lost, duplicated or reordered.
struct routing_message {
  std::vector<share_report> shares;
  quarantine_news news;
  std::optional<use_report> use;
};

} // namespace sedgechute
