#pragma once

#include "kernel/kernel.hpp"
#include "placement/placement.hpp"
#include "relay/impl/announced_rate.hpp"
#include "relay/impl/choose_replica.hpp"
#include "relay/impl/cold_start.hpp"
#include "relay/impl/crash_evidence.hpp"
#include "relay/impl/data_residency.hpp"
#include "relay/impl/endpoint_build.hpp"
#include "relay/impl/endpoint_incarnation.hpp"
#include "relay/impl/endpoint_limit.hpp"
#include "relay/impl/endpoint_pause.hpp"
#include "relay/impl/evacuation.hpp"
#include "relay/impl/last_heard.hpp"
#include "relay/impl/path_evidence.hpp"
#include "relay/impl/peer_load_table.hpp"
#include "relay/impl/prefix_index.hpp"
#include "relay/impl/reachability_tracker.hpp"
#include "relay/impl/request_terms.hpp"
#include "relay/impl/room_grants.hpp"
#include "relay/impl/send_outcome.hpp"
#include "relay/impl/silence_rules.hpp"
#include "relay/impl/wire_dialect.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief The registration of an endpoint.
struct endpoint_entry {
  endpoint_id id;
  std::string service;
  std::string address; ///< `IP:port`; another endpoint may use it later
  data_centre_id data_centre;
  std::uint64_t slots{1};
  bool draining{false};
  /// Start time by the endpoint's wall clock. The clock may be set back, so any other value, also
  /// an earlier one, is another incarnation. Nothing when the endpoint does not report it.
  std::optional<time_ms> started{};
  time_ms cold_left{}; ///< time until it is no longer cold, as of when it wrote the entry
  /// Version of its software. Nothing: it has restarted, and its entry is from before.
  std::optional<std::string> version{std::string{}};
  /// Increases with each entry that one incarnation writes; nothing: its entries are not numbered.
  std::optional<std::uint64_t> sequence{};
};

/// \brief A request for which an endpoint is to be chosen.
struct placement_request {
  std::string service;
  const generation_terms* generation{nullptr}; ///< null for a plain service
  std::vector<endpoint_hash> avoid;            ///< incarnations that it has been sent to already
  data_residency residency{};
  std::optional<build_hash> build{}; ///< the only one that may serve it; nothing: any
  bool refused_by_brittle{false};    ///< no other brittle endpoint is to refuse it as well
};

/// \brief The assignment of a request to an endpoint, from the choice until `release`.
struct placement {
  endpoint_id endpoint;
  endpoint_hash incarnation{};       ///< the same on all hosts
  std::uint64_t local_incarnation{}; ///< number on this host; increases with each one
  std::string address;
  std::optional<build_hash> build{}; ///< nothing when it is unknown
  std::string fetch_from;  ///< address of an endpoint that has cached parts of the prompt; or empty
  bool reused{false};      ///< sent on a connection that was open before
  bool sent{false};        ///< `note_sent` was called
  bool unframed{false};    ///< the end of the connection ended the answer
  time_ms sent_at;         ///< when that was
  bool limit_trial{false}; ///< finds out whether the endpoint still names a limit
  bool pause_trial{false}; ///< one of the first sends after a pause
  bool brittle{false};     ///< needs a grant of the endpoint's arbiter
  grant_id grant{};        ///< id of the request in flight
  std::shared_ptr<last_heard> heard; ///< of the endpoint
  data_centre_id data_centre;        ///< of the endpoint
  endpoint_hash affinity{};          ///< of the endpoint's id alone
  std::uint64_t prompt_tokens{};     ///< to be prefilled
  std::size_t candidates{};          ///< endpoints that could have been chosen
  // Inputs of the choice, for the log.
  std::uint64_t expected_open{};  ///< requests at the endpoint before this one
  std::uint64_t unread_before{};  ///< tokens of prompts that waited there before this one
  std::uint64_t missing_tokens{}; ///< tokens of the shared prefix that it has not cached
  time_ms load_age;               ///< age of the endpoint's load report; -1: there is none
  /// Expected wait that decided, in milliseconds; nothing: the service has no such estimates.
  std::optional<double> estimated_wait_ms{};
  bool off_cheapest{false}; ///< another endpoint had a lower cost
};

/// \brief Asks the arbiter of a brittle endpoint for room for one request.
struct room_ask {
  endpoint_hash endpoint{}; ///< incarnation
  grant_id id{};
  std::uint64_t host{};    ///< that asks
  double refusals_borne{}; ///< a second, as the endpoint named it
  time_ms announced;       ///< since it first did
};

