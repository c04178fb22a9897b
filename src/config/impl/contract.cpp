#include "config/impl/contract.hpp"

#include <algorithm>

namespace sedgechute {
namespace {

/// So chosen that the sum over all top-ups of a contract stays below 2^63.
constexpr std::int64_t most_tokens = 1'000'000'000'000'000;
constexpr std::size_t most_top_ups = 4096;
constexpr integer_range count_range{0, 1'000'000'000};

const object_table<top_up>& top_up_table() {
  static const object_table<top_up> table{
      {make_field("id", &top_up::id, name_rule(),
                  "Names the purchase, so that it is never counted twice", presence::required),
       make_field("tokens", &top_up::tokens, integer_rule({1, most_tokens}, "tokens"),
                  "Tokens bought", presence::required)}};
  return table;
}

const object_table<contract_limits>& limits_table() {
  static const object_table<contract_limits> table{
      {make_field("requests_per_s", &contract_limits::requests_per_s,
                  integer_rule(count_range, "1/s"), "Requests a second; 0 for no limit"),
       make_field("tokens_per_s", &contract_limits::tokens_per_s,
                  integer_rule(count_range, "tokens/s"), "Tokens a second; 0 for no limit"),
       make_field("concurrency", &contract_limits::concurrency,
                  integer_rule(count_range, "requests"), "Requests at once; 0 for no limit"),
       make_field("queue_length", &contract_limits::queue_length,
                  integer_rule(count_range, "requests"), "Requests that may wait"),
       make_field("max_output_tokens", &contract_limits::max_output_tokens,
                  integer_rule(count_range, "tokens"),
                  "Longest answer; 0 for the pool's own limit")}};
  return table;
}

const object_table<request_class>& class_table() {
  static const object_table<request_class> table{
      {make_field("name", &request_class::name, name_rule(), "Name that callers give",
                  presence::required),
       make_field("priority", &request_class::priority, integer_rule({0, 9}),
                  "0 goes first, within the team"),
       make_field("deadline_ms", &request_class::deadline, time_rule({1, 86'400'000}),
                  "A request that can't start by then is refused"),
       make_field("first_token_ms", &request_class::first_token, time_rule({1, 86'400'000}),
                  "Objective for the time to the first token, or to a service's answer"),
       make_field("objective", &request_class::objective, ratio_rule(),
                  "Share of requests that must meet it; the rest is the error budget")}};
  return table;
}

void check_contract_whole(const contract& agreed, check_run& run) {
  check_no_repeats(
      agreed.top_ups, "/top_ups", "top-up", [](const top_up& one) { return one.id; }, run);
  check_no_repeats(
      agreed.keys, "/keys", "key id", [](const hashed_key& one) { return one.id; }, run);
  check_no_repeats(
      agreed.classes, "/classes", "class", [](const request_class& one) { return one.name; }, run);
  check_no_repeats(
      agreed.pools, "/pools", "pool", [](const pool_id& one) { return one.str(); }, run);
  check_no_repeats(
      agreed.models, "/models", "model", [](const model_id& one) { return one.str(); }, run);
  check_no_repeats(
      agreed.services, "/services", "service", [](const pool_id& one) { return one.str(); }, run);
  if (agreed.classes.empty())
    run.fault_at("/classes", "must have at least one class");
  else if (find_class(agreed, agreed.default_class) == nullptr) {
    std::vector<std::string> names;
    for (const auto& one : agreed.classes)
      names.push_back(one.name);
    run.fault_at("/default_class", "no class \"" + agreed.default_class + "\"",
                 nearest_name(agreed.default_class, names));
  }
}

template <typename T>
[[nodiscard]] bool holds(const std::vector<T>& list, const T& wanted) noexcept {
  return std::find(list.begin(), list.end(), wanted) != list.end();
}

} // namespace

const object_table<contract>& contract_table() {
  static const object_table<contract> table{
      {make_field("schema", &contract::schema, integer_rule({1, current_schema}),
                  "Version of this schema", presence::required),
       make_field("team", &contract::team, id_rule<team_id>(), "The customer", presence::required),
       make_field("status", &contract::status, choice_rule<contract_status>(),
                  "A cancelled team gets no new requests; admitted ones finish"),
       make_field("top_ups", &contract::top_ups,
                  list_rule(object_rule(top_up_table()), most_top_ups),
                  "What was bought; the budget is their sum", presence::required),
       make_field("keys", &contract::keys, list_rule(object_rule(hashed_key_table()), 16),
                  "Bearer keys, salted and hashed; several overlap while one is replaced",
                  presence::required),
       make_field("limits", &contract::limits, object_rule(limits_table()),
                  "Limits over the whole fleet"),
       make_field("share", &contract::share, integer_rule({1, 1'000'000}),
                  "Weight of the team when capacity is short"),
       make_field("classes", &contract::classes, list_rule(object_rule(class_table()), 32),
                  "Kinds of requests", presence::required),
       make_field("default_class", &contract::default_class, name_rule(),
                  "Class of a request that names none", presence::required),
       make_field("pools", &contract::pools, list_rule(id_rule<pool_id>(), 64),
                  "Engine pools that the team may use"),
       make_field("models", &contract::models, list_rule(id_rule<model_id>(), 64),
                  "Models that the team may use; empty for all of its pools"),
       make_field("services", &contract::services, list_rule(id_rule<pool_id>(), 64),
                  "Plain services that the team may use"),
       make_field("idempotent_by_default", &contract::idempotent_by_default, boolean_rule(),
                  "Whether a request that says nothing may be run again"),
       make_field("prefer", &contract::prefer, choice_rule<preference>(),
                  "Which fault weighs more where a choice exists")},
      check_contract_whole};
  return table;
}

checked<contract> check_contract(const std::string& file, std::string_view text) {
  return check_document(contract_table(), file, text);
}

std::int64_t bought_tokens(const contract& agreed) noexcept {
  std::int64_t sum = 0;
  for (const auto& one : agreed.top_ups)
    sum += one.tokens;
  return sum;
}

const request_class* find_class(const contract& agreed, std::string_view name) noexcept {
  if (name.empty())
    name = agreed.default_class;
  const auto found = std::find_if(agreed.classes.begin(), agreed.classes.end(),
                                  [name](const request_class& one) { return one.name == name; });
  return found == agreed.classes.end() ? nullptr : &*found;
}

bool allows_pool(const contract& agreed, const pool_id& pool) noexcept {
  return holds(agreed.pools, pool);
}

bool allows_model(const contract& agreed, const model_id& model) noexcept {
  return agreed.models.empty() || holds(agreed.models, model);
}

bool allows_service(const contract& agreed, const pool_id& service) noexcept {
  return holds(agreed.services, service);
}

} // namespace sedgechute
