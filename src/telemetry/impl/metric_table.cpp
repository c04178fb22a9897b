#include "telemetry/impl/metric_table.hpp"

namespace sedgechute {

namespace {

using enum metric_kind;

constexpr std::array families{
    metric_family{metric::requests,
                  counter,
                  "sedgechute_requests_total",
                  "Requests that came to their end. outcome: answered, not_run, outcome_unknown, "
                  "partial.",
                  {"team", "class", "outcome"}},
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
                  {"class"}},
    metric_family{metric::token_gap_seconds,
                  histogram,
                  "sedgechute_token_gap_seconds",
                  "Time between two tokens of a stream.",
                  {"class"}},
    metric_family{metric::request_seconds,
                  histogram,
                  "sedgechute_request_seconds",
                  "Time from the request's last byte to the end of its answer.",
                  {"class"}},
    metric_family{metric::tokens_billed,
                  counter,
                  "sedgechute_tokens_billed_total",
                  "Tokens billed.",
                  {"team"}},
    metric_family{metric::streams_open, gauge, "sedgechute_streams_open",
                  "Answers being streamed to callers."},
    metric_family{metric::connections_open,
                  gauge,
                  "sedgechute_connections_open",
                  "Connections. side: caller, endpoint, peer.",
                  {"side"}},
    metric_family{metric::caller_errors,
                  counter,
                  "sedgechute_caller_errors_total",
                  "Calls refused before a team was known, by kind of error.",
                  {"kind"}},
    metric_family{metric::attempts,
                  counter,
                  "sedgechute_attempts_total",
                  "Attempts at endpoints. result: answered, failed, cut, cancelled, refused.",
                  {"pool", "result"}},
    metric_family{metric::retries_denied,
                  counter,
                  "sedgechute_retries_denied_total",
                  "Retries that were not made. reason: budget, may_have_run, deadline.",
                  {"pool", "reason"}},
    metric_family{metric::resumes,
                  counter,
                  "sedgechute_resumes_total",
                  "Streams taken up again after a cut. result: resumed, unknown_run, failed.",
                  {"pool", "result"}},
    metric_family{metric::queue_length,
                  gauge,
                  "sedgechute_queue_length",
                  "Requests that wait for a slot.",
                  {"pool"}},
    metric_family{metric::queue_seconds,
                  histogram,
                  "sedgechute_queue_seconds",
                  "Time that requests waited for a slot.",
                  {"pool"}},
    metric_family{metric::endpoints,
                  gauge,
                  "sedgechute_endpoints",
                  "Endpoints known. state: serving, leaving, ejected, suspect.",
                  {"pool", "state"}},
    metric_family{metric::ejections,
                  counter,
                  "sedgechute_ejections_total",
                  "Endpoints taken out of choice after failures.",
                  {"pool", "reason"}},
    metric_family{metric::quarantined, gauge, "sedgechute_quarantined",
                  "Contents in quarantine because they ended endpoints."},
    metric_family{metric::prefix_tokens,
                  counter,
                  "sedgechute_prefix_tokens_total",
                  "Prompt tokens by how the prefix cache served them. result: cached, computed.",
                  {"pool", "result"}},
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
    metric_family{metric::delegations,
                  gauge,
                  "sedgechute_delegations",
                  "Delegations of tokens held. role: holder, witness.",
                  {"role"}},
    metric_family{metric::tokens_delegated,
                  gauge,
                  "sedgechute_tokens_delegated",
                  "Tokens this host may still spend. state: opened, unopened, reserved.",
                  {"state"}},
    metric_family{metric::tokens_written_off,
                  gauge,
                  "sedgechute_tokens_written_off",
                  "Tokens of the fleet that nobody may spend until there is proof that nobody did.",
                  {"team"}},
    metric_family{metric::chunk_requests,
                  counter,
                  "sedgechute_chunk_requests_total",
                  "Chunks asked of witnesses. result: countersigned, sealed, timeout.",
                  {"result"}},
    metric_family{metric::seals, counter, "sedgechute_seals_total",
                  "Epochs sealed by this host as a witness."},
    metric_family{metric::transfers,
                  counter,
                  "sedgechute_transfers_total",
                  "Escrow transfers of tokens between hosts. direction: out, in, repeated.",
                  {"direction"}},
    metric_family{metric::claims,
                  counter,
                  "sedgechute_claims_total",
                  "Idempotency keys decided. result: new, joined, replayed, conflict, unknown.",
                  {"result"}},
    metric_family{metric::log_appends,
                  counter,
                  "sedgechute_log_appends_total",
                  "Appends to the log. result: taken, failed, unknown.",
                  {"result"}},
    metric_family{metric::log_offset, gauge, "sedgechute_log_offset",
                  "Offset up to which this host has replayed the log."},
    metric_family{metric::log_age_seconds, gauge, "sedgechute_log_age_seconds",
                  "Time since the log was last read to its end."},
    metric_family{metric::documents_applied,
                  counter,
                  "sedgechute_documents_applied_total",
                  "Published documents. kind: contract, fleet. result: applied, rejected.",
                  {"kind", "result"}},
    metric_family{metric::document_age_seconds,
                  histogram,
                  "sedgechute_document_age_seconds",
                  "Time from a document's publish to its being in force on this host.",
                  {"kind"}},
    metric_family{metric::peers,
                  gauge,
                  "sedgechute_peers",
                  "Hosts known. state: live, suspect, dead, leaving.",
                  {"state"}},
    metric_family{metric::peer_bytes,
                  counter,
                  "sedgechute_peer_bytes_total",
                  "Bytes of datagrams between hosts, membership left out. direction: in, out.",
                  {"direction"}},
    metric_family{metric::control_seconds,
                  counter,
                  "sedgechute_control_seconds_total",
                  "Processor time spent on control. job: membership, ledger, log, documents.",
                  {"job"}},
    metric_family{metric::log_lines_suppressed, counter, "sedgechute_log_lines_suppressed_total",
                  "Log lines left out by the limit on repeats."},
    metric_family{metric::decisions_sampled_out, counter, "sedgechute_decisions_sampled_out_total",
                  "Decision events left out by sampling."},
    metric_family{metric::series_dropped,
                  counter,
                  "sedgechute_series_dropped_total",
                  "Updates counted under the label value \"other\" because their family is full.",
                  {"family"}},
    metric_family{metric::resident_bytes, gauge, "sedgechute_resident_bytes",
                  "Resident memory of the process."},
    metric_family{metric::cpu_seconds, counter, "sedgechute_cpu_seconds_total",
                  "Processor time of the process."},
    metric_family{metric::host_state,
                  gauge,
                  "sedgechute_host_state",
                  "1 for the state this host is in. state: starting, ready, draining, stopping.",
                  {"state"}},
};

constexpr bool in_order() {
  for (std::size_t i = 0; i < families.size(); ++i)
    if (static_cast<std::size_t>(families[i].id) != i)
      return false;
  return families.size() == static_cast<std::size_t>(metric::host_state) + 1;
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
  std::string page = "# Metrics\n\n"
                     "`GET /metrics` of every host, in Prometheus text format. This page is "
                     "written by `sedgechute-metrics-page`\n"
                     "from the table in `src/telemetry/impl/metric_table.cpp`. A family keeps a "
                     "bounded number of series; beyond it\nlabel values are counted as `other`.\n\n"
                     "| name | type | labels | meaning |\n| --- | --- | --- | --- |\n";
  for (const metric_family& family : families) {
    std::string labels;
    for (std::size_t i = 0; i < family.label_count(); ++i)
      labels.append(i == 0 ? "" : ", ").append(family.labels[i]);
    page.append("| `").append(family.name).append("` | ").append(name_of(family.kind));
    page.append(" | ").append(labels).append(" | ").append(family.help).append(" |\n");
  }
  return page;
}

} // namespace sedgechute