/// \brief The requests that a host has had in flight at a brittle endpoint for some time.
struct open_grants {
  endpoint_hash endpoint{}; ///< incarnation
  endpoint_hash affinity{}; ///< of the endpoint's id alone
  data_centre_id data_centre;
  std::vector<grant_id> ids;
};

/// \brief A change of a rate that an endpoint names, for the log.
struct rate_notice {
  endpoint_id endpoint;
  announced_rate::change change{};
  double per_second{};
  bool told{false};                     ///< by another host
  std::optional<std::string> malformed; ///< what the endpoint named instead of a usable rate
};

/// \brief A pause that an endpoint asks for, for the log.
struct pause_notice {
  endpoint_id endpoint;
  time_ms pause;
  std::optional<std::string> malformed; ///< what the endpoint named instead of a usable time
};

/// \brief The endpoints of all services with their load, failures and reachability. All state of an
/// endpoint belongs to its incarnation: a restart discards it, and late results of an earlier
/// incarnation are ignored. Thread-safe.
class endpoint_directory {
 public:
  using restart_listener = std::function<void(const endpoint_restart&)>;
  using loss_listener =
      std::function<void(const endpoint_id&, endpoint_hash incarnation, loss_source)>;

  /// \param random  breaks ties between equal candidates; each host needs a different sequence
  endpoint_directory(data_centre_id here, const choice_weights& weights, const clock& time,
                     random_source random = random_source::from_system(), region_map regions = {},
                     const cold_start_bounds& cold_start = {});

  /// \brief Sets the listener for restarts. Must be called before any thread uses the directory;
  /// the listener is called without a lock held.
  void on_restart(restart_listener listener) { on_restart_ = std::move(listener); }

  /// \brief Sets the listener for incarnations that are found dead; see `on_restart`.
  void on_loss(loss_listener listener) { on_loss_ = std::move(listener); }

  using cut_listener = std::function<void()>;
  /// \brief Sets the listener for changes of `cut_off`; see `on_restart`. Calls may overlap.
  void on_cut(cut_listener listener) { on_cut_ = std::move(listener); }

  using rate_listener = std::function<void(const rate_notice&)>;
  /// \brief Sets the listener for limits that endpoints name; see `on_restart`.
  void on_limit(rate_listener listener) { on_limit_ = std::move(listener); }
  /// \brief Sets the listener for endpoints that say that they are brittle; see `on_restart`.
  void on_brittle(rate_listener listener) { on_brittle_ = std::move(listener); }

  /// \brief Adds or updates an endpoint. Entries must be passed in the order of the endpoint list.
  void put(endpoint_entry entry);
  /// \brief Removes an endpoint; requests that were sent to it go on.
  void remove(const endpoint_id& id);
  [[nodiscard]] std::vector<endpoint_id> ids() const;

  /// \brief Sets the time for which an endpoint that says that it leaves still gets requests that
  /// no other endpoint can serve.
  void set_drain_grace(time_ms grace);
  /// \brief Records that the endpoint list is read from its start, so that changes before may have
  /// been missed.
  void begin_list();
  /// \brief Records that the list has named an endpoint of this build, if only for a short time.
  void note_listed(const endpoint_entry& entry);
  /// \brief Sets the data centres whose endpoints get no requests.
  void set_evacuated(const evacuated_centres& centres);
  /// \brief Sets the limits on requests to cold endpoints, by service.
  void set_cold_start(std::unordered_map<std::string, cold_start_terms> services);
  /// \brief Sets the hosts that share these limits.
  void set_hosts(const std::string& self, const std::vector<std::string>& others);
  /// \returns the number of evacuated data centres
  [[nodiscard]] std::size_t evacuated() const;
  /// \returns the number of endpoints that are cold or may be
  [[nodiscard]] std::size_t cold() const;

