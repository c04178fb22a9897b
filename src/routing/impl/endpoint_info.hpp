#pragma once

#include "routing/impl/work_class.hpp"

#include <span>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief What an engine is used for.
enum class endpoint_role { any, prefill, decode };

template <>
struct enum_names<endpoint_role> {
  static constexpr auto entries = enum_table<endpoint_role>({{endpoint_role::any, "any"},
                                                             {endpoint_role::prefill, "prefill"},
                                                             {endpoint_role::decode, "decode"}});
};

/// \brief What is known of an endpoint before it was first reached.
struct endpoint_info {
  endpoint_id id;
  pool_id pool;
  data_centre_id data_centre;
};

/// \brief A model at a version, as loaded; an empty version stands for any.
struct model_version {
  model_id model;
  std::string version;

  auto operator<=>(const model_version&) const = default;
};

/// \brief An endpoint's own report. Figures that it does not give stay 0.
struct load_report {
  std::uint32_t running{};
  std::uint32_t waiting{};
  std::uint32_t max_running{};
  double kv_used{};
  double kv_total{};
  double prompt_tokens_per_s{}; ///< how fast it reads prompts
  double tokens_per_s{};        ///< how fast it writes answers, all streams together
  std::vector<model_version> models;
  std::vector<std::string> adapters;
  bool loaded_known{}; ///< models and adapters are as the endpoint last told them
  endpoint_role role{endpoint_role::any};
  time_ms age; ///< how old the figures were when they arrived
};

/// \brief What a request needs of an endpoint, and what it will cost it.
struct route_need {
  pool_id pool;
  work_class kind{work_class::standard};
  bool beyond_share{}; ///< as `queue_head` says
  model_version model; ///< an empty model stands for whatever the pool serves
  std::string adapter;
  endpoint_role role{endpoint_role::any};
  std::uint32_t prompt_tokens{};
  std::uint32_t output_tokens{};         ///< expected
  std::span<const std::uint64_t> blocks; ///< chained hashes of the prompt's blocks, shortest first
  std::span<const endpoint_id> avoid;    ///< endpoints that this request has already failed on
  bool only_with_room{};   ///< this host has used its credit: look for a place that others left
  std::uint64_t suspect{}; ///< the content's fingerprint if it may end what runs it, else 0
};

/// \brief Why an endpoint was among the candidates.
enum class choice_reason { random, cached, home, only };

template <>
struct enum_names<choice_reason> {
  static constexpr auto entries = enum_table<choice_reason>({{choice_reason::random, "random"},
                                                             {choice_reason::cached, "cached"},
                                                             {choice_reason::home, "home"},
                                                             {choice_reason::only, "only"}});
};

/// \brief The endpoint for a request and what was expected of it.
struct route_choice {
  std::uint32_t slot{}; ///< the endpoint's number in its table
  endpoint_id endpoint;
  choice_reason reason{choice_reason::random};
  double expected_wait_ms{};        ///< until the prompt is read and the first token comes
  double queue_ms{};                ///< the part of it that is spent waiting at the endpoint
  std::uint32_t predicted_cached{}; ///< prompt tokens expected to be cached
  time_ms cached_age;               ///< since that prefix was last known to be there
  double room{};                    ///< places believed to be free there
  std::uint32_t considered{};       ///< how many endpoints were compared
};

} // namespace sedgechute
