#pragma once

#include "routing/impl/work_class.hpp"

#include <span>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief Phase of inference that an engine serves.
enum class endpoint_role { any, prefill, decode };

template <>
struct enum_names<endpoint_role> {
  static constexpr auto entries = enum_table<endpoint_role>({{endpoint_role::any, "any"},
                                                             {endpoint_role::prefill, "prefill"},
                                                             {endpoint_role::decode, "decode"}});
};

/// \brief Identity and location of an endpoint, known before the first connection to it.
struct endpoint_info {
  endpoint_id id;
  pool_id pool;
  data_centre_id data_centre;
};

/// \brief A model and its version; an empty version matches any.
struct model_version {
  model_id model;
  std::string version;

  auto operator<=>(const model_version&) const = default;
};

/// \brief Load that an endpoint reports. Values that it does not report are 0.
struct load_report {
  std::uint32_t running{};
  std::uint32_t waiting{};
  std::uint32_t max_running{};
  double kv_used{};
  double kv_total{};
  double prompt_tokens_per_s{}; ///< prefill throughput
  double tokens_per_s{};        ///< output throughput of all streams together
  std::vector<model_version> models;
  std::vector<std::string> adapters;
  bool loaded_known{}; ///< `models` and `adapters` were reported by the endpoint
  endpoint_role role{endpoint_role::any};
  time_ms age; ///< age of the values on arrival
};

/// \brief What a request requires of an endpoint, and its expected cost.
struct route_need {
  pool_id pool;
  work_class kind{work_class::standard};
  bool beyond_share{}; ///< as in `queue_head`
  model_version model; ///< an empty model matches any that the pool serves
  std::string adapter;
  endpoint_role role{endpoint_role::any};
  std::uint32_t prompt_tokens{};
  std::uint32_t output_tokens{};         ///< expected
  std::span<const std::uint64_t> blocks; ///< chained hashes of the prompt's blocks, shortest first
  std::span<const endpoint_id> avoid;    ///< endpoints on which this request has failed
  bool only_with_room{};                 ///< credit is used up: prefer endpoints with a free place
  std::uint64_t suspect{}; ///< fingerprint of content suspected of crashing endpoints, else 0
};

/// \brief Why an endpoint was a candidate.
enum class choice_reason { random, cached, home, only };

template <>
struct enum_names<choice_reason> {
  static constexpr auto entries = enum_table<choice_reason>({{choice_reason::random, "random"},
                                                             {choice_reason::cached, "cached"},
                                                             {choice_reason::home, "home"},
                                                             {choice_reason::only, "only"}});
};

/// \brief The endpoint chosen for a request, with the estimates behind the choice.
struct route_choice {
  std::uint32_t slot{}; ///< index of the endpoint in its table
  endpoint_id endpoint;
  choice_reason reason{choice_reason::random};
  double expected_wait_ms{};        ///< until the first token, network included
  double queue_ms{};                ///< part of it spent queued at the endpoint
  std::uint32_t predicted_cached{}; ///< prompt tokens expected to be cached
  time_ms cached_age;               ///< since the endpoint was last known to hold that prefix
  double room{};                    ///< estimated free places at the endpoint
  std::uint32_t considered{};       ///< number of endpoints compared
};

} // namespace sedgechute
