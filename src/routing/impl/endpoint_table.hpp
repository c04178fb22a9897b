#pragma once

#include "routing/impl/endpoint_health.hpp"
#include "routing/impl/endpoint_index.hpp"
#include "routing/impl/endpoint_info.hpp"
#include "routing/impl/load_estimate.hpp"
#include "routing/impl/prefix_table.hpp"
#include "routing/impl/use_report.hpp"

#include <optional>

namespace sedgechute {

/// \brief Parameters of endpoint choice, load estimates and use reports.
struct choice_policy {
  std::uint32_t random_candidates{2};      ///< drawn from this data centre
  std::uint32_t long_prompt_candidates{4}; ///< the same for long prompts
  std::uint32_t long_prompt_tokens{4096};
  std::uint32_t remote_candidates{1};     ///< drawn from other data centres
  std::uint32_t compare_all_up_to{6};     ///< group size up to which all are candidates
  std::uint32_t look_for_room_up_to{32};  ///< the same with `route_need::only_with_room`
  double default_distance_ms{2.0};        ///< one-way latency to a data centre if unknown
  double crowding_ms{60.0};               ///< score penalty of a full endpoint against an idle one
  double default_prompt_rate{8000.0};     ///< prompt tokens per second, until reported
  double chunk_tokens{512.0};             ///< prefill chunk of engines; a chunk is not interrupted
  double default_service_ms{4000.0};      ///< duration of a request, until learned
  double default_cache_life_ms{120000.0}; ///< until learned
  std::uint32_t max_tokens_per_block{512};
  std::size_t max_reported_prefixes{256};
  time_ms use_lifetime{2500};         ///< age at which another host's use report expires
  time_ms full_use_interval{1000};    ///< interval of full reports, which repair lost partial ones
  time_ms use_end_interval{100};      ///< longest delay before an end is reported
  time_ms reported_use_staleness{40}; ///< assumed age of use that other hosts report as it changes
};

/// \returns the urgency with which the prompt is prefilled. A long prompt counts as one class less
/// urgent: its own prefill is most of its wait, and it would delay every short prompt behind it.
[[nodiscard]] std::size_t reading_urgency(const route_need& need, double unread_tokens,
                                          const choice_policy& policy) noexcept;

/// \brief One attempt of a request at an endpoint, kept by the caller until it ends.
struct route_attempt {
  std::uint32_t slot{};
  std::uint64_t life{}; ///< of the table's record; attempts of a removed endpoint have no effect
  std::size_t urgency{};
  std::uint32_t unread{}; ///< prompt tokens counted as not prefilled yet
  bool prompt_read{};
  std::uint32_t predicted_cached{};
  time_ms cached_age;
  double expected_ms{};
  choice_reason reason{choice_reason::random};
  bool suspect{};
  time_ms started;
  time_ms first_token_at;
};

/// \brief How an attempt ended.
enum class attempt_outcome {
  completed,
  cancelled,      ///< by the caller or this host; not counted for or against the endpoint
  failed,         ///< error response or broken stream
  connect_failed, ///< no connection, or silent and a probe failed
};

template <>
struct enum_names<attempt_outcome> {
  static constexpr auto entries =
      enum_table<attempt_outcome>({{attempt_outcome::completed, "completed"},
                                   {attempt_outcome::cancelled, "cancelled"},
                                   {attempt_outcome::failed, "failed"},
                                   {attempt_outcome::connect_failed, "connect_failed"}});
};

/// \brief Outcome of an attempt and the usage that the engine reported.
struct attempt_end {
  attempt_outcome outcome{attempt_outcome::completed};
  std::uint32_t output_tokens{};
  std::optional<std::uint32_t> cached_tokens;
};

/// \brief This host's state of all endpoints: load, health, cached prefixes and use by other hosts.
/// Not thread-safe; needs a lock of rank `endpoints`.
class endpoint_table {
 public:
  /// \brief One endpoint.
  struct record {
    endpoint_info info;
    std::uint64_t life{}; ///< unique number of this registration
    std::uint64_t identity{};
    std::uint32_t data_centre{};
    std::vector<std::uint64_t> capabilities;
    load_estimate load;
    endpoint_health health;
    double cache_life_ms{};   ///< learned age at which the engine evicts a prefix
    double event_trust{1.0};  ///< 0..1, lowered by missed cache events, raised by hits
    std::uint32_t suspects{}; ///< this host's running requests with suspected content
    bool present{};
    bool active{}; ///< accepts new work and is in the `active` index
  };

  explicit endpoint_table(choice_policy choice = {}, health_policy health = {});

  /// \brief Adds an endpoint, or updates a known one's pool and data centre.
  /// \returns its slot
  std::uint32_t add(const endpoint_info& info);
  /// \brief Removes an endpoint; its attempts may still be ended.
  void remove(const endpoint_id& id);
  [[nodiscard]] std::optional<std::uint32_t> slot_of(const endpoint_id& id) const;

  /// \brief Sets whether the endpoint drains, as given by host list, endpoint or settings. A
  /// leaving endpoint is not chosen from then on.
  void set_leaving(const endpoint_id& id, bool leaving);
  /// \param distance_ms  one-way network latency
  void set_data_centre(const data_centre_id& id, double distance_ms, bool reachable);

