#pragma once

#include "routing/impl/quarantine.hpp"
#include "routing/impl/share_plan.hpp"
#include "routing/impl/use_report.hpp"

#include <optional>

namespace sedgechute {

/// \brief What a host tells another about routing: demand about once a second, its use of endpoints
/// more often, news of quarantines at once. Any part may be empty; all may be lost, repeated or
/// reordered.
struct routing_message {
  std::vector<share_report> shares;
  quarantine_news news;
  std::optional<use_report> use;
};

} // namespace sedgechute
