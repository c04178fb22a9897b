#include "config/impl/fleet_settings.hpp"

#include <algorithm>

namespace sedgechute {
namespace {

constexpr integer_range short_time{10, 3'600'000};
constexpr integer_range long_time{1000, 30LL * 86'400'000};

const object_table<data_centre_settings>& data_centre_table() {
  static const object_table<data_centre_settings> table{
      {make_field("name", &data_centre_settings::name, id_rule<data_centre_id>(), "Name",
                  presence::required),
       make_field("region", &data_centre_settings::region, name_rule(), "Region it stands in",
                  presence::required)}};
  return table;
}

const object_table<model_settings>& model_table() {
  static const object_table<model_settings> table{
      {make_field("name", &model_settings::name, id_rule<model_id>(), "Name that callers give",
                  presence::required),
       make_field("versions", &model_settings::versions, list_rule(name_rule(), 64),
                  "Versions that may be loaded, the wanted one first"),
       make_field("adapters", &model_settings::adapters, list_rule(name_rule(), 1024),
                  "Adapters that may be loaded"),
       make_field("context_tokens", &model_settings::context_tokens,
                  integer_rule({16, 100'000'000}, "tokens"), "Longest prompt and answer together"),
       make_field("max_output_tokens", &model_settings::max_output_tokens,
                  integer_rule({1, 10'000'000}, "tokens"), "Longest answer")},
      [](const model_settings& model, check_run& run) {
        if (model.max_output_tokens > model.context_tokens)
          run.fault_at("/max_output_tokens", "is greater than context_tokens");
      }};
  return table;
}

void check_pool(const pool_settings& pool, check_run& run) {
  const bool engine = pool.kind == pool_kind::engine;
  if (engine && pool.models.empty())
    run.fault_at("/models", "an engine pool must serve at least one model");
  if (!engine && !pool.models.empty())
    run.fault_at("/models", "a service serves no models");
  if (engine && !pool.non_idempotent_methods.empty())
    run.fault_at("/non_idempotent_methods", "only a service has methods");
}

const object_table<pool_settings>& pool_table() {
  static const object_table<pool_settings> table{
      {make_field("name", &pool_settings::name, id_rule<pool_id>(),
                  "Name; for a service also the one in its path", presence::required),
       make_field("kind", &pool_settings::kind, choice_rule<pool_kind>(),
                  "Model engines or a plain service", presence::required),
       make_field("models", &pool_settings::models, list_rule(object_rule(model_table()), 256),
                  "Models that the pool serves"),
       make_field("honours_fencing", &pool_settings::honours_fencing, boolean_rule(),
                  "Whether its endpoints refuse orders with an old fencing number"),
       make_field("roles", &pool_settings::roles, list_rule(choice_rule<engine_role>(), 3),
                  "Roles that its endpoints can take; empty for no change of role"),
       make_field("non_idempotent_methods", &pool_settings::non_idempotent_methods,
                  list_rule(name_rule(), 16),
                  "HTTP methods whose calls run at most once unless the caller says otherwise"),
       make_field("tokens_per_call", &pool_settings::tokens_per_call,
                  integer_rule({0, 1'000'000'000}, "tokens"), "Price of a call to a service"),
       make_field("answer_timeout_ms", &pool_settings::answer_timeout, time_rule(short_time),
                  "Longest wait for a service's answer to begin")},
      check_pool};
  return table;
}

const object_table<fleet_timeouts>& timeouts_table() {
  static const object_table<fleet_timeouts> table{
      {make_field("heartbeat_ms", &fleet_timeouts::heartbeat, time_rule(short_time),
                  "Time between two heartbeats of a host"),
       make_field("suspect_ms", &fleet_timeouts::suspect, time_rule(short_time),
                  "A host not heard of for so long is suspected"),
       make_field("host_gone_ms", &fleet_timeouts::host_gone, time_rule(short_time),
                  "A suspected host is counted out after so long"),
       make_field("first_token_stall_ms", &fleet_timeouts::first_token_stall, time_rule(short_time),
                  "Silence before the first token after which a connection is probed"),
       make_field("between_tokens_stall_ms", &fleet_timeouts::between_tokens_stall,
                  time_rule(short_time),
                  "Silence between tokens after which a connection is probed"),
       make_field("load_report_ms", &fleet_timeouts::load_report, time_rule(short_time),
                  "Time between two looks at an endpoint's load"),
       make_field("demand_exchange_ms", &fleet_timeouts::demand_exchange, time_rule(short_time),
                  "Time between two exchanges of demand within a data centre")},
      [](const fleet_timeouts& timeouts, check_run& run) {
        if (timeouts.suspect < timeouts.heartbeat * 2)
          run.fault_at("/suspect_ms", "must be at least twice heartbeat_ms, or one lost message "
                                      "makes a host suspect");
        if (timeouts.host_gone < timeouts.suspect)
          run.fault_at("/host_gone_ms", "must not be less than suspect_ms");
      }};
  return table;
}

const object_table<fleet_retention>& retention_table() {
  static const object_table<fleet_retention> table{
      {make_field("log_ms", &fleet_retention::log, time_rule(long_time),
                  "How long the log keeps records; checkpoints come at half of it"),
       make_field("answers_ms", &fleet_retention::answers, time_rule(long_time),
                  "How long an answer is kept for retries"),
       make_field("keys_ms", &fleet_retention::keys, time_rule(long_time),
                  "How long an idempotency key is remembered"),
       make_field("quarantine_ms", &fleet_retention::quarantine, time_rule(long_time),
                  "How long content that ended endpoints is refused")}};
  return table;
}

void check_fleet(const fleet_settings& fleet, check_run& run) {
  check_no_repeats(
      fleet.data_centres, "/data_centres", "data centre",
      [](const data_centre_settings& one) { return one.name.str(); }, run);
  check_no_repeats(
      fleet.pools, "/pools", "pool", [](const pool_settings& one) { return one.name.str(); }, run);
  std::vector<std::string> seen;
  for (std::size_t i = 0; i < fleet.pools.size(); ++i)
    for (std::size_t j = 0; j < fleet.pools[i].models.size(); ++j) {
      const std::string name = fleet.pools[i].models[j].name.str();
      if (std::find(seen.begin(), seen.end(), name) != seen.end())
        run.fault_at("/pools/" + std::to_string(i) + "/models/" + std::to_string(j) + "/name",
                     "model \"" + name + "\" is served already by an earlier entry");
      seen.push_back(name);
    }
}

} // namespace

const object_table<fleet_settings>& fleet_settings_table() {
  static const object_table<fleet_settings> table{
      {make_field("schema", &fleet_settings::schema, integer_rule({1, current_schema}),
                  "Version of this schema", presence::required),
       make_field("data_centres", &fleet_settings::data_centres,
                  list_rule(object_rule(data_centre_table()), 64), "Data centres",
                  presence::required),
       make_field("pools", &fleet_settings::pools, list_rule(object_rule(pool_table()), 256),
                  "Pools of endpoints", presence::required),
       make_field("timeouts", &fleet_settings::timeouts, object_rule(timeouts_table()),
                  "Timeouts that are alike on all hosts"),
       make_field("retention", &fleet_settings::retention, object_rule(retention_table()),
                  "How long things are kept"),
       make_field("share_total", &fleet_settings::share_total, integer_rule({1, 1'000'000'000'000}),
                  "Most that the shares of all active contracts may add up to"),
       make_field("retry_ratio", &fleet_settings::retry_ratio, ratio_rule(),
                  "Retries allowed for each recent success"),
       make_field("quarantine_after", &fleet_settings::quarantine_after, integer_rule({1, 100}),
                  "Endpoints that the same content may end before it is refused"),
       make_field("drained_endpoints", &fleet_settings::drained_endpoints,
                  list_rule(id_rule<endpoint_id>(), 4096),
                  "Endpoints that get no new work, whatever they report"),
       make_field("quarantine_lifts", &fleet_settings::quarantine_lifts,
                  list_rule(hex_rule({16, 16}), 4096),
                  "Fingerprints of content to let through again")},
      check_fleet};
  return table;
}

checked<fleet_settings> check_fleet_settings(const std::string& file, std::string_view text) {
  return check_document(fleet_settings_table(), file, text);
}

const pool_settings* find_pool(const fleet_settings& fleet, const pool_id& name) noexcept {
  const auto found = std::find_if(fleet.pools.begin(), fleet.pools.end(),
                                  [&name](const pool_settings& one) { return one.name == name; });
  return found == fleet.pools.end() ? nullptr : &*found;
}

const pool_settings* find_pool_of(const fleet_settings& fleet, const model_id& model) noexcept {
  for (const auto& pool : fleet.pools)
    for (const auto& served : pool.models)
      if (served.name == model)
        return &pool;
  return nullptr;
}

const model_settings* find_model(const fleet_settings& fleet, const model_id& name) noexcept {
  for (const auto& pool : fleet.pools)
    for (const auto& served : pool.models)
      if (served.name == name)
        return &served;
  return nullptr;
}

} // namespace sedgechute
