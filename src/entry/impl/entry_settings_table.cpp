#include "entry/impl/entry_settings_table.hpp"

#include "entry/impl/entry_settings.hpp"

#include <algorithm>
#include <stdexcept>

namespace sedgechute {

namespace {

std::string text_of(double number) {
  return to_text(json_node::of(number));
}

double seconds_of(time_ms span) noexcept {
  constexpr double ms_a_second = 1000;
  return static_cast<double>(span.count()) / ms_a_second;
}

entry_setting name(std::string key, std::string brief) {
  return {{std::move(key), std::move(brief), true, {}, {"text", "", "1 to 100 bytes", {}}}};
}

entry_setting address(std::string key, std::string brief) {
  return {{std::move(key), std::move(brief), true, {}, {"address", "", "IP:port", {}}}};
}

entry_setting number(std::string key, std::string brief, double otherwise, std::string unit,
                     const number_bounds& bounds) {
  return {{std::move(key),
           std::move(brief),
           false,
           text_of(otherwise),
           {"number", std::move(unit), text_of(bounds.least) + " to " + text_of(bounds.most), {}}},
          bounds};
}

constexpr number_bounds seconds_bounds{0, 86400};
constexpr number_bounds ratio_bounds{0, 100};
constexpr number_bounds slack_bounds{0, 1e9};
// A bound shorter than a slow reply of the store cannot be kept.
constexpr number_bounds read_bounds{100, 86'400'000}; // milliseconds
constexpr number_bounds share_bounds{0.001, 1024};    // of a core
constexpr number_bounds event_bounds_ms{0, 60'000};
constexpr number_bounds memory_bounds{16, 16'777'216}; // megabytes; a host starts with 11
constexpr number_bounds connection_bounds{16, 1e6};
constexpr number_bounds stall_bounds_ms{100, 600'000};
constexpr number_bounds framing_bounds{5, 4096};
constexpr number_bounds receive_bounds_kb{4, 65'536};
constexpr double bytes_a_kb = 1024;
constexpr number_bounds cold_bounds{0, 1e6};

std::vector<entry_setting> make_table() {
  const entry_settings usual;
  return {
      name("host", "This host's name; with `peers` it names the accounts that it keeps"),
      name("data_centre", "Where this host stands"),
      address("callers", "HTTP for callers"),
      address("peers", "Datagrams between entry hosts"),
      address("status", "Readiness, metrics and budgets"),
      address("store", "The platform's store"),
      number("grace_s", "From the signal to stop until the process is killed",
             seconds_of(usual.stop.grace), "s", seconds_bounds),
      number("notice_s",
             "From the signal until the balancer sends callers elsewhere; at most what the grace "
             "leaves",
             seconds_of(usual.stop.notice), "s", seconds_bounds),
      number("kept_for_exit_s",
             "At the end of the grace, for the last words to the store and the log; at most a "
             "quarter of the grace",
             seconds_of(usual.stop.kept_for_exit), "s", seconds_bounds),
      number("retry_ratio", "Repeated sends for each request of a service, over all hosts",
             usual.retry_ratio, "", ratio_bounds),
      number("retry_slack", "Repeated sends beyond the ratio, for all hosts together",
             static_cast<double>(usual.retry_slack), "sends", slack_bounds),
      number("retry_window_s", "The two bounds hold in every window of this length; above 0",
             seconds_of(usual.retry_window), "s", seconds_bounds),
      number("config_bound_ms",
             "A change of the configuration is to be in force so long after its publication",
             static_cast<double>(usual.config_bound.count()), "ms", read_bounds),
      number("drain_bound_ms",
             "An endpoint that leaves still serves so long after the store has taken word of it",
             static_cast<double>(usual.drain_bound.count()), "ms", read_bounds),
      number("heartbeat_ms",
             "Endpoints renew their entries so often. An entry that is older than a known one is "
             "accepted only when nothing newer follows for six times as long",
             static_cast<double>(usual.heartbeat.count()), "ms", read_bounds),
      number("processor_share",
             "Of a core, that this host may use; bounds the requests open at once",
             usual.processor_share, "cores", share_bounds),
      number("event_latency_ms",
             "Within it the events of streams are to reach callers; a host with a busy processor "
             "forwards them in groups, within a quarter of it; 0: never",
             static_cast<double>(usual.event_latency.count()), "ms", event_bounds_ms),
      {{"memory_mb",
        "Of this host's machine; bounds the bodies and unread answers held at once. More than the "
        "machine has counts as what it has",
        false,
        text_of(default_memory_mb),
        {"number", "MB", text_of(memory_bounds.least) + " to " + text_of(memory_bounds.most), {}}},
       memory_bounds},
      number("max_connections",
             "Connections of callers open at once. Beyond it one that has been silent for "
             "`stall_ms` is closed for each new one: first those in the middle of a request",
             static_cast<double>(usual.max_connections), "connections", connection_bounds),
      number("stall_ms",
             "A caller that has not sent 512 bytes for so long may be evicted where there is no "
             "room for all; otherwise it has the time of the whole body",
             static_cast<double>(usual.stall.count()), "ms", stall_bounds_ms),
      number("chunk_framing",
             "Sizes, extensions and trailer of a chunked body for each of its bytes, beyond 64 KB; "
             "chunks of one byte have 5",
             static_cast<double>(usual.framing_per_byte), "bytes", framing_bounds),
      number("receive_buffer_kb",
             "What the kernel may hold of a connection before it is read. A body of more than 64 "
             "KB for which there is room gets 64; beyond 1024 connections at most 6 are given",
             static_cast<double>(usual.receive.usual_bytes) / bytes_a_kb, "KB", receive_bounds_kb),
      number("cold_overage",
             "Factor of the rate that a cold endpoint sustains, for all hosts together",
             usual.cold_start.overage, "", cold_bounds),
      number("cold_tolerance", "Requests to a cold endpoint beyond that, in any second",
             usual.cold_start.tolerance, "requests", cold_bounds),
      {{"regions",
        "The region of each data centre, for routes and teams that are confined to regions",
        false,
        "{}",
        {"object of texts", "", "", {}}}},
  };
}

const entry_setting* find(std::string_view name) noexcept {
  const std::vector<entry_setting>& all = entry_settings_table();
  const auto found = std::find_if(all.begin(), all.end(),
                                  [&](const entry_setting& one) { return one.field.name == name; });
  return found == all.end() ? nullptr : &*found;
}

} // namespace

const std::vector<entry_setting>& entry_settings_table() {
  static const std::vector<entry_setting> table = make_table();
  return table;
}

const entry_setting& entry_setting_named(std::string_view name) {
  const entry_setting* found = find(name);
  if (found == nullptr)
    throw std::logic_error{std::string{name} + " is in no table of settings"};
  return *found;
}

bool is_entry_setting(std::string_view name) noexcept {
  return find(name) != nullptr;
}

std::string entry_settings_page() {
  std::vector<field_info> fields;
  for (const entry_setting& one : entry_settings_table())
    fields.push_back(one.field);
  return schema_page(fields);
}

} // namespace sedgechute
