#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/choose_replica.hpp"
#include "relay/impl/load_board.hpp"
#include "relay/impl/prompt_starts.hpp"
#include "relay/impl/reach_watch.hpp"
#include "relay/impl/request_terms.hpp"
#include "relay/impl/send_outcome.hpp"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief An endpoint as it registered itself.
struct endpoint_entry {
  endpoint_id id;
  std::string service;
  std::string address; ///< `IP:port`; may belong to another endpoint later
  data_centre_id data_centre;
  std::uint64_t slots{1};
  bool draining{false};
};

/// \brief What is to be placed.
struct placement_request {
  std::string service;
  const generation_terms* generation{nullptr}; ///< null for a plain service
  std::vector<endpoint_id> avoid;              ///< endpoints that this request was sent to
};

/// \brief One request's place at an endpoint, from the choice until `release`.
struct placement {
  endpoint_id endpoint;
  std::string address;
  std::string fetch_from; ///< endpoint that keeps parts of the prompt; or empty
  std::uint64_t prompt_tokens{};
  std::size_t candidates{}; ///< endpoints that could have been chosen
  // What decided, for the log.
  std::uint64_t expected_open{};  ///< requests there, before this one
  std::uint64_t unread_before{};  ///< tokens of prompts there, before this one
  std::uint64_t missing_tokens{}; ///< of the prompt's shared start
  time_ms load_age;               ///< of what the endpoint told of its load; -1: it told nothing
};

/// \brief The endpoints of all services: who is there, how loaded, how sound. Thread-safe.
class endpoint_directory {
 public:
  endpoint_directory(data_centre_id here, const choice_weights& weights, const clock& time);

  void put(endpoint_entry entry);
  /// \brief The entry is gone; requests already there go on.
  void remove(const endpoint_id& id);
  [[nodiscard]] std::vector<endpoint_id> ids() const;

  [[nodiscard]] std::optional<placement> place(const placement_request& request);
  /// \brief The endpoint has read the prompt: its first event came, or its answer.
  void note_started(const placement& place);
  void note_load(const endpoint_id& id, const load_report& load);
  /// \brief The endpoint said that it leaves, or that another has its address.
  void note_leaving(const endpoint_id& id);
  void release(const placement& place, send_outcome outcome, bool started);

  struct probe {
    endpoint_id endpoint;
    std::string address;
  };
  /// \returns endpoints that could not be reached and are to be tried again now
  [[nodiscard]] std::vector<probe> due_probes();
  void note_probe(const endpoint_id& endpoint, bool reached, bool silent);

  /// \brief What this host has at endpoints, for the other hosts.
  /// \param changed_only  leaves out what was returned before and has not changed
  [[nodiscard]] std::vector<use_entry> own_use(bool changed_only);
  /// \returns the starts of prompts that this host sent since the last call
  [[nodiscard]] std::vector<start_sighting> take_own_sightings();
  /// \brief What another host has.
  void take_report(const use_report& report);

  [[nodiscard]] std::size_t ready(const std::string& service) const;
  [[nodiscard]] std::size_t size() const;

 private:
  struct state {
    endpoint_entry entry;
    std::uint64_t open{};
    std::uint64_t unread_tokens{};
    std::optional<load_report> load;
    time_ms load_at;
    std::uint64_t sent_since_load{};
    double failing{};
    time_ms failed_at;
    bool leaving{false};
    endpoint_hash hash{};
    endpoint_use told; ///< to the other hosts
  };

  /// What the candidates of one placement have in common.
  struct round {
    std::vector<state*> states;
    std::vector<replica_candidate> candidates;
    std::vector<prompt_start> starts;
    std::uint64_t shared_tokens{};
    std::size_t keeper{}; ///< of the longest shared start
  };

  void gather(const placement_request& request, round& into, time_ms now);
  void compare_starts(round& among, time_ms now) const;
  [[nodiscard]] placement take_place(const round& among, std::size_t chosen,
                                     std::uint64_t prompt_tokens, time_ms now);
  [[nodiscard]] replica_candidate candidate_of(const state& of, time_ms now) const;
  void note_result(state& of, bool good, time_ms now) const;
  [[nodiscard]] static bool usable(const state& of) noexcept {
    return !of.leaving && !of.entry.draining;
  }

  data_centre_id here_;
  choice_weights weights_;
  const clock& time_;
  mutable ordered_mutex mutex_{lock_rank::endpoints};
  std::unordered_map<endpoint_id, state> endpoints_;
  load_board others_;
  prompt_starts starts_;
  reach_watch reach_;
  random_source random_;
  std::vector<start_sighting> own_sightings_; ///< not told to the others yet
};

} // namespace sedgechute
