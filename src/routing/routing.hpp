#pragma once

/// \file
/// \brief Routing policies: fair queues, shares, choice of endpoint, retries, stalls, quarantine.
///
/// The library performs no I/O and reads no clock: time and randomness are arguments. A daemon
/// holds one `fair_queue` per pool under a lock of rank `queues`, and one `endpoint_table` and one
/// `quarantine_table` under locks of rank `endpoints`, and calls them as follows.
///
/// When a request arrives:
/// ```cpp
/// if (suspects.standing(content) == content_standing::quarantined)
///   refuse(error_kind::quarantined);
/// const admission a = queue.enqueue(team, {ticket, kind, cost, latest_start}, now);
/// if (!a.admitted)
///   refuse(a.refusal, a.retry_after);
/// pump(pool);
/// ```
/// After each arrival, each completion and each load report:
/// ```cpp
/// for (ticket : queue.expire(now)) refuse(ticket, error_kind::deadline_unreachable);
/// queue_filter filter;
/// while (const auto head = queue.head(now, filter)) {
///   const auto choice = choose_endpoint(table, need_of(head->ticket), here, random, now);
///   if (!choice) break;                   // no endpoint can run it; retry at the next event
///   if (!may_start(queue, *head, *choice, policy)) {
///     if (!narrow(filter, *head)) break;  // no more urgent class left
///     continue;
///   }
///   const work_grant grant = *queue.dequeue(now, filter);
///   route_attempt attempt = table.start(*choice, need, now);
///   send(grant, attempt, choice->endpoint, engine_priority(attempt.urgency));
/// }
/// ```
/// While an attempt runs: `table.first_token(attempt, now)` and `check_stall(...)`. When it ends:
/// `table.end(attempt, need, {outcome, output_tokens, cached_tokens}, now)` and
/// `queue.settle(grant, real_cost, now)`; after success `budget.note_success(now)` and
/// `suspects.note_survived(content, ran_for, true, now)`; after failure `decide_retry(...)`, and if
/// the endpoint died, `suspects.note_death(endpoint, life, runs_on_it, now)`.
///
/// Once a second: `table.review(now)`, `suspects.expire(now)` and `table.set_senders(hosts)` with
/// the other hosts that send to the pools; per pool, `shares.measure(queue, now)` gives the report
/// for the other hosts, `shares.merge(report, now)` takes theirs, and
/// `shares.apply_plan(queue, table.load_of(pool).places, now)` applies the result. With up to about
/// 16 such hosts, the reports of `table.due_use`, called every 20 ms, go to them, and theirs to
/// `table.apply_use`: load reports are seconds old, and without direct reports two hosts choose the
/// same free place. `suspects.take_news()` goes to all hosts as soon as it is not empty. All of
/// these are sent as a `routing_message`.
///
/// Orders to engines: `pool_claims` replays `pool_claim` records; a claim that `due_claim` returns
/// is appended to the log. The host whose `epoch_of` is not 0 passes it to its `order_planner` with
/// `set_epoch`, sends the orders of `plan` and passes each engine's answer to `note_answer`.

#include "routing/impl/attempt_rule.hpp"
#include "routing/impl/choose_endpoint.hpp"
#include "routing/impl/endpoint_health.hpp"
#include "routing/impl/endpoint_index.hpp"
#include "routing/impl/endpoint_info.hpp"
#include "routing/impl/endpoint_table.hpp"
#include "routing/impl/engine_order.hpp"
#include "routing/impl/fair_queue.hpp"
#include "routing/impl/forward_declarations.hpp"
#include "routing/impl/load_estimate.hpp"
#include "routing/impl/order_planner.hpp"
#include "routing/impl/pool_claims.hpp"
#include "routing/impl/prefix_table.hpp"
#include "routing/impl/quarantine.hpp"
#include "routing/impl/queued_work.hpp"
#include "routing/impl/retry_policy.hpp"
#include "routing/impl/routing_message.hpp"
#include "routing/impl/run_durations.hpp"
#include "routing/impl/share_answer.hpp"
#include "routing/impl/share_plan.hpp"
#include "routing/impl/share_relay.hpp"
#include "routing/impl/share_table.hpp"
#include "routing/impl/slot_heap.hpp"
#include "routing/impl/stall_policy.hpp"
#include "routing/impl/stop_policy.hpp"
#include "routing/impl/team_limits.hpp"
#include "routing/impl/token_bucket.hpp"
#include "routing/impl/use_report.hpp"
#include "routing/impl/work_class.hpp"
