#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>

namespace sedgechute {

/// \brief How budgets are dealt out to hosts. All of it trades tokens that lie idle, or that a
/// killed host had promised to use, against requests that wait for the log or are refused while it
/// is away.
struct prepaid_options {
  /// Hosts are cut off from the log for some nine seconds at a time and serve from what they hold.
  /// Together they hold what the team uses in twice that: requests are not dealt evenly.
  time_ms horizon{14000};
  /// At least this part of what nobody has used: early in a day rates say little.
  double min_held_fraction{0.85};
  /// And at most this part: the rest is free for whoever needs it next.
  double max_held_fraction{0.92};
  /// A host that a team has not used counts as if it used this part of what a host uses on average:
  /// callers move.
  double idle_rate_fraction{0.35};
  /// And at least as if it used this part of what nobody has used in a second, dealt evenly: the
  /// first requests of a day say little about where the next ones come.
  double min_idle_rate_fraction{0.01};
  /// A host keeps enough of each team's tokens for some requests of the usual size, as far as an
  /// even share of the most that is held allows. In a fleet of twenty hosts its part by use holds
  /// several, in one of eighty less than one; so this many for each host of the fleet.
  double min_held_requests_per_host{0.05};
  /// Weight of the newest request in what is usual.
  double request_size_weight{0.02};
  /// Slack below this part of the target is filled up, above the second it is handed back.
  double low_watermark{0.7};
  double high_watermark{1.4};
  /// Time constant of a host's rate of use.
  time_ms rate_time_constant{6000};
  /// An account that was not written for so long belongs to a host that is gone. Hosts that are
  /// cut off come back after less, and find their part of what is left.
  time_ms host_timeout{20000};
  /// A host whose own account cannot be read, and which does not know it, writes it off after so
  /// long: more than a new configuration takes to be known everywhere.
  time_ms own_unreadable_timeout{5000};
  /// Of what a host holds, the part that it promises to use at most between two records besides its
  /// pace, while nothing of a budget is used; of a budget of which half is left half of it.
  double burst_fraction{0.045};
  /// The same for all that its pace comes to until `later`.
  double paced_fraction{0.15};
  /// Where others borrow, the lead covers at least so many requests of the usual size: they ask for
  /// whole ones.
  double loan_burst_requests{2.0};
  /// And of what others asked for in vain, what they ask for in so long: the time until the next
  /// record, and some more.
  time_ms loan_burst_window{1500};
  /// As far as they are no more than this part of what it holds.
  double max_loan_burst_fraction{0.25};
  /// The pace that a host promises, as a part of its rate of use, for the time after a record in
  /// which a killed host is back.
  double pace_factor{1.5};
  /// A host that has not written for so long is cut off from the log.
  time_ms outage_after{2200};
  /// Its pace from then on, as a part of its rate of use: rates are estimates, and what was held
  /// back at first is made up for.
  double outage_pace_factor{2.0};
  /// But at least what uses all that it holds within so long; half of it when half of a budget is
  /// left.
  time_ms full_use_within{8000};
  /// A record that would only renew the promise is written no sooner than this after the last.
  time_ms min_refresh_interval{300};
  /// Between two reports of what was used, when nothing is needed. Each report is a write call.
  time_ms report_interval{500};
  /// Added to the interval for each holder beyond the first, so that the log's writes stay bounded.
  time_ms interval_per_holder{20};
  /// A host that was asked for more than it had promised writes a record no sooner than this after
  /// its last: with forty hosts that write at once most appends fail.
  time_ms min_unpromised_interval{100};
  /// Between two looks at a partition of which this host holds nothing.
  time_ms idle_interval{5000};
  /// Longest wait of a request for tokens that the log has: an exchange takes 15 ms when all is
  /// well, and ten times that when a hundred hosts want something at once.
  time_ms max_log_wait{250};
};

} // namespace sedgechute
