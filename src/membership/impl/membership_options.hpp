#pragma once

#include "kernel/kernel.hpp"

#include <cstddef>

namespace sedgechute {

/// \brief Periods and bounds of the failure detector. The defaults detect a crash in about two
/// seconds and cost the same per host at 9 and at 350 hosts.
struct membership_options {
  time_ms probe_period{500};       ///< one member is probed per period
  time_ms direct_timeout{150};     ///< then other members are asked to probe it
  std::size_t indirect_probes{4};  ///< how many members are asked
  time_ms suspicion_timeout{1250}; ///< time to refute before a suspect counts as dead
  time_ms gossip_interval{250};    ///< extra messages while there is news
  std::size_t gossip_fanout{2};    ///< receivers of one extra message
  time_ms lost_probe_period{1000}; ///< one listed but unknown or dead host is probed per period
  time_ms sync_period{60000};      ///< full exchange with one member
  time_ms tombstone_time{600000};  ///< how long a dead incarnation is remembered
  time_ms joining_window{10000};   ///< how long a new process declares its predecessors dead
  time_ms pause_limit{400};        ///< a longer gap between ticks means that this process paused
};

/// \brief Most updates carried by a probe, an answer or an extra gossip message.
inline constexpr std::size_t max_gossip_updates = 10;
/// \brief Most updates carried by one message of a full exchange.
inline constexpr std::size_t max_sync_updates = 40;

} // namespace sedgechute
