#pragma once

#include "config/impl/check_document.hpp"

namespace sedgechute {

enum class pool_kind { engine, service };
enum class engine_role { any, prefill, decode };

template <>
struct enum_names<pool_kind> {
  static constexpr auto entries =
      enum_table<pool_kind>({{pool_kind::engine, "engine"}, {pool_kind::service, "service"}});
};

template <>
struct enum_names<engine_role> {
  static constexpr auto entries = enum_table<engine_role>({{engine_role::any, "any"},
                                                           {engine_role::prefill, "prefill"},
                                                           {engine_role::decode, "decode"}});
};

struct data_centre_settings {
  data_centre_id name;
  std::string region;

  bool operator==(const data_centre_settings&) const = default;
};

/// \brief A model of an engine pool, with what may be loaded of it.
struct model_settings {
  model_id name;
  std::vector<std::string> versions;
  std::vector<std::string> adapters;
  std::int64_t context_tokens{8192};
  std::int64_t max_output_tokens{2048};

  bool operator==(const model_settings&) const = default;
};

/// \brief Endpoints of one kind that may stand in for one another.
struct pool_settings {
  pool_id name;
  pool_kind kind{pool_kind::engine};
  std::vector<model_settings> models;
  bool honours_fencing{false};
  std::vector<engine_role> roles;
  std::vector<std::string> non_idempotent_methods;
  std::int64_t tokens_per_call{0};
  time_ms answer_timeout{30000};

  bool operator==(const pool_settings&) const = default;
};

/// \brief Timeouts that must be alike on all hosts.
struct fleet_timeouts {
  time_ms heartbeat{500};
  time_ms suspect{2000};
  time_ms host_gone{10000};
  time_ms first_token_stall{20000};
  time_ms between_tokens_stall{5000};
  time_ms load_report{500};
  time_ms demand_exchange{1000};

  bool operator==(const fleet_timeouts&) const = default;
};

/// \brief How long things are kept.
struct fleet_retention {
  time_ms log{3'600'000};
  time_ms answers{300'000};
  time_ms keys{86'400'000};
  time_ms quarantine{600'000};

  bool operator==(const fleet_retention&) const = default;
};

/// \brief What the whole fleet goes by.
struct fleet_settings {
  std::int64_t schema{current_schema};
  std::vector<data_centre_settings> data_centres;
  std::vector<pool_settings> pools;
  fleet_timeouts timeouts;
  fleet_retention retention;
  std::int64_t share_total{1'000'000'000};
  double retry_ratio{0.1};
  std::int64_t quarantine_after{2};
  std::vector<endpoint_id> drained_endpoints;
  std::vector<std::string> quarantine_lifts;

  bool operator==(const fleet_settings&) const = default;
};

[[nodiscard]] const object_table<fleet_settings>& fleet_settings_table();

/// \brief Checks fleet settings, without regard to contracts.
[[nodiscard]] checked<fleet_settings> check_fleet_settings(const std::string& file,
                                                           std::string_view text);

[[nodiscard]] const pool_settings* find_pool(const fleet_settings& fleet,
                                             const pool_id& name) noexcept;
/// \returns the engine pool that serves the model, or null
[[nodiscard]] const pool_settings* find_pool_of(const fleet_settings& fleet,
                                                const model_id& model) noexcept;
[[nodiscard]] const model_settings* find_model(const fleet_settings& fleet,
                                               const model_id& name) noexcept;

} // namespace sedgechute
