#pragma once

#include "kernel/kernel.hpp"

#include <cstddef>

namespace sedgechute {

/// \brief Periods and limits of the failure detector. With the defaults a crash is detected in
/// about two seconds, and the cost per host is the same at 9 and at 350 hosts.
struct membership_options {
  time_ms probe_period{500};       ///< one member is probed per period
  time_ms direct_timeout{150};     ///< after this, other members are asked to probe it
  std::size_t indirect_probes{4};  ///< number of members asked
  time_ms suspicion_timeout{1250}; ///< time to refute before a suspect counts as dead
  time_ms gossip_interval{250};    ///< between extra messages while updates are queued
  std::size_t gossip_fanout{2};    ///< number of receivers of extra messages
  time_ms lost_probe_period{1000}; ///< one listed host that is unknown or dead is probed per period
  time_ms sync_period{60000};      ///< between full exchanges with a random member
  time_ms tombstone_time{600000};  ///< how long a dead incarnation is kept
  time_ms joining_window{10000}; ///< how long after start a process declares its predecessors dead
  time_ms pause_limit{400};      ///< a longer gap between ticks counts as a pause of this process
};

/// \brief Maximum number of updates in a probe, an answer or an extra gossip message.
inline constexpr std::size_t max_gossip_updates = 10;
/// \brief Maximum number of updates in one message of a full exchange.
inline constexpr std::size_t max_sync_updates = 40;

} // namespace sedgechute