  /// \returns the cheapest endpoint for a request; nothing when there is no candidate
  [[nodiscard]] std::optional<placement> place(const placement_request& request);
  /// \brief Records that the request is being sent; to be called just before its first byte.
  /// \returns false when it must not be sent, as the endpoint has asked for that meanwhile
  bool note_sent(placement& place);
  /// \brief Records that the endpoint has read the prompt, as its first event or answer shows.
  void note_prompt_read(const placement& place);
  void note_load(const placement& place, const load_report& load);
  /// \brief Takes a load report with a figure that cannot be used.
  void note_malformed_load(const placement& place, const std::string& report);
  using malformed_listener = std::function<void(const endpoint_id&, const std::string& report)>;
  /// \brief Sets the listener for the first such report of an incarnation; see `on_restart`.
  void on_malformed_load(malformed_listener listener) { on_malformed_load_ = std::move(listener); }
  /// \brief Records the limit that an answer of the endpoint names, or that it names none.
  void note_limit(const placement& place, const reply_terms& terms);
  /// \returns the limits that answers have named since the last call, and those that have ended
  [[nodiscard]] std::vector<rate_entry> take_limit_news();
  /// \returns all limits that are known to hold
  [[nodiscard]] std::vector<rate_entry> limits() const;
  /// \brief Takes the limits that another host has heard of.
  void take_limits(const std::vector<rate_entry>& entries);
  /// \brief Records whether an answer of the endpoint says that it is brittle.
  void note_brittle(const placement& place, const reply_terms& terms);
  /// \returns the endpoints that have become brittle since the last call
  [[nodiscard]] std::vector<rate_entry> take_brittle_news();
  /// \returns all endpoints that are known to be brittle, with the refusals per second they bear
  [[nodiscard]] std::vector<rate_entry> brittle_endpoints() const;
  /// \returns those whose answers have told this host so lately, for the other hosts
  [[nodiscard]] std::vector<rate_entry> brittle_first_hand() const;
  /// \brief Takes what another host has heard of brittle endpoints.
  void take_brittle(const std::vector<rate_entry>& entries);
  [[nodiscard]] bool is_brittle(const endpoint_id& id) const;

  /// \returns what to ask the arbiter of a brittle endpoint
  [[nodiscard]] room_ask ask_for(const placement& place, std::uint64_t host) const;
  /// \brief Ends a placement that the arbiter did not grant. The endpoint gets no requests of this
  /// host for a time.
  void cancel(const placement& place, time_ms pause);
  /// \returns the requests of this host in flight at brittle endpoints
  [[nodiscard]] std::vector<open_grants> open_at_brittle() const;
  /// \brief Decides as the arbiter of an endpoint.
  /// \returns how long the host should ask for no other; nothing: the request may be sent
  [[nodiscard]] std::optional<time_ms> arbitrate(const room_ask& ask);
  /// \brief Takes, as the arbiter of an endpoint, the end of a request that may be granted.
  void end_grant(const ended_request& ended);
  /// \brief Takes, as the arbiter of an endpoint, what a host has in flight.
  void renew_grants(std::uint64_t host, endpoint_hash endpoint, const std::vector<grant_id>& open);
  /// \brief Takes a pause that the endpoint asks for in a refusal.
  void note_pause(const placement& place, const reply_terms& terms);
  using pause_listener = std::function<void(const pause_notice&)>;
  /// \brief Sets the listener for pauses that endpoints ask for; see `on_restart`.
  void on_pause(pause_listener listener) { on_pause_ = std::move(listener); }
  /// \returns when the first pause ends; nothing unless all endpoints of the service pause
  /// \param build  the only one that counts; nothing: all
  [[nodiscard]] std::optional<time_ms>
  first_pause_end(const std::string& service, std::optional<build_hash> build = std::nullopt) const;
  /// \returns the number of endpoints that pause
  [[nodiscard]] std::size_t pausing() const;
  /// \brief Records that the endpoint has been silent for unusually long; once for each send.
  void note_stalled(const placement& place);
  /// \returns what this host has heard of the endpoints of a service since a moment
  [[nodiscard]] service_activity activity(const std::string& service, time_ms since) const;
  /// \brief Records that the endpoint is leaving, or that another one now has its address.
  void note_leaving(const placement& place);
  /// \brief Records that an answer of the endpoint says that it leaves. That is no loss.
  void note_says_leaving(const placement& place);
  using endpoint_listener = std::function<void(const endpoint_id&)>;
  /// \brief Sets the listener for endpoints that say that they leave; see `on_restart`.
  void on_says_leaving(endpoint_listener listener) { on_says_leaving_ = std::move(listener); }
  /// \brief Ends a placement and records the result of its send.
  /// \param started  whether `note_prompt_read` was called
  void release(const placement& place, send_outcome outcome, bool started);

