#include "entry/impl/entry_settings.hpp"

#include "config/config.hpp"
#include "entry/impl/entry_settings_table.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr double ms_a_second = 1000;

// A host's name and address, behind a team's name, are a key of the store, which takes 255 bytes.
constexpr std::size_t longest_name = 100;

/// Reads one setting after the other; what is wrong with them is gathered.
class settings_reader {
 public:
  settings_reader(std::string where, const json_node& node, std::vector<settings_fault>& faults)
      : where_{std::move(where)}, node_{node}, faults_{faults} {
    for (std::size_t i = 0; i < node.names.size(); ++i)
      if (node.find(node.names[i]) != &node.children[i])
        fail(node.names[i], "stands there twice");
  }

  [[nodiscard]] std::string text(std::string_view name) const {
    const json_node* at = node_.find(entry_setting_named(name).field.name);
    if (at == nullptr)
      return fail(name, "is missing");
    if (at->type != json_type::text)
      return fail(name, "is no text");
    return at->text.empty() ? fail(name, "is empty") : at->text;
  }

  /// \returns a text that can be part of a key and of a message
  [[nodiscard]] std::string name(std::string_view name) const {
    const std::string given = text(name);
    const auto control = [](char c) { return c >= '\0' && c < ' '; };
    if (std::any_of(given.begin(), given.end(), control))
      return fail(name, "holds a control character");
    if (given.size() > longest_name)
      return fail(name, "is longer than " + std::to_string(longest_name) + " bytes");
    return given;
  }

  [[nodiscard]] std::string address(std::string_view name) const {
    const std::string given = text(name);
    if (!given.empty() && !sedgechute::address::parse(given))
      return fail(name, "is not IP:port: " + given);
    return given;
  }

  [[nodiscard]] bool has(std::string_view name) const {
    const json_node* at = node_.find(name);
    return at != nullptr && at->type != json_type::null;
  }

  [[nodiscard]] double number(std::string_view name, double otherwise) const {
    const number_bounds& bounds = entry_setting_named(name).bounds;
    const json_node* at = node_.find(name);
    if (at == nullptr || at->type == json_type::null)
      return otherwise;
    if (at->type != json_type::integer && at->type != json_type::real) {
      fail(name, "is not a number");
      return otherwise;
    }
    const double value =
        at->type == json_type::integer ? static_cast<double>(at->integer) : at->real;
    if (value >= bounds.least && value <= bounds.most)
      return value;
    fail(name, "is " + to_text(*at) + ", not within " + to_text(json_node::of(bounds.least)) +
                   " and " + to_text(json_node::of(bounds.most)));
    return otherwise;
  }

  /// \returns an object whose values are all non-empty texts
  [[nodiscard]] region_map texts(std::string_view name) const {
    region_map read;
    const json_node* at = node_.find(entry_setting_named(name).field.name);
    if (at == nullptr || at->type == json_type::null)
      return read;
    if (at->type != json_type::object) {
      fail(name, "is not an object");
      return read;
    }
    for (std::size_t i = 0; i < at->names.size(); ++i) {
      const json_node& value = at->children[i];
      if (value.type != json_type::text || value.text.empty())
        fail(name, "has no text for " + at->names[i]);
      else if (!read.emplace(at->names[i], value.text).second)
        fail(name, "names " + at->names[i] + " twice");
    }
    return read;
  }

  [[nodiscard]] time_ms seconds(std::string_view name, time_ms otherwise) const {
    const double given = number(name, static_cast<double>(otherwise.count()) / ms_a_second);
    return time_ms{static_cast<std::int64_t>(given * ms_a_second)};
  }

  [[nodiscard]] time_ms milliseconds(std::string_view name, time_ms otherwise) const {
    return time_ms{static_cast<std::int64_t>(number(name, static_cast<double>(otherwise.count())))};
  }

  /// \returns no text
  std::string fail(std::string_view name, std::string why) const {
    faults_.push_back({where_ + " /" + pointer_step(name), std::move(why)});
    return {};
  }

 private:
  std::string where_;
  const json_node& node_;
  std::vector<settings_fault>& faults_;
};

// Of a short grace no more than so much is kept for the exit unless the settings say so.
constexpr std::int64_t least_parts_of_grace = 4;

