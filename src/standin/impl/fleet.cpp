#include "standin/impl/fleet.hpp"

#include <Poco/JSON/Parser.h>

#include <fstream>

namespace sedgechute::standin {

namespace {

template <typename T>
void take(const Poco::JSON::Object& settings, const char* name, T& value) {
  value = settings.optValue<T>(name, value);
}

std::optional<Poco::Net::SocketAddress> address_of(const Poco::JSON::Object& from,
                                                   const char* name) {
  const auto text = from.optValue<std::string>(name, "");
  if (text.empty())
    return std::nullopt;
  return Poco::Net::SocketAddress{text};
}

} // namespace

void read_options(const Poco::JSON::Object& settings, engine_options& options) {
  if (settings.has("model"))
    options.models = {settings.getValue<std::string>("model")};
  take(settings, "max_running", options.max_running);
  take(settings, "first_token_ms", options.first_token_ms);
  take(settings, "token_ms", options.token_ms);
  take(settings, "prefill_tokens_per_s", options.prefill_tokens_per_s);
  take(settings, "answer_tokens", options.answer_tokens);
  take(settings, "kv_total_tokens", options.kv_total_tokens);
  take(settings, "load_lag_ms", options.load_lag_ms);
  take(settings, "event_delay_ms", options.event_delay_ms);
  take(settings, "abandoned_ms", options.abandoned_ms);
}

void read_options(const Poco::JSON::Object& settings, service_options& options) {
  take(settings, "service", options.name);
  take(settings, "max_running", options.max_running);
  take(settings, "work_ms", options.work_ms);
  take(settings, "load_lag_ms", options.load_lag_ms);
}

Poco::JSON::Object::Ptr read_json_file(const std::string& path) {
  std::ifstream file{path};
  if (!file)
    throw error{error_kind::invalid_settings, path, "cannot be read"};
  Poco::JSON::Parser parser;
  return parser.parse(file).extract<Poco::JSON::Object::Ptr>();
}

void fleet::start(const Poco::JSON::Object& hosts_file) {
  const auto standins = hosts_file.getObject("standins");
  const auto entries = hosts_file.getArray("hosts");
  if (standins.isNull() || entries.isNull())
    throw error{error_kind::invalid_settings, "/", "needs the members hosts and standins"};
  if (const auto address = address_of(*standins, "log")) {
    log_options options{.address = *address};
    take(*standins, "retain_records", options.retain_records);
    take(*standins, "retain_ms", options.retain_ms);
    add_log(options);
  }
  if (const auto address = address_of(*standins, "hosts"))
    add_hosts({.address = *address,
               .lag_ms = standins->optValue<std::int64_t>("hosts_lag_ms", 0),
               .entries = entries});
  if (const auto address = address_of(*standins, "weights"))
    add_weights({.address = *address});
  const auto pools = standins->getObject("pools");
  for (std::size_t i = 0; i < entries->size(); ++i) {
    const auto entry = entries->getObject(static_cast<unsigned>(i));
    if (entry->getValue<std::string>("kind") == "endpoint")
      start_endpoint(*entry, *pools);
  }
}

void fleet::start_endpoint(const Poco::JSON::Object& entry, const Poco::JSON::Object& pools) {
  const auto pool = entry.getValue<std::string>("pool");
  const auto settings = pools.getObject(pool);
  if (settings.isNull())
    throw error{error_kind::invalid_settings, "/standins/pools", "no pool \"" + pool + "\""};
  const Poco::Net::SocketAddress address{entry.getValue<std::string>("address")};
  if (settings->has("service")) {
    service_options options{.address = address};
    read_options(*settings, options);
    add_service(options);
  } else {
    engine_options options{.address = address};
    read_options(*settings, options);
    add_engine(options);
  }
}

std::size_t fleet::size() const noexcept {
  return logs_.size() + host_lists_.size() + weight_stores_.size() + engines_.size() +
         services_.size();
}

} // namespace sedgechute::standin