  struct probe {
    endpoint_id endpoint;
    std::string address;
    std::uint64_t local_incarnation{};
    bool query_start_time{false}; ///< it may have restarted: query its start time once connected
    time_ms began;                ///< not after the begin of the connect
  };
  /// \returns endpoints to be probed now because they were unreachable or may have restarted
  [[nodiscard]] std::vector<probe> due_probes();
  void note_probe(const probe& of, bool reached, bool silent);
  /// \brief Records the reply to a query of the endpoint's start time.
  /// \param started  nothing when there was no usable reply
  void note_start_time(const probe& of, std::optional<time_ms> started);

  /// \returns the requests of this host in flight at each endpoint, for the other hosts
  /// \param changed_only  only entries that differ from those returned before
  [[nodiscard]] std::vector<use_entry> own_use(bool changed_only);
  /// \returns the prompt prefixes that this host has sent to endpoints since the last call
  [[nodiscard]] std::vector<prefix_location> take_own_prefix_locations();
  /// \brief Applies a report of another host.
  void take_report(const use_report& report);

  /// \returns the ratio of the slowest to the fastest endpoint, as learnt from their answers, by
  /// service; only services whose endpoints report their work time
  [[nodiscard]] std::vector<std::pair<std::string, double>> speed_spreads() const;

  /// \returns the number of endpoints of a service that are neither draining nor leaving
  [[nodiscard]] std::size_t ready(const std::string& service) const;
  [[nodiscard]] std::size_t size() const;

  /// \brief Which endpoints of a service this host reaches.
  enum class paths {
    no_endpoint, ///< there is none that requests may be sent to
    all,
    some,
    none,
  };
  /// \param build  the only one that counts; nothing: all
  [[nodiscard]] paths paths_to(const std::string& service,
                               std::optional<build_hash> build = std::nullopt) const;
  /// \returns the service of the endpoints of the build, if requests may be sent to any of them
  [[nodiscard]] std::optional<std::string> service_of(build_hash build) const;
  /// \returns the build of all endpoints that the list has named for a service since a moment;
  /// nothing when there were several, or when that is not known
  [[nodiscard]] std::optional<build_hash> sole_build(const std::string& service,
                                                     time_ms since) const;
  /// \returns whether this host has lost its paths to all endpoints
  [[nodiscard]] bool cut_off() const;

 private:
  struct open_id {
    grant_id id{};
    time_ms placed;
    std::optional<wait_terms> met{}; ///< load when it was placed; if waits are estimated
    double work_time{1};             ///< estimate when it was placed
    std::optional<time_ms> answered; ///< its first event or its whole answer
  };
  struct state {
    endpoint_entry entry;
    std::uint64_t local_incarnation{};
    std::optional<build_hash> build;
    std::optional<time_ms> draining_since; ///< nothing: it was draining when it was first listed
    endpoint_hash hash{};                  ///< of the incarnation
    endpoint_hash affinity_hash{}; ///< of the id alone, so that a restart keeps prefix affinity
    std::optional<time_ms> listed; ///< start time in its newest entry that has one
    int start_queries_left{};      ///< start time queries left; 0: no restart is suspected
    time_ms next_start_query;
    refusal_history refusals;
    int checks_left{}; ///< probes left after a broken connection, to find out whether it is dead
    time_ms next_check;
    std::uint64_t open{};
    std::uint64_t unread_tokens{};
    std::optional<load_report> load;
    time_ms load_at;
    bool malformed_load{false}; ///< has been reported
    std::uint64_t sent_since_load{};
    double failing{};
    time_ms failed_at;
    bool leaving{false};
    std::optional<time_ms> said_leaving{}; ///< when one of its answers first said that it leaves
    bool evacuated{false};
    std::string_view region;  ///< empty when it is unknown
    time_ms cold_until;       ///< by its entries
    time_ms maybe_cold_until; ///< it may have become cold since its newest entry
    recent_sends sends;
    endpoint_limit limit;
    bool limit_news{false};        ///< other hosts are to be told
    announced_rate refusals_borne; ///< holds while the endpoint says that it is brittle
    time_ms brittle_since;
    std::optional<time_ms> brittle_named_here_at; ///< in an answer to this host
    bool brittle_news{false};                     ///< other hosts are to be told
    endpoint_pause pause;
    bool malformed_pause{false}; ///< has been reported
    time_ms full_until;          ///< its arbiter grants nothing before
    std::vector<open_id> open_ids;
    std::shared_ptr<last_heard> heard;
    room_arbiter arbiter;  ///< used if this host arbitrates
    endpoint_use reported; ///< last usage reported to the other hosts
    work_time_estimate work_time;
    endpoint_speed speed;
    hidden_load hidden_open;
    hidden_load hidden_tokens;
    int use_repeats{}; ///< reports in which its use is still to be repeated
  };

