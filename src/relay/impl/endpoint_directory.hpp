#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/choose_replica.hpp"
#include "relay/impl/endpoint_incarnation.hpp"
#include "relay/impl/load_board.hpp"
#include "relay/impl/prompt_starts.hpp"
#include "relay/impl/reach_watch.hpp"
#include "relay/impl/request_terms.hpp"
#include "relay/impl/send_outcome.hpp"

#include <functional>
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
  /// By its machine's time of day, which may be set: another start is another incarnation, also one
  /// that looks older. Nothing when the endpoint does not tell.
  std::optional<time_ms> started{};
};

/// \brief What is to be placed.
struct placement_request {
  std::string service;
  const generation_terms* generation{nullptr}; ///< null for a plain service
  std::vector<endpoint_hash> avoid;            ///< incarnations that this request was sent to
};

/// \brief One request's place at an endpoint, from the choice until `release`.
struct placement {
  endpoint_id endpoint;
  endpoint_hash incarnation{}; ///< the same at all hosts
  std::uint64_t life{};        ///< of the endpoint as known here; grows with each that begins
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

/// \brief The endpoints of all services: who is there, how loaded, how sound. Whatever is known of
/// an endpoint ends with its incarnation; what comes late of an ended one changes nothing.
/// Thread-safe.
class endpoint_directory {
 public:
  using restart_listener = std::function<void(const endpoint_restart&)>;

  /// \param random  breaks ties between equals; every host needs another one
  endpoint_directory(data_centre_id here, const choice_weights& weights, const clock& time,
                     random_source random = random_source::from_system());

  /// \brief Before any thread uses the directory: who is told of restarts, without a lock held.
  void on_restart(restart_listener told) { on_restart_ = std::move(told); }

  /// \brief An entry as the list shows it; entries are put in the order in which it showed them.
  void put(endpoint_entry entry);
  /// \brief The entry is gone; requests already there go on.
  void remove(const endpoint_id& id);
  [[nodiscard]] std::vector<endpoint_id> ids() const;

  [[nodiscard]] std::optional<placement> place(const placement_request& request);
  /// \brief The endpoint has read the prompt: its first event came, or its answer.
  void note_started(const placement& place);
  void note_load(const placement& place, const load_report& load);
  /// \brief The endpoint said that it leaves, or that another has its address.
  void note_leaving(const placement& place);
  void release(const placement& place, send_outcome outcome, bool started);

  struct probe {
    endpoint_id endpoint;
    std::string address;
    std::uint64_t life{};
    bool ask_start{false}; ///< it may have started again: once reached it is asked
  };
  /// \returns endpoints that are to be tried now: they could not be reached, or may have started
  /// again
  [[nodiscard]] std::vector<probe> due_probes();
  void note_probe(const probe& of, bool reached, bool silent);
  /// \brief The endpoint was asked when it started.
  /// \param started  nothing when it did not say
  void note_start(const probe& of, std::optional<time_ms> started);

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
    std::uint64_t life{};
    endpoint_hash hash{};          ///< of the incarnation
    endpoint_hash home_hash{};     ///< of the id: a restart does not move the homes of prompts
    std::optional<time_ms> listed; ///< start in its newest entry that names one
    int asks_left{};               ///< 0: nothing says that it may have started again
    time_ms ask_at;
    std::uint64_t open{};
    std::uint64_t unread_tokens{};
    std::optional<load_report> load;
    time_ms load_at;
    std::uint64_t sent_since_load{};
    double failing{};
    time_ms failed_at;
    bool leaving{false};
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

  /// \returns the endpoint while it is in the life given; null otherwise
  [[nodiscard]] state* alive(const endpoint_id& id, std::uint64_t life);
  [[nodiscard]] state new_life(endpoint_entry entry);
  [[nodiscard]] std::optional<endpoint_restart> take_entry(endpoint_entry entry);
  [[nodiscard]] std::optional<endpoint_restart> begin_again(state& of, endpoint_entry entry,
                                                            restart_source found_by);
  static void doubt_start(state& of);
  void tell(const std::optional<endpoint_restart>& restart) const;
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
  std::uint64_t lives_{0};                    ///< that have begun
  restart_listener on_restart_;
};

} // namespace sedgechute