// What is not given follows the grace, so that any grace has bounds that can be kept.
stop_bounds read_stop(const settings_reader& reader) {
  stop_bounds stop;
  stop.grace = reader.seconds("grace_s", stop.grace);
  stop.kept_for_exit = reader.seconds(
      "kept_for_exit_s",
      std::min(stop.kept_for_exit, time_ms{stop.grace.count() / least_parts_of_grace}));
  stop.notice = reader.seconds("notice_s", std::min(stop.notice, cut_after(stop)));
  const auto ms = [](time_ms span) { return std::to_string(span.count()) + " ms"; };
  switch (fault_of(stop)) {
  case stop_fault::none:
    break;
  case stop_fault::no_time:
    reader.fail("grace_s", ms(stop.grace) + " leave no time to requests: " +
                               ms(stop.kept_for_exit) + " of them are kept for the exit");
    break;
  case stop_fault::notice_too_long:
    reader.fail("notice_s", ms(stop.notice) + " are more than the " + ms(cut_after(stop)) +
                                " from the signal that requests may run");
    break;
  }
  return stop;
}

constexpr double bytes_a_kb = 1024;

entry_settings read_all(const settings_reader& reader) {
  entry_settings read;
  read.host = reader.name("host");
  read.data_centre = reader.name("data_centre");
  read.callers = reader.address("callers");
  read.peers = reader.address("peers");
  read.status = reader.address("status");
  if (!read.status.empty() && read.status == read.callers)
    reader.fail("status", "is the address of the callers too");
  read.store = reader.address("store");
  read.stop = read_stop(reader);
  read.retry_ratio = reader.number("retry_ratio", read.retry_ratio);
  read.retry_slack = static_cast<std::uint64_t>(reader.number("retry_slack", 0));
  read.retry_window = reader.seconds("retry_window_s", read.retry_window);
  if (read.retry_window <= time_ms{})
    reader.fail("retry_window_s", "must be above 0");
  read.config_bound = reader.milliseconds("config_bound_ms", read.config_bound);
  read.drain_bound = reader.milliseconds("drain_bound_ms", read.drain_bound);
  read.heartbeat = reader.milliseconds("heartbeat_ms", read.heartbeat);
  read.processor_share = reader.number("processor_share", read.processor_share);
  read.event_latency = reader.milliseconds("event_latency_ms", read.event_latency);
  if (reader.has("memory_mb"))
    read.memory_mb = reader.number("memory_mb", 0);
  read.max_connections = static_cast<std::size_t>(
      reader.number("max_connections", static_cast<double>(read.max_connections)));
  read.stall = reader.milliseconds("stall_ms", read.stall);
  read.framing_per_byte = static_cast<std::size_t>(
      reader.number("chunk_framing", static_cast<double>(read.framing_per_byte)));
  const double receive_kb = static_cast<double>(read.receive.usual_bytes) / bytes_a_kb;
  read.receive.usual_bytes =
      static_cast<std::size_t>(reader.number("receive_buffer_kb", receive_kb) * bytes_a_kb);
  read.receive.admitted_bytes = std::max(read.receive.admitted_bytes, read.receive.usual_bytes);
  read.cold_start.overage = reader.number("cold_overage", read.cold_start.overage);
  read.cold_start.tolerance = reader.number("cold_tolerance", read.cold_start.tolerance);
  read.regions = reader.texts("regions");
  return read;
}

} // namespace

// A machine that is cut off may be replaced by another of its name while its process goes on and
// uses what it was granted. At its own address the other is another host, with accounts of its own;
// a restart at the same address means that the process before has ended.
std::string identity_of(const entry_settings& settings) {
  return settings.host + '@' + settings.peers;
}

settings_reading check_entry_settings(const std::string& where, std::string_view text) {
  settings_reading reading;
  json_node node;
  try {
    node = parse_json(text);
  } catch (const error& fault) {
    reading.faults.push_back({where, fault.why()});
    return reading;
  }
  if (node.type != json_type::object) {
    reading.faults.push_back({where, "is not a JSON object"});
    return reading;
  }
  reading.settings = read_all({where, node, reading.faults});
  for (const std::string& name : node.names)
    if (!is_entry_setting(name))
      reading.unknown.push_back(name);
  return reading;
}

settings_reading parse_entry_settings(const std::string& where, std::string_view text) {
  settings_reading reading = check_entry_settings(where, text);
  if (!reading.faults.empty())
    throw error{error_kind::invalid_settings, reading.faults.front().where,
                reading.faults.front().why};
  return reading;
}

} // namespace sedgechute