  /// The candidates of one placement and the prefixes of its prompt.
  struct candidate_set {
    std::vector<state*> states;
    std::vector<replica_candidate> candidates;
    std::vector<prompt_prefix> prefixes;
    std::uint64_t shared_tokens{};
    std::size_t prefix_holder{}; ///< index of the candidate with the longest cached prefix
  };

  /// A service whose endpoints report their work time.
  struct estimated_service {
    service_times times;
    request_rate placed;
  };

  /// A placement of a service whose endpoints report their work time.
  struct estimated_choice {
    std::size_t chosen{};
    bool off_cheapest{false};
    wait_terms met;
    double work_time{1};
    double wait_ms{};
  };

  /// \returns the state of an endpoint; null when it is gone or `local_incarnation` is not the
  /// current one
  [[nodiscard]] state* find_current(const endpoint_id& id, std::uint64_t local_incarnation);
  [[nodiscard]] state new_state(endpoint_entry entry);
  /// \brief Replaces the entry of an incarnation.
  void renew_entry(state& of, endpoint_entry entry);
  /// \brief Records that an endpoint with this build is no longer listed.
  void note_build_ended(const endpoint_entry& entry);
  /// \brief Sets what follows from the data centre of the endpoint.
  void locate(state& of) const;
  [[nodiscard]] std::optional<endpoint_restart> take_entry(endpoint_entry entry);
  [[nodiscard]] std::optional<endpoint_restart> start_incarnation(state& of, endpoint_entry entry,
                                                                  restart_source found_by);
  static void suspect_restart(state& of);
  /// \brief Has the endpoint probed soon, as a connection to it broke.
  static void suspect_loss(state& of);
  void notify_loss(const endpoint_id& endpoint, std::optional<endpoint_hash> incarnation,
                   loss_source source) const;
  void notify_restart(const std::optional<endpoint_restart>& restart) const;
  /// \returns whether the endpoint is dead
  /// \param began  when the refused connect began; nothing when that is unknown
  [[nodiscard]] bool note_refused(state& of, std::optional<time_ms> began, time_ms now) const;
  /// \brief Appends probes that find out whether refusals prove deaths.
  void add_confirmations(std::vector<probe>& probes, time_ms now);
  /// \returns endpoints that would be reached if the path to `suspect` were sound
  [[nodiscard]] std::vector<const state*> controls_of(const state& suspect) const;
  struct path_counts {
    std::size_t usable{};
    std::size_t unreachable{}; ///< how many of them this host does not reach
  };
  /// \param chosen  which of the usable endpoints count
  template <typename Predicate>
  [[nodiscard]] path_counts count_paths(const Predicate& chosen) const {
    path_counts counts;
    for (const auto& [id, known] : endpoints_) {
      if (!is_usable(known) || !chosen(known))
        continue;
      ++counts.usable;
      counts.unreachable += reachability_.reachable(id, known.entry.data_centre) ? 0 : 1;
    }
    return counts;
  }
  [[nodiscard]] static probe probe_of(const state& of, time_ms now);
  /// \brief Checks whether all paths are lost; `notify_cut` takes the result without a lock held.
  [[nodiscard]] cut_detector::change observe_paths(time_ms now);
  void notify_cut(cut_detector::change change) const;
  void gather_candidates(const placement_request& request, candidate_set& into, time_ms now);
  void compare_prefixes(candidate_set& among, time_ms now) const;
  [[nodiscard]] static wait_terms terms_of(const candidate_set& among, std::size_t index,
                                           std::uint64_t prompt_tokens, const host_counts& hosts,
                                           time_ms now);
  /// \brief Takes what a load report tells of the endpoint's machine and of hosts that do not
  /// report to this one.
  void note_hidden_load(state& of, service_times& service) const;
  /// \returns nothing when there is no candidate
  [[nodiscard]] std::optional<estimated_choice> choose_by_estimate(const candidate_set& among,
                                                                   std::uint64_t prompt_tokens,
                                                                   estimated_service& service,
                                                                   time_ms now);
  /// \returns a number in [0, 1) that differs between hosts and endpoints
  [[nodiscard]] double distance_to(const state& of) const noexcept;
  static void note_answered(state& of, grant_id id, time_ms now) noexcept;
  /// \brief Learns from an answer how fast the endpoint is.
  void learn_speed(state& of, const placement& place, const open_id& request, time_ms now);
  [[nodiscard]] placement take_place(const candidate_set& among, std::size_t chosen,
                                     std::uint64_t prompt_tokens, time_ms now);
  /// \returns whether a request may be sent to an endpoint, if it is usable at all
  [[nodiscard]] bool may_serve(const state& of, const placement_request& request,
                               time_ms now) const;
  [[nodiscard]] replica_candidate candidate_of(const state& of, time_ms now) const;
  void note_result(state& of, bool good, time_ms now) const;
  void end_placement(state& of, const placement& place, send_outcome outcome, bool started);
  [[nodiscard]] static bool is_usable(const state& of) noexcept {
    return !of.leaving && !of.said_leaving && !of.entry.draining && !of.evacuated;
  }
  /// \returns whether an endpoint that leaves may still get requests of streams that are bound to
  /// its build
  [[nodiscard]] bool is_last_resort(const state& of, time_ms now) const noexcept {
    const auto since = of.said_leaving ? of.said_leaving : of.draining_since;
    return (of.entry.draining || of.said_leaving) && !of.leaving && !of.evacuated && since &&
           now < *since + drain_grace_;
  }
  /// \returns whether a request that was placed may be sent now
  [[nodiscard]] bool may_send(const state& of, time_ms now) const noexcept;
  /// \returns whether the endpoint is known to be of the build
  [[nodiscard]] static bool is_of_build(const state& of, build_hash build) noexcept {
    return of.build == build && of.start_queries_left == 0;
  }
  [[nodiscard]] static bool is_cold(const state& of, time_ms now) noexcept {
    return now < of.cold_until || now < of.maybe_cold_until;
  }
  /// \returns whether the limit on a cold endpoint allows this host one more request
  [[nodiscard]] bool cold_start_allows(const state& of, time_ms now) const;
  enum class limit_permit { none, share, trial };
  /// \returns whether the endpoint's limit allows this host one more request
  [[nodiscard]] limit_permit limit_allows(const state& of, time_ms now) const;
  void notify_limit(const rate_notice& notice) const;
  void notify_brittle(const rate_notice& notice) const;
  [[nodiscard]] state* find_incarnation(endpoint_hash incarnation);
  /// \brief Takes the refusals that an endpoint bears as another host has heard them.
  static announced_rate::change take_told(state& of, const rate_entry& entry, time_ms now);
  /// \brief Takes an endpoint for brittle that has not answered yet, if others of its service are.
  void expect_brittle(state& of) const;
  /// \brief Treats the endpoint as cold for as long as it could be if it became so now.
  void suspect_cold(state& of, time_ms now) const;

