#include "telemetry/impl/metric_table.hpp"

namespace sedgechute {

namespace {

using enum metric_kind;
using enum metric_exporter;

constexpr std::array families{
    metric_family{metric::requests,
                  counter,
                  "sedgechute_requests_total",
                  "Requests that came to their end. outcome: answered, not_run, outcome_unknown, "
                  "partial.",
                  {"team", "class", "outcome"},
                  both},
    metric_family{metric::refusals,
                  counter,
                  "sedgechute_refusals_total",
                  "Requests refused, by kind of error.",
                  {"team", "kind"}},
    metric_family{metric::slo_total,
                  counter,
                  "sedgechute_slo_total",
                  "Requests that count towards the service-level objective of their class.",
                  {"team", "class"}},
    metric_family{metric::slo_good,
                  counter,
                  "sedgechute_slo_good_total",
                  "Those of them that met it.",
                  {"team", "class"}},
    metric_family{metric::first_token_seconds,
                  histogram,
                  "sedgechute_first_token_seconds",
                  "Time from the request's last byte to the answer's first token.",
                  {"class"},
                  both},
    metric_family{metric::request_seconds,
                  histogram,
                  "sedgechute_request_seconds",
                  "Time from the request's last byte to the end of its answer.",
                  {"class"},
                  both},
    metric_family{metric::tokens_billed,
                  counter,
                  "sedgechute_tokens_billed_total",
                  "Tokens billed.",
                  {"team"}},
    metric_family{metric::streams_open, gauge, "sedgechute_streams_open",
                  "Answers being streamed to callers."},
    metric_family{metric::attempts,
                  counter,
                  "sedgechute_attempts_total",
                  "Attempts at endpoints, of requests that came to their end.",
                  {"pool"},
                  both},
    metric_family{metric::queue_length,
                  gauge,
                  "sedgechute_queue_length",
                  "Requests that wait for a slot.",
                  {"pool"}},
    metric_family{metric::endpoints,
                  gauge,
                  "sedgechute_endpoints",
                  "Endpoints known. state: serving, leaving, unreachable, ejected.",
                  {"pool", "state"}},
    metric_family{metric::endpoint_restarts,
                  counter,
                  "sedgechute_endpoint_restarts_total",
                  "Endpoints found to have started again under their id. found_by: list (its entry "
                  "names another start), endpoint (asked, it names another).",
                  {"found_by"},
                  entry},
    metric_family{metric::quarantined,
                  gauge,
                  "sedgechute_quarantined",
                  "Contents in quarantine because they ended endpoints.",
                  {},
                  both},
    metric_family{metric::quarantined_parts,
                  gauge,
                  "sedgechute_quarantined_parts",
                  "Parts of prompts in quarantine because they ended endpoints.",
                  {},
                  entry},
    metric_family{
        metric::part_trials,
        counter,
        "sedgechute_part_trials_total",
        "Requests that were sent to find out whether a part of prompts still ends endpoints.",
        {},
        entry},
    metric_family{metric::endpoint_pauses,
                  counter,
                  "sedgechute_endpoint_pauses_total",
                  "Pauses that endpoints asked for in their refusals.",
                  {},
                  entry},
    metric_family{metric::pausing_endpoints,
                  gauge,
                  "sedgechute_pausing_endpoints",
                  "Endpoints that have asked this host for a pause.",
                  {},
                  entry},
    metric_family{metric::endpoints_leaving,
                  counter,
                  "sedgechute_endpoints_leaving_total",
                  "Endpoints whose answers have said that they leave.",
                  {},
                  entry},
    metric_family{metric::orders,
                  counter,
                  "sedgechute_orders_total",
                  "Orders to endpoints. result: sent, done, refused, failed, withheld.",
                  {"pool", "result"}},
    metric_family{metric::budget_refusals,
                  counter,
                  "sedgechute_budget_refusals_total",
                  "Refusals for want of tokens. reason: exhausted (truly spent), unreachable (may "
                  "be false: tokens exist elsewhere).",
                  {"team", "reason"}},
    metric_family{
        metric::tokens_written_off, gauge, "sedgechute_tokens_written_off",
        "Tokens of all teams that nobody may spend until there is proof that nobody did."},
    metric_family{metric::claims, gauge, "sedgechute_claims",
                  "Idempotency keys remembered by this host."},
    metric_family{
        metric::claim_shards,
        gauge,
        "sedgechute_claim_shards",
        "Parts of the idempotency keys. role: held, witnessed by this host; lost: without a "
        "live holder.",
        {"role"}},
    metric_family{metric::log_appends,
                  counter,
                  "sedgechute_log_appends_total",
                  "Appends to the log. result: answered, failed.",
                  {"result"}},
    metric_family{metric::log_offset, gauge, "sedgechute_log_offset",
                  "Offset up to which this host has replayed the log."},
    metric_family{metric::log_reachable, gauge, "sedgechute_log_reachable",
                  "1 while this host reads the log itself, 0 while its peers tell it."},
    metric_family{metric::peers,
                  gauge,
                  "sedgechute_peers",
                  "Other hosts that are not dead. state: alive, suspect, leaving.",
                  {"state"}},
    metric_family{metric::peer_bytes,
                  counter,
                  "sedgechute_peer_bytes_total",
                  "Bytes of datagrams between hosts, membership left out. direction: in, out.",
                  {"direction"}},
    metric_family{metric::log_lines_suppressed, counter, "sedgechute_log_lines_suppressed_total",
                  "Log lines left out by the limit on repeats."},
    metric_family{metric::decisions_sampled_out, counter, "sedgechute_decisions_sampled_out_total",
                  "Decision events left out by sampling."},
    metric_family{metric::resident_bytes,
                  gauge,
                  "sedgechute_resident_bytes",
                  "Resident memory of the process.",
                  {},
                  both},
    metric_family{metric::cpu_seconds,
                  counter,
                  "sedgechute_cpu_seconds_total",
                  "Processor time of the process.",
                  {},
                  both},
    metric_family{metric::host_state,
                  gauge,
                  "sedgechute_host_state",
                  "1 for the state this host is in, else 0. state: not_ready, ready, stopping.",
                  {"state"}},
    metric_family{metric::peer_messages_refused,
                  counter,
                  "sedgechute_peer_messages_refused_total",
                  "Messages in the name of a host that were dropped. reason: impostor (another "
                  "host's certificate), and of datagrams truncated, forged, replayed.",
                  {"reason"}},
    metric_family{metric::credential_reloads,
                  counter,
                  "sedgechute_credential_reloads_total",
                  "Renewed certificate and key files. side: callers, peers, admin, datagrams. "
                  "result: taken; refused while the old ones stay in use.",
                  {"side", "result"}},
    metric_family{metric::unusable_entries,
                  counter,
                  "sedgechute_unusable_entries_total",
                  "Entries that became unusable, or are so for another reason. topic: endpoints, "
                  "configuration, hosts, accounts, evacuations; datagrams (of one sender).",
                  {"topic"},
                  entry},
    metric_family{metric::outdated_entries,
                  counter,
                  "sedgechute_outdated_entries_total",
                  "Entries that were rejected, as a later one of their writer is known. topic: "
                  "endpoints.",
                  {"topic"},
                  entry},
    metric_family{metric::evacuated_data_centres,
                  gauge,
                  "sedgechute_evacuated_data_centres",
                  "Data centres whose endpoints get no requests, by order of the operator.",
                  {},
                  entry},
    metric_family{metric::cold_endpoints,
                  gauge,
                  "sedgechute_cold_endpoints",
                  "Endpoints that get fewer requests because they are cold, or may be.",
                  {},
                  entry},
    metric_family{metric::limited_endpoints,
                  gauge,
                  "sedgechute_limited_endpoints",
                  "Endpoints that name a limit on the requests of all hosts together.",
                  {},
                  entry},
    metric_family{metric::brittle_endpoints,
                  gauge,
                  "sedgechute_brittle_endpoints",
                  "Endpoints that fall over when they refuse too many requests in a second.",
                  {},
                  entry},
    metric_family{
        metric::endpoint_speed_spread,
        gauge,
        "sedgechute_endpoint_speed_spread",
        "Ratio of the slowest to the fastest endpoint, as learnt from their answers; only "
        "services whose endpoints report their work time.",
        {"pool"},
        entry},
    metric_family{metric::placements_off_cheapest,
                  counter,
                  "sedgechute_placements_off_cheapest_total",
                  "Sends to one of the cheapest endpoints that was not the cheapest, so that hosts "
                  "that see the same figures choose differently.",
                  {"pool"},
                  entry},
    metric_family{metric::brittle_refusals,
                  counter,
                  "sedgechute_brittle_refusals_total",
                  "Requests of this host that brittle endpoints have refused.",
                  {},
                  entry},
    metric_family{
        metric::forwarded,
        counter,
        "sedgechute_forwarded_total",
        "Requests forwarded to another host because this one reached no endpoint. result: "
        "served, refused, unreachable, abandoned.",
        {"result"},
        entry},
    metric_family{metric::cut_off,
                  gauge,
                  "sedgechute_cut_off",
                  "1 while this host reaches no endpoint at all, 0 otherwise.",
                  {},
                  entry},
    metric_family{metric::stream_resumes,
                  counter,
                  "sedgechute_stream_resumes_total",
                  "Streams that callers took up, by what is known of the build that began them. "
                  "result: known, sole_build, unknown, gone.",
                  {"result"},
                  entry},
    metric_family{metric::stream_records,
                  gauge,
                  "sedgechute_stream_records",
                  "Records of the builds that began streams, held for all hosts.",
                  {},
                  entry},
    metric_family{metric::silent_endpoints,
                  counter,
                  "sedgechute_silent_endpoints_total",
                  "Decisions on requests whose endpoints were silent for unusually long. decision: "
                  "runs_once, no_time, all_silent, others_back, none_heard, no_retry, no_endpoint, "
                  "send_beside.",
                  {"decision"},
                  entry},
    metric_family{metric::silent_sends,
                  counter,
                  "sedgechute_silent_sends_total",
                  "Requests sent to a second endpoint beside a silent one, by which of them went "
                  "on. result: first, second, none.",
                  {"result"},
                  entry},
    metric_family{metric::delayed_event_reads,
                  counter,
                  "sedgechute_delayed_event_reads_total",
                  "Waits of a busy host's streams for further events, which are then forwarded "
                  "together.",
                  {},
                  entry},
    metric_family{metric::load_refusals,
                  counter,
                  "sedgechute_load_refusals_total",
                  "Requests that this host refused because of load, by route and team. reason: "
                  "overload (of its processor), open_requests, preparing (the team's share of the "
                  "requests in preparation is used up), memory (of the bodies of open requests).",
                  {"reason", "class", "team"},
                  entry},
    metric_family{metric::held_bytes,
                  gauge,
                  "sedgechute_held_bytes",
                  "Bytes of messages that this host holds. kind: bodies (of open requests; of "
                  "sedgechuted: while they arrive), answers (that callers have not read), "
                  "connections (of callers, with what the kernel may hold of each).",
                  {"kind"},
                  both},
    metric_family{metric::idle_teams,
                  gauge,
                  "sedgechute_idle_teams",
                  "Teams with a budget that have stopped sending requests to all hosts, as far as "
                  "this host knows: little of their tokens is promised.",
                  {},
                  entry},
    metric_family{metric::promised_tokens,
                  gauge,
                  "sedgechute_promised_tokens",
                  "Tokens of all teams that this host may use within ten seconds of its last "
                  "records. They are lost if it is killed and is away for so long.",
                  {},
                  entry},
    metric_family{metric::held_bytes_limit,
                  gauge,
                  "sedgechute_held_bytes_limit",
                  "Limit of the bytes of messages that this host holds. kind: bodies (of open "
                  "requests, small ones beyond it within a reserve), answers (that callers have "
                  "not read), connections (what exceeds it is taken from the bodies).",
                  {"kind"},
                  entry},
    metric_family{metric::evicted_connections,
                  counter,
                  "sedgechute_evicted_connections_total",
                  "Connections of callers that had stopped in the middle of a request, or were "
                  "idle, and were closed for want of room for others.",
                  {},
                  both},
    metric_family{metric::task_wait,
                  gauge,
                  "sedgechute_thread_wait_seconds",
                  "How long the first request has been waiting for a thread; 0 when none waits.",
                  {},
                  entry},
    metric_family{metric::unfinished_refusals,
                  counter,
                  "sedgechute_unfinished_refusals_total",
                  "Requests refused before all of them had arrived. kind: of error, such as "
                  "slow_caller (late, or evicted). part: header, body, framing (of a "
                  "chunked body), host (its memory is used up).",
                  {"kind", "part"},
                  entry},
};

constexpr bool in_order() {
  for (std::size_t i = 0; i < families.size(); ++i)
    if (static_cast<std::size_t>(families[i].id) != i)
      return false;
  return families.size() == static_cast<std::size_t>(metric::unfinished_refusals) + 1;
}
static_assert(in_order(), "the table has one row for each metric, in the order of the enumeration");

constexpr std::array bounds{0.0005, 0.001, 0.002, 0.005, 0.01, 0.026, 0.05, 0.1,
                            0.2,    0.36,  0.75,  1.5,   3.0,  10.0,  30.0, 120.0};

} // namespace

std::span<const metric_family> metric_families() noexcept {
  return families;
}

const metric_family& family_of(metric id) noexcept {
  return families[static_cast<std::size_t>(id)];
}

std::span<const double> bucket_bounds() noexcept {
  return bounds;
}

std::string metrics_page() {
  std::string page =
      "# Metrics\n\n"
      "`GET /metrics` of every host, in Prometheus text format. This page is "
      "written by `sedgechute-metrics-page`\n"
      "from the table in `src/telemetry/impl/metric_table.cpp`. A family keeps a "
      "bounded number of series; beyond it\nlabel values are counted as `other`.\n\n"
      "| name | type | labels | program | meaning |\n| --- | --- | --- | --- | --- |\n";
  for (const metric_family& family : families) {
    std::string labels;
    for (std::size_t i = 0; i < family.label_count(); ++i)
      labels.append(i == 0 ? "" : ", ").append(family.labels[i]);
    page.append("| `").append(family.name).append("` | ").append(name_of(family.kind));
    page.append(" | ").append(labels).append(" | ").append(name_of(family.exporter));
    page.append(" | ").append(family.help).append(" |\n");
  }
  return page;
}

} // namespace sedgechute
