#pragma once

#include "kernel/kernel.hpp"

#include <array>
#include <span>
#include <string>
#include <string_view>

namespace sedgechute {

enum class metric_kind { counter, gauge, histogram };

/// \brief Which program of a host exports a metric.
enum class metric_exporter { sedgechuted, entry, both };

/// \brief Every metric of the two programs.
enum class metric {
  requests,
  refusals,
  slo_total,
  slo_good,
  first_token_seconds,
  request_seconds,
  tokens_billed,
  streams_open,
  attempts,
  queue_length,
  endpoints,
  endpoint_restarts,
  quarantined,
  quarantined_parts,
  part_trials,
  endpoint_pauses,
  pausing_endpoints,
  endpoints_leaving,
  orders,
  budget_refusals,
  tokens_written_off,
  claims,
  claim_shards,
  log_appends,
  log_offset,
  log_reachable,
  peers,
  peer_bytes,
  log_lines_suppressed,
  decisions_sampled_out,
  resident_bytes,
  cpu_seconds,
  host_state,
  peer_messages_refused,
  credential_reloads,
  unusable_entries,
  outdated_entries,
  evacuated_data_centres,
  cold_endpoints,
  limited_endpoints,
  brittle_endpoints,
  endpoint_speed_spread,
  placements_off_cheapest,
  brittle_refusals,
  forwarded,
  cut_off,
  stream_resumes,
  stream_records,
  silent_endpoints,
  silent_sends,
  delayed_event_reads,
  load_refusals,
  held_bytes,
  idle_teams,
  promised_tokens,
  held_bytes_limit,
  evicted_connections,
  task_wait,
  unfinished_refusals,
};

inline constexpr std::size_t most_labels = 3;

/// \brief One row of the table of metrics.
struct metric_family {
  metric id;
  metric_kind kind;
  std::string_view name;
  std::string_view help;
  std::array<std::string_view, most_labels> labels{};
  metric_exporter exporter{metric_exporter::sedgechuted};

  [[nodiscard]] constexpr std::size_t label_count() const noexcept {
    std::size_t count = 0;
    while (count < labels.size() && !labels[count].empty())
      ++count;
    return count;
  }
};

/// \returns the rows in the order of `metric`
[[nodiscard]] std::span<const metric_family> metric_families() noexcept;

[[nodiscard]] const metric_family& family_of(metric id) noexcept;

/// \returns whether a program exports the metric of a row
[[nodiscard]] constexpr bool exports(metric_exporter program, const metric_family& row) noexcept {
  return row.exporter == program || row.exporter == metric_exporter::both;
}

/// \returns upper bounds of a histogram's buckets, in seconds
[[nodiscard]] std::span<const double> bucket_bounds() noexcept;

/// \returns the page docs/METRICS.md
[[nodiscard]] std::string metrics_page();

template <>
struct enum_names<metric_exporter> {
  static constexpr auto entries =
      enum_table<metric_exporter>({{metric_exporter::sedgechuted, "sedgechuted"},
                                   {metric_exporter::entry, "sedgechute-entry"},
                                   {metric_exporter::both, "both"}});
};

template <>
struct enum_names<metric_kind> {
  static constexpr auto entries = enum_table<metric_kind>({{metric_kind::counter, "counter"},
                                                           {metric_kind::gauge, "gauge"},
                                                           {metric_kind::histogram, "histogram"}});
};

} // namespace sedgechute
