#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>

namespace sedgechute {

/// \brief Parameters that divide budgets among hosts. They trade tokens that lie idle, or that a
/// killed host had promised to use, against requests that wait for the log or are refused while it
/// is unavailable.
struct prepaid_options {
  /// Time whose use all hosts hold together. Hosts are cut off from the log for some nine seconds
  /// at a time and serve from what they hold; together they hold what the team uses in twice that,
  /// since requests are not spread evenly.
  time_ms horizon{14000};
  /// Minimum part of the unused tokens that hosts hold: early in a day rates predict little.
  double min_held_fraction{0.85};
  /// Maximum part; the rest stays free for the host that needs it next.
  double max_held_fraction{0.92};
  /// A host that a team has not used counts as if it used this part of a host's average rate, since
  /// callers move between hosts.
  double idle_rate_fraction{0.35};
  /// It counts at least as if it used this part of the unused tokens in a second, divided evenly:
  /// the first requests of a day predict little about where the next ones arrive.
  double min_idle_rate_fraction{0.01};
  /// A host holds enough of each team's tokens for some requests of mean size, within an even share
  /// of the most that is held. In a fleet of twenty hosts its share by use covers several requests,
  /// in one of eighty less than one; hence a number of requests for each host of the fleet.
  double min_held_requests_per_host{0.05};
  /// Weight of the newest request in the mean size.
  double request_size_weight{0.02};
  /// Parts of the target slack: slack below the first is filled up, slack above the second is
  /// returned.
  double low_watermark{0.7};
  double high_watermark{1.4};
  /// Time constant of a host's rate of use.
  time_ms rate_time_constant{6000};
  /// A host that has not written its account for this time counts as gone. Hosts that are cut off
  /// return sooner, and find their share of the rest.
  time_ms host_timeout{20000};
  /// A host whose own account is unreadable and not known to it writes it off after this time,
  /// which is longer than a new configuration takes to reach all hosts.
  time_ms own_unreadable_timeout{5000};
  /// Promised burst between two records, as a part of what a host holds while nothing of a budget
  /// is used; when half of the budget is left it is half of that.
  double burst_fraction{0.045};
  /// The same for the sum of its pace until `outage_after`.
  double paced_fraction{0.15};
  /// Promised burst of a team that sends no requests, as a part of the same. It has no pace.
  double idle_burst_fraction{0.01};
  /// Time after which a record no longer shows that its host expects requests. Active hosts write
  /// several times as often.
  time_ms activity_timeout{5000};
  /// A team is idle while the hosts that expect requests had less than this part of its use.
  double min_active_part{0.1};
  /// If other hosts borrow, the burst covers at least this many requests of mean size: they borrow
  /// for whole requests.
  double loan_burst_requests{2.0};
  /// It also covers what others ask for beyond the promise in this time: the time until the next
  /// record, with a margin.
  time_ms loan_burst_window{1500};
  /// Limit of the burst for borrowers, as a part of what the host holds.
  double max_loan_burst_fraction{0.25};
  /// Promised pace relative to the rate of use, for the time after a record in which a killed host
  /// is back.
  double pace_factor{1.5};
  /// A host that has not written for this time is cut off from the log.
  time_ms outage_after{2200};
  /// Pace from then on, relative to the rate of use: rates are estimates, and the tokens withheld
  /// at first are made up for.
  double outage_pace_factor{2.0};
  /// Least pace from then on: it uses all that the host holds within this time, or half of it when
  /// half of a budget is left.
  time_ms full_use_within{8000};
  /// Least time between a record and one that only renews the promise.
  time_ms min_refresh_interval{300};
  /// The same while nothing of a budget is used and more than half of the promised burst is left;
  /// in between when a part of the budget is used, since a kill near its end must lose little.
  time_ms max_refresh_interval{1000};
  /// Interval between reports of use when no tokens are needed. Each report is a write call.
  time_ms report_interval{500};
  /// Added to that interval for each holder beyond the first, which bounds the write rate of the
  /// log.
  time_ms interval_per_holder{20};
  /// Least time between a record and one caused by demand beyond the promise: if forty hosts write
  /// at once most appends fail.
  time_ms min_unpromised_interval{100};
  /// Interval between reads of a partition of which this host holds no tokens.
  time_ms idle_interval{5000};
  /// Longest wait of a request for tokens from the log: a synchronization normally takes 15 ms, and
  /// ten times that when a hundred hosts request tokens at once.
  time_ms max_log_wait{250};
};

} // namespace sedgechute
