#pragma once

#include "pool/impl/engine_sheet.hpp"

#include <string>
#include <vector>

namespace sedgechute::pool {

/// \brief Lengths by a log-normal law, cut off above.
struct token_length {
  double mean{1};
  double spread{0}; ///< standard deviation, in parts of the mean
  double most{1e9};
};

/// \brief A part that prompts share: one of so many. The last shared part of a prompt decides which
/// ones come before it.
struct shared_part {
  token_length tokens;
  std::uint32_t choices{1};
  double skew{0}; ///< exponent of Zipf's law, by which the last ones are drawn
};

/// \brief Requests of one kind and what they are worth to their callers.
struct traffic_kind {
  std::string name;
  double per_s{};
  double aim_ms{};   ///< until the first event
  double pause_ms{}; ///< longest between events for an answer in time
  double deadline_ms{};
  double worth{};
  double worth_late{};
  std::vector<shared_part> shared;
  token_length own_tokens; ///< the part of a prompt that no other shares
  token_length events;     ///< of an answer
  std::uint32_t retries{}; ///< by the caller, after a refusal
};

struct zone {
  std::uint32_t hosts{};
  std::uint32_t callers{};
};

/// \brief One-way times in milliseconds.
struct way_times {
  double caller{3};
  double within_zone{0.2};
  double between_zones{1.4};
  double host{0}; ///< that a host works on a request before it is sent on
};

/// \brief A pool, the hosts before it and its usual traffic.
struct deployment {
  std::string name;
  std::vector<zone> zones;
  std::uint32_t engines{};
  std::vector<double> slowness{1}; ///< dealt to the engines in turn
  engine_sheet sheet;
  way_times ways;
  std::vector<double> team_parts{1}; ///< of the traffic
  double clump{1};                   ///< requests that come together, mean
  double clump_gap_ms{20};           ///< between them, mean
  double swing{0};                   ///< of the traffic around its mean
  double swing_period_ms{10'000};
  std::vector<traffic_kind> kinds;
};

/// \brief Reads a JSON document.
/// \throws error naming the file and the field
[[nodiscard]] deployment read_deployment(const std::string& path);

} // namespace sedgechute::pool