  void apply_report(const endpoint_id& id, const load_report& report, time_ms now);
  /// \brief Applies an engine's event that a prefix was stored or evicted.
  void apply_cache_event(const endpoint_id& id, std::uint64_t block, bool stored, time_ms now);
  /// \brief Lowers the confidence in the endpoint's cached prefixes after missed events.
  void note_cache_gap(const endpoint_id& id, std::uint64_t missed);

  /// \returns a full report of this host's requests at endpoints, with the prompt prefixes that it
  /// has sent since the last report
  [[nodiscard]] use_report own_use(const incarnation& self);
  /// \returns the report to send to the other hosts now, if one is due: starts are reported by the
  /// next call, ends with them or within `use_end_interval`, everything once a second. Call it
  /// about every 20 ms.
  [[nodiscard]] std::optional<use_report> due_use(const incarnation& self, time_ms now);
  /// \brief Applies another host's report.
  void apply_use(const use_report& report, time_ms now);
  /// \brief Sets the other hosts that send to these endpoints. Their use reports replace the
  /// endpoints' load reports only while each of them has reported lately. Call it about once a
  /// second.
  void set_senders(std::span<const incarnation> others, time_ms now);

  /// \brief Counts a new attempt at the chosen endpoint.
  [[nodiscard]] route_attempt start(const route_choice& choice, const route_need& need,
                                    time_ms now);
  void first_token(route_attempt& attempt, time_ms now);
  void end(const route_attempt& attempt, const route_need& need, const attempt_end& result,
           time_ms now);

  /// \brief Notes that a probe on a new connection or the fetch of a load report succeeded.
  void reachable(const endpoint_id& id);
  /// \brief Notes that a probe or the fetch of a load report could not connect.
  void unreachable(const endpoint_id& id, time_ms now);
  /// \brief Ejects and reinstates endpoints; call it about once a second.
  /// \returns number of endpoints whose state changed
  std::size_t review(time_ms now);

  [[nodiscard]] const std::vector<record>& records() const noexcept { return records_; }
  [[nodiscard]] const endpoint_index& active() const noexcept { return active_; }
  /// \returns the index of all endpoints that are not leaving, used if none is active
  [[nodiscard]] const endpoint_index& last_resort() const noexcept { return last_resort_; }
  [[nodiscard]] const prefix_table& prefixes() const noexcept { return prefixes_; }
  [[nodiscard]] const choice_policy& policy() const noexcept { return choice_; }
  [[nodiscard]] double distance_ms(std::uint32_t data_centre) const noexcept;
  [[nodiscard]] std::uint32_t data_centre_slot(const data_centre_id& id);
  [[nodiscard]] std::optional<std::uint32_t> known_data_centre(const data_centre_id& id) const;
  /// \returns average duration of a request of the pool
  [[nodiscard]] double service_ms(const pool_id& pool) const;
  /// \returns average cached fraction of prompts that were placed by prefix hash alone, 0..1
  [[nodiscard]] double home_trust() const noexcept { return home_trust_; }

  /// \brief Places and estimated load of a pool's active endpoints.
  struct pool_load {
    std::size_t endpoints{};
    std::array<std::size_t, endpoint_state_count> by_state{}; ///< count per `endpoint_state`
    double places{};
    double at_endpoints{};
  };
  [[nodiscard]] pool_load load_of(const pool_id& pool) const;

 private:
  struct data_centre_state {
    data_centre_id id;
    double distance_ms{};
    bool reachable{true};
  };

  struct received_use {
    std::uint64_t sequence{};
    time_ms at;
    absl::flat_hash_map<std::uint32_t, endpoint_use> uses; ///< by slot
  };

  void note_use_changed(std::uint32_t slot, bool started);
  void note_sent_prefix(std::span<const std::uint64_t> blocks, const endpoint_id& endpoint);
  void subtract_use(const received_use& received);
  void update_load_source();
  [[nodiscard]] record* find(const endpoint_id& id);
  [[nodiscard]] record* record_of(const route_attempt& attempt);
  void refresh(std::uint32_t slot);
  void remove_from_indexes(record& known, std::uint32_t slot);
  void learn_cache(record& known, const route_attempt& attempt, const route_need& need,
                   std::uint32_t cached, time_ms now);

  choice_policy choice_;
  health_policy health_;
  std::vector<record> records_;
  absl::flat_hash_map<endpoint_id, std::uint32_t> slots_;
  std::vector<data_centre_state> data_centres_;
  endpoint_index active_;
  endpoint_index last_resort_;
  prefix_table prefixes_;
  absl::flat_hash_map<pool_id, double> service_ms_;
  double home_trust_{0.1};
  std::uint64_t lives_{};
  std::uint64_t use_sequence_{};
  std::vector<prefix_place> sent_prefixes_; ///< not reported to the other hosts yet
  std::vector<std::uint32_t> use_changed_;  ///< slots whose use is not reported yet
  bool use_started_{};                      ///< at least one of the changes is a start
  time_ms last_use_report_;
  time_ms last_full_use_report_;
  absl::flat_hash_map<incarnation, received_use> received_;
  std::vector<incarnation> senders_;
  bool senders_known_{};
  bool all_reported_{};
};

/// \returns the capability for `endpoint_index`
[[nodiscard]] std::uint64_t model_capability(const model_version& model);
[[nodiscard]] std::uint64_t adapter_capability(std::string_view adapter);

} // namespace sedgechute
