#pragma once

#include "config/impl/check_document.hpp"
#include "config/impl/hashed_key.hpp"

namespace sedgechute {

enum class contract_status {
  active,
  cancelled, ///< new requests are refused; admitted ones finish under the revision they came in by
};

/// \brief Which of two faults weighs more where a decision may commit either.
enum class preference { no_overspend, no_false_refusal };

template <>
struct enum_names<contract_status> {
  static constexpr auto entries = enum_table<contract_status>(
      {{contract_status::active, "active"}, {contract_status::cancelled, "cancelled"}});
};

template <>
struct enum_names<preference> {
  static constexpr auto entries =
      enum_table<preference>({{preference::no_overspend, "no_overspend"},
                              {preference::no_false_refusal, "no_false_refusal"}});
};

/// \brief Tokens bought at once.
struct top_up {
  std::string id;
  std::int64_t tokens{0};

  bool operator==(const top_up&) const = default;
};

/// \brief Limits over the whole fleet; 0 means none.
struct contract_limits {
  std::int64_t requests_per_s{0};
  std::int64_t tokens_per_s{0};
  std::int64_t concurrency{0};
  std::int64_t queue_length{1000};
  std::int64_t max_output_tokens{0};

  bool operator==(const contract_limits&) const = default;
};

/// \brief A kind of request of a team: how urgent it is and what it was promised.
struct request_class {
  std::string name;
  std::int64_t priority{5};
  time_ms deadline{60000};
  time_ms first_token{1000};
  double objective{0.99};

  bool operator==(const request_class&) const = default;
};

/// \brief Everything agreed with one team.
struct contract {
  std::int64_t schema{current_schema};
  team_id team;
  contract_status status{contract_status::active};
  std::vector<top_up> top_ups;
  std::vector<hashed_key> keys;
  contract_limits limits;
  std::int64_t share{100};
  std::vector<request_class> classes;
  std::string default_class;
  std::vector<pool_id> pools;
  std::vector<model_id> models;
  std::vector<pool_id> services;
  bool idempotent_by_default{true};
  preference prefer{preference::no_overspend};

  bool operator==(const contract&) const = default;
};

[[nodiscard]] const object_table<contract>& contract_table();

/// \brief Checks the contract of one team, without regard to other documents.
[[nodiscard]] checked<contract> check_contract(const std::string& file, std::string_view text);

/// \returns all tokens that the team has bought
[[nodiscard]] std::int64_t bought_tokens(const contract& agreed) noexcept;

/// \returns the class of that name, the default class for an empty name, or null
[[nodiscard]] const request_class* find_class(const contract& agreed,
                                              std::string_view name) noexcept;

[[nodiscard]] bool allows_pool(const contract& agreed, const pool_id& pool) noexcept;
/// \brief A contract that lists no models allows all models of its pools.
[[nodiscard]] bool allows_model(const contract& agreed, const model_id& model) noexcept;
[[nodiscard]] bool allows_service(const contract& agreed, const pool_id& service) noexcept;

} // namespace sedgechute