  data_centre_id here_;
  choice_weights weights_;
  region_map regions_;
  const clock& time_;
  mutable ordered_mutex mutex_{lock_rank::endpoints};
  std::unordered_map<endpoint_id, state> endpoints_;
  peer_load_table others_;
  prefix_index prefix_index_;
  reachability_tracker reachability_;
  path_evidence path_evidence_;
  cut_detector cut_detector_;
  cold_start_limiter cold_start_;
  evacuated_centres evacuated_;
  time_ms drain_grace_;
  std::optional<time_ms> list_followed_since_;
  /// When builds were last listed that may be listed no more, by service.
  std::unordered_map<std::string, std::unordered_map<build_hash, time_ms>> earlier_builds_;
  random_source random_;
  std::size_t hosts_{1}; ///< this one included
  std::uint64_t self_hash_{};
  /// Services whose endpoints have reported their work time.
  std::unordered_map<std::string, estimated_service> services_;
  std::vector<prefix_location> own_prefix_locations_; ///< not reported to the other hosts yet
  std::uint64_t last_local_incarnation_{0};           ///< number of the last one assigned
  restart_listener on_restart_;
  loss_listener on_loss_;
  rate_listener on_limit_;
  rate_listener on_brittle_;
  cut_listener on_cut_;
  pause_listener on_pause_;
  malformed_listener on_malformed_load_;
  endpoint_listener on_says_leaving_;
};

} // namespace sedgechute
