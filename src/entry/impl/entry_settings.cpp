#include "entry/impl/entry_settings.hpp"

#include "config/config.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>

namespace sedgechute {

namespace {

constexpr std::array<std::string_view, 14> known_names{
    "host",        "data_centre",    "callers",         "peers",           "status",
    "store",       "grace_s",        "notice_s",        "kept_for_exit_s", "retry_ratio",
    "retry_slack", "retry_window_s", "config_bound_ms", "processor_share"};
constexpr double ms_a_second = 1000;

class settings_reader {
 public:
  settings_reader(std::string where, const json_node& node)
      : where_{std::move(where)}, node_{node} {}

  [[nodiscard]] std::string text(std::string_view name) const {
    const json_node* at = node_.find(name);
    if (at == nullptr || at->type != json_type::text || at->text.empty())
      fail(name, "is missing or no text");
    return at->text;
  }

  [[nodiscard]] std::string address(std::string_view name) const {
    const std::string given = text(name);
    try {
      (void)Poco::Net::SocketAddress{given};
    } catch (const Poco::Exception&) {
      fail(name, "is not IP:port: " + given);
    }
    return given;
  }

  [[nodiscard]] double number(std::string_view name, double otherwise) const {
    const json_node* at = node_.find(name);
    if (at == nullptr || at->type == json_type::null)
      return otherwise;
    if (at->type != json_type::integer && at->type != json_type::real)
      fail(name, "is not a number");
    const double value =
        at->type == json_type::integer ? static_cast<double>(at->integer) : at->real;
    if (value < 0)
      fail(name, "is below 0");
    return value;
  }

  [[nodiscard]] time_ms seconds(std::string_view name, time_ms otherwise) const {
    const double given = number(name, static_cast<double>(otherwise.count()) / ms_a_second);
    return time_ms{static_cast<std::int64_t>(given * ms_a_second)};
  }

 private:
  [[noreturn]] void fail(std::string_view name, const std::string& why) const {
    throw error{error_kind::invalid_settings, where_ + " /" + std::string{name}, why};
  }

  std::string where_;
  const json_node& node_;
};

// Of a short grace no more than so much is kept for the exit unless the settings say so.
constexpr std::int64_t least_parts_of_grace = 4;

// Within less than an answer of the store takes now and then, no look can be relied on.
constexpr time_ms least_config_bound{100};

// What is not given follows the grace, so that any grace has bounds that can be kept.
stop_bounds read_stop(const std::string& where, const settings_reader& reader) {
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
    throw error{error_kind::invalid_settings, where + " /grace_s",
                ms(stop.grace) + " leave no time to requests: " + ms(stop.kept_for_exit) +
                    " of them are kept for the exit"};
  case stop_fault::notice_too_long:
    throw error{error_kind::invalid_settings, where + " /notice_s",
                ms(stop.notice) + " are more than the " + ms(cut_after(stop)) +
                    " from the signal that requests may run"};
  }
  return stop;
}

} // namespace

// A machine that is cut off may be replaced by another of its name while its process goes on and
// uses what it was granted. At its own address the other is another host, with accounts of its own;
// a restart at the same address means that the process before has ended.
std::string identity_of(const entry_settings& settings) {
  return settings.host + '@' + settings.peers;
}

settings_reading parse_entry_settings(const std::string& where, std::string_view text) {
  json_node node;
  try {
    node = parse_json(text);
  } catch (const error& fault) {
    throw error{error_kind::invalid_settings, where, fault.what()};
  }
  if (node.type != json_type::object)
    throw error{error_kind::invalid_settings, where, "is not a JSON object"};
  const settings_reader reader{where, node};
  settings_reading reading;
  entry_settings& read = reading.settings;
  read.host = reader.text("host");
  read.data_centre = reader.text("data_centre");
  read.callers = reader.address("callers");
  read.peers = reader.address("peers");
  read.status = reader.address("status");
  read.store = reader.address("store");
  read.stop = read_stop(where, reader);
  read.retry_ratio = reader.number("retry_ratio", read.retry_ratio);
  read.retry_slack = static_cast<std::uint64_t>(reader.number("retry_slack", 0));
  read.retry_window = reader.seconds("retry_window_s", read.retry_window);
  read.config_bound = time_ms{static_cast<std::int64_t>(
      reader.number("config_bound_ms", static_cast<double>(read.config_bound.count())))};
  if (read.config_bound < least_config_bound)
    throw error{error_kind::invalid_settings, where + " /config_bound_ms",
                "must be " + std::to_string(least_config_bound.count()) + " ms or more"};
  read.processor_share = reader.number("processor_share", read.processor_share);
  if (read.processor_share <= 0)
    throw error{error_kind::invalid_settings, where + " /processor_share", "must be above 0"};
  for (const std::string& name : node.names)
    if (std::find(known_names.begin(), known_names.end(), name) == known_names.end())
      reading.unknown.push_back(name);
  return reading;
}

} // namespace sedgechute
