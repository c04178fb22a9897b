#pragma once

#include "routing/routing.hpp"

#include <string>
#include <vector>

namespace sedgechute::bench {

/// \brief One class of requests of a users' mix; lengths are exponential around their mean.
struct class_mix {
  work_class kind{work_class::standard};
  double part{};                 ///< of all requests
  std::uint32_t shared_blocks{}; ///< prompt blocks common to a team's requests
  std::uint32_t topics{1};       ///< different shared prompts per team, by Zipf's law
  std::uint32_t own_blocks{1};
  double turns{1.0}; ///< mean turns of a conversation; 1 for single requests
  double output{};   ///< mean tokens
  time_ms patience;  ///< latest useful start
  bool idempotent{true};
};

/// \brief One users' system and traffic.
struct users {
  std::string name;
  std::uint32_t replicas{};
  std::uint32_t data_centres{};
  std::uint32_t hosts{9};
  std::vector<double> team_parts;   ///< of all requests
  std::vector<double> team_weights; ///< shares by contract
  std::vector<class_mix> classes;
};

[[nodiscard]] users linsubrunnur();
[[nodiscard]] users souq_sayarat();

/// \brief One arrival.
struct arrival {
  double at_ms{};
  std::uint32_t team{};
  std::uint32_t host{};
  work_class kind{work_class::standard};
  std::uint32_t prompt_tokens{};
  std::uint32_t output_tokens{};
  time_ms patience;
  std::uint64_t content{};
  bool poison{};
  bool idempotent{true};
  std::vector<std::uint64_t> blocks;
};

/// \brief What is different from the ordinary run.
enum class fault { none, slow_replica, dead_replica, poison, flood, huge_prompts };

struct arrival_options {
  double requests_per_s{};
  double duration_ms{};
  double fault_at_ms{};
  fault trouble{fault::none};
  std::uint64_t seed{1};
};

[[nodiscard]] std::vector<arrival> make_arrivals(const users& who, const arrival_options& options);

/// \brief Engine speeds of the model, the same for all replicas.
struct engine_speed {
  std::uint32_t places{32};
  double read_per_ms{8.0};      ///< prompt tokens
  double pace_ms{20.0};         ///< between tokens, when idle
  double crowded_pace_ms{28.0}; ///< between tokens, with all places taken
  std::uint32_t cache_blocks{1600};
};

/// \returns requests per second at which the places are all taken, with half of each prompt cached
[[nodiscard]] double capacity_of(const users& who, const engine_speed& speed);

} // namespace sedgechute::bench

template <>
struct sedgechute::enum_names<sedgechute::bench::fault> {
  using enum sedgechute::bench::fault;
  static constexpr auto entries =
      enum_table<sedgechute::bench::fault>({{none, "none"},
                                            {slow_replica, "slow_replica"},
                                            {dead_replica, "dead_replica"},
                                            {poison, "poison"},
                                            {flood, "flood"},
                                            {huge_prompts, "huge_prompts"}});
};
