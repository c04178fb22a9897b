#pragma once

#include "routing/impl/endpoint_health.hpp"
#include "routing/impl/endpoint_index.hpp"
#include "routing/impl/endpoint_info.hpp"
#include "routing/impl/load_estimate.hpp"
#include "routing/impl/prefix_table.hpp"
#include "routing/impl/use_report.hpp"

#include <optional>

namespace sedgechute {

struct choice_policy {
  std::uint32_t draws{2};      ///< random candidates in this data centre
  std::uint32_t long_draws{4}; ///< the same for long prompts
  std::uint32_t long_prompt_tokens{4096};
  std::uint32_t far_draws{1};            ///< random candidates in other data centres
  std::uint32_t compare_all_up_to{6};    ///< groups this small are compared whole
  std::uint32_t look_for_room_up_to{32}; ///< the same, when only a free place will do
  double default_distance_ms{2.0};       ///< one way, to a data centre with no known distance
  double crowding_ms{60.0};              ///< cost of the last free place against an idle endpoint
  double usual_prompt_rate{8000.0};      ///< prompt tokens per second, until reported
  double chunk_tokens{512.0};            ///< that engines read of a prompt without a break
  double usual_service_ms{4000.0};       ///< duration of a request, until learned
  double usual_cache_life_ms{120000.0};  ///< until learned
  std::uint32_t most_tokens_per_block{512};
  std::size_t most_places_told{256};
  time_ms use_life{2500};        ///< after which another host's word on its use is too old
  time_ms use_whole_every{1000}; ///< between reports of everything, which make up for lost ones
  time_ms use_ends_every{100};   ///< longest wait of an end until it is told
  time_ms told_staleness{40};    ///< of what other hosts tell as it changes
};

/// \returns how urgently the prompt is read: a long one counts as one class less urgent, as its own
/// reading is most of its wait, and as it would hold up every short one
[[nodiscard]] std::size_t reading_urgency(const route_need& need, double unread_tokens,
                                          const choice_policy& policy) noexcept;

/// \brief One attempt of a request at an endpoint, kept by the caller until it ends.
struct route_attempt {
  std::uint32_t slot{};
  std::uint64_t life{}; ///< of the table's record; a removed endpoint's attempts are void
  std::size_t urgency{};
  std::uint32_t unread{}; ///< prompt tokens counted as waiting to be read
  bool prompt_read{};
  std::uint32_t predicted_cached{};
  time_ms cached_age;
  double expected_ms{};
  choice_reason reason{choice_reason::random};
  bool suspect{};
  time_ms started;
  time_ms first_token_at;
};

enum class attempt_outcome {
  completed,
  cancelled,      ///< by the caller or by us; says nothing of the endpoint
  failed,         ///< answered by an error or cut
  connect_failed, ///< no connection, or silent and proved dead by a probe
};

template <>
struct enum_names<attempt_outcome> {
  static constexpr auto entries =
      enum_table<attempt_outcome>({{attempt_outcome::completed, "completed"},
                                   {attempt_outcome::cancelled, "cancelled"},
                                   {attempt_outcome::failed, "failed"},
                                   {attempt_outcome::connect_failed, "connect_failed"}});
};

/// \brief How an attempt ended, and what the engine said it used.
struct attempt_end {
  attempt_outcome outcome{attempt_outcome::completed};
  std::uint32_t output_tokens{};
  std::optional<std::uint32_t> cached_tokens;
};

/// \brief Everything that this host knows of the endpoints. Not thread-safe; needs a lock of rank
/// `endpoints`.
class endpoint_table {
 public:
  struct record {
    endpoint_info info;
    std::uint64_t life{};
    std::uint64_t identity{};
    std::uint32_t data_centre{};
    std::vector<std::uint64_t> capabilities;
    load_estimate load;
    endpoint_health health;
    double cache_life_ms{};   ///< usual age at which a prefix is dropped
    double event_trust{1.0};  ///< lowered by missed cache events, raised by hits
    std::uint32_t suspects{}; ///< runs of suspected content that this host has there
    bool present{};
    bool active{}; ///< in the index of those that take new work
  };

  explicit endpoint_table(choice_policy choice = {}, health_policy health = {});

  /// \brief Adds an endpoint, or updates a known one's pool and data centre.
  /// \returns its slot
  std::uint32_t add(const endpoint_info& info);
  /// \brief Drops an endpoint; attempts at it may still be ended.
  void remove(const endpoint_id& id);
  [[nodiscard]] std::optional<std::uint32_t> slot_of(const endpoint_id& id) const;

