#pragma once

#include "routing/impl/quarantine.hpp"
#include "routing/impl/share_plan.hpp"

namespace sedgechute {

/// \brief What a host tells another about routing: demand about once a second, news of quarantines
/// at once. Either part may be empty; both may be lost, repeated or reordered.
struct routing_message {
  std::vector<share_report> shares;
  quarantine_news news;
};

} // namespace sedgechute
