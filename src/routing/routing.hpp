#pragma once

/// \file
/// \brief Routing policies: fair queues, shares, choice of endpoint, retries, stalls, quarantine.
///
/// Everything here is pure: time and randomness are arguments. A daemon holds one `fair_queue` per
/// pool under a lock of rank `queues`, and one `endpoint_table` and one `quarantine_table` under
/// locks of rank `endpoints`, and drives them like this.
///
/// A request comes in:
/// ```cpp
/// if (suspects.standing(content) == content_standing::quarantined)
/// refuse(error_kind::quarantined); const admission a = queue.enqueue(team, {ticket, kind, cost,
/// latest_start}, now); if (!a.admitted) refuse(a.refusal, a.retry_after);   // at once pump(pool);
/// ```
/// Whenever a request came in, one ended, or a report arrived:
/// ```cpp
/// for (ticket : queue.expire(now)) refuse(ticket, error_kind::deadline_unreachable);
/// queue_filter filter;
/// while (const auto head = queue.head(now, filter)) {
///   const auto choice = choose_endpoint(table, need_of(head->ticket), here, random, now);
///   if (!choice) break;                   // nothing can take it; try again at the next event
///   if (!may_start(queue, *head, *choice, policy)) {
///     if (!narrow(filter, *head)) break;  // what can wait does not hold up what cannot
///     continue;
///   }
///   const work_grant grant = *queue.dequeue(now, filter);
///   route_attempt attempt = table.start(*choice, need, now);
///   send(grant, attempt, choice->endpoint, engine_priority(attempt.urgency));
/// }
/// ```
/// During the run: `table.first_token(attempt, now)`, `check_stall(...)`; at its end
/// `table.end(attempt, need, {outcome, output_tokens, cached_tokens}, now)` and
/// `queue.settle(grant, real_cost, now)`; after success `budget.note_success(now)` and
/// `suspects.note_survived(content, ran_for, true, now)`; after failure `decide_retry(...)`, and if
/// the endpoint ended, `suspects.note_death(endpoint, life, runs_on_it, now)`.
///
/// Once a second: `table.review(now)`, `suspects.expire(now)`, and per pool
/// `shares.measure(queue, now)` to the other hosts, whose reports go to `shares.merge(report,
/// now)`, then `shares.apply_plan(queue, table.load_of(pool).places, now)`, and
/// `table.set_senders(hosts)` with the other hosts that feed the pools. Where these are few (up to
/// about 16), what `table.due_use` gives every 20 ms goes to them, and theirs to `table.apply_use`:
/// load reports are seconds old, and without the others' own word two hosts choose the same place.
/// `suspects.take_news()` goes to all hosts as soon as it is not empty. All travel as a
/// `routing_message`.
///
/// Orders to engines: `pool_claims` replays `pool_claim` records; when `due_claim` gives one,
/// append it. The host whose `epoch_of` is not 0 hands it to its `order_planner` by `set_epoch`,
/// sends what `plan` returns and hands each engine's answer to `note_answer`.

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
#include "routing/impl/run_lengths.hpp"
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