  /// \brief From any source: host list, the endpoint's own word, the settings. At once no choice.
  void set_leaving(const endpoint_id& id, bool leaving);
  /// \param distance_ms  one way
  void set_data_centre(const data_centre_id& id, double distance_ms, bool reachable);

  void apply_report(const endpoint_id& id, const load_report& report, time_ms now);
  /// \brief A prefix was stored or evicted, by the engine's word.
  void apply_cache_event(const endpoint_id& id, std::uint64_t block, bool stored, time_ms now);
  /// \brief Events were missed: what was predicted of this endpoint is trusted less.
  void note_cache_gap(const endpoint_id& id, std::uint64_t missed);

  /// \returns this host's own requests and what it has placed since the last call, for the others
  [[nodiscard]] use_report own_use(const incarnation& self);
  /// \returns what the other hosts should be told now, if anything: starts almost at once, ends
  /// with them or a little later, everything once a second. To be called about every 20 ms.
  [[nodiscard]] std::optional<use_report> due_use(const incarnation& self, time_ms now);
  /// \brief Another host's word on its requests.
  void apply_use(const use_report& report, time_ms now);
  /// \brief Says which hosts send to these endpoints. Only while each has told of its use lately is
  /// their word taken in place of the endpoints' reports. To be called about once a second.
  void set_senders(std::span<const incarnation> others, time_ms now);

  [[nodiscard]] route_attempt start(const route_choice& choice, const route_need& need,
                                    time_ms now);
  void first_token(route_attempt& attempt, time_ms now);
  void end(const route_attempt& attempt, const route_need& need, const attempt_end& result,
           time_ms now);

  /// \brief A probe on a new connection, or a load report, worked.
  void reachable(const endpoint_id& id);
  /// \brief A probe or the fetching of a load report found no connection.
  void unreachable(const endpoint_id& id, time_ms now);
  /// \brief Ejects and takes back; to be called about once a second.
  /// \returns endpoints whose state changed
  std::size_t review(time_ms now);

  [[nodiscard]] const std::vector<record>& records() const noexcept { return records_; }
  [[nodiscard]] const endpoint_index& active() const noexcept { return active_; }
  /// \returns the index of all that are not leaving, for when none is active
  [[nodiscard]] const endpoint_index& last_resort() const noexcept { return last_resort_; }
  [[nodiscard]] const prefix_table& prefixes() const noexcept { return prefixes_; }
  [[nodiscard]] const choice_policy& policy() const noexcept { return choice_; }
  [[nodiscard]] double distance_ms(std::uint32_t data_centre) const noexcept;
  [[nodiscard]] std::uint32_t data_centre_slot(const data_centre_id& id);
  [[nodiscard]] std::optional<std::uint32_t> known_data_centre(const data_centre_id& id) const;
  [[nodiscard]] double service_ms(const pool_id& pool) const;
  /// \returns share of a prompt found cached where only the placement rule said so, 0..1
  [[nodiscard]] double home_trust() const noexcept { return home_trust_; }

  /// \returns places and believed load of a pool's endpoints that take work
  struct pool_load {
    std::size_t endpoints{};
    std::array<std::size_t, endpoint_state_count> by_state{}; ///< by `endpoint_state`
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

  struct heard_use {
    std::uint64_t sequence{};
    time_ms at;
    absl::flat_hash_map<std::uint32_t, endpoint_use> uses; ///< by slot
  };

  void note_use_changed(std::uint32_t slot, bool started);
  void note_placed(std::span<const std::uint64_t> blocks, const endpoint_id& endpoint);
  void take_back_use(const heard_use& heard);
  void update_view();
  [[nodiscard]] record* find(const endpoint_id& id);
  [[nodiscard]] record* record_of(const route_attempt& attempt);
  void refresh(std::uint32_t slot);
  void take_from_indexes(record& known, std::uint32_t slot);
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
  std::vector<prefix_place> placed_;       ///< not told to the other hosts yet
  std::vector<std::uint32_t> use_changed_; ///< slots whose use was not told yet
  bool use_started_{};                     ///< one of the changes is a start
  time_ms use_told_;
  time_ms use_whole_told_;
  absl::flat_hash_map<incarnation, heard_use> heard_;
  std::vector<incarnation> senders_;
  bool senders_known_{};
  bool all_heard_{};
};

/// \returns hash of a need or a loaded item, as the index keeps it
[[nodiscard]] std::uint64_t model_capability(const model_version& model);
[[nodiscard]] std::uint64_t adapter_capability(std::string_view adapter);

} // namespace sedgechute
