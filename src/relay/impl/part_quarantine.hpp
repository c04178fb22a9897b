#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/endpoint_incarnation.hpp"
#include "relay/impl/prompt_parts.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace sedgechute {

/// \brief Thresholds and durations of the quarantine of prompt parts.
struct part_policy {
  /// Sum of the weights of the deaths that quarantine a part; see `blame_weight`.
  double deaths{5};
  /// Time written up to which a run is blamed in full for the death of its endpoint.
  time_ms full_blame{100};
  time_ms no_blame{400}; ///< time written from which on a run is not blamed but exonerates
  /// Difference of the sums of two parts from which on deaths that both ran in belong to the one
  /// with the larger sum.
  double explaining_lead{2};
  /// Time from the death that suffices to the first trial. Answers of other runs arrive in it.
  time_ms settling_time{1000};
  time_ms first_trial_window{2000}; ///< time from the first trial to the verdict
  /// Weight of a death from which on a trial has failed. A trial that had written for longer may
  /// have been cut by another request.
  double failing_weight{0.25};
  /// Time from the death that suffices to the second trial, after the first has failed.
  time_ms second_trial_after{60000};
  std::int64_t trial_growth{20}; ///< factor of this time for each trial that has failed since
  /// How often the share of hosts that may begin a trial doubles in the time that it was waited
  /// for.
  double trial_doublings{4};
  /// Time between two trials of a part. It is longer than the death of an endpoint goes unnoticed.
  time_ms trial_repeat{5000};
  /// A run that has written for longer did not crash its endpoint, so its parts are harmless.
  time_ms harmless_after{700};
  time_ms evidence_lifetime{3600000}; ///< age at which a death no longer counts
  time_ms answer_lifetime{600000};    ///< age at which an answer no longer shows a part harmless
  time_ms answer_repeat{500};         ///< between two messages that a part is harmless
  std::size_t recorded_deaths{2};     ///< deaths from which on the evidence on a part is recorded
  /// Time after which a host records the evidence of another host that has not recorded it.
  time_ms record_after{4000};
  std::size_t max_due_records{32}; ///< parts that are recorded at a time
  std::size_t max_suspects{4096};
  std::size_t max_deaths{32}; ///< of one part
  std::size_t max_harmless{32768};
  std::size_t max_blamed{128}; ///< parts of one death
  std::size_t max_outgoing{256};
};

/// \brief A run that was cut off by the death of its endpoint.
struct cut_parts {
  std::vector<part_fingerprint> parts;
  time_ms written; ///< for how long it had written
};

struct blamed_part {
  part_fingerprint part{};
  double weight{}; ///< see `blame_weight`
};

/// \brief The death of an endpoint and the parts of which a run may have caused it.
struct part_death {
  endpoint_hash incarnation{};
  time_ms age;
  std::vector<blamed_part> blamed;
};

/// \brief Evidence that a part is harmless: a request with it was answered.
struct harmless_part {
  part_fingerprint part{};
  time_ms age;
};

/// \brief A host has begun to try a part that is refused.
struct part_trial {
  part_fingerprint part{};
  time_ms age;
};

/// \brief Evidence for the other hosts. Times are durations because clocks differ.
struct part_news {
  std::vector<part_death> deaths;
  std::vector<harmless_part> harmless;
  std::vector<part_trial> trials{};

  [[nodiscard]] bool empty() const noexcept {
    return deaths.empty() && harmless.empty() && trials.empty();
  }
};

/// \brief One death in the record of a part.
struct recorded_part_death {
  endpoint_hash incarnation{};
  double weight{};
  time_ms age;
};

/// \brief All deaths that are known of a part; none: the record is to be deleted.
struct part_record {
  part_fingerprint part{};
  std::vector<recorded_part_death> deaths;
};

/// \brief Why and for how long a request may not run.
struct part_refusal {
  part_fingerprint part{};
  bool quarantined{}; ///< false: there is no verdict yet
  time_ms remaining;
};

constexpr double most_exoneration = -3; ///< the lowest weight

/// \returns how much a run that had written for `written` is to blame for the death of its
/// endpoint, from 1 to `most_exoneration`; negative: it had gone on beyond the moment of a crash
[[nodiscard]] double blame_weight(const part_policy& policy, time_ms written) noexcept;

/// \brief Detects parts of prompts that crash the endpoints which begin to answer them, from the
/// evidence of all hosts. Not thread-safe.
class part_quarantine {
 public:
  explicit part_quarantine(const part_policy& policy = {}) : policy_{policy} {}

  /// \brief Records the death of an endpoint and this host's runs on it.
  void note_death(endpoint_hash incarnation, std::span<const cut_parts> runs, time_ms now);
  /// \brief Records that a request with these parts was answered, or that its answer has been
  /// written for longer than `harmless_after`.
  void note_harmless(std::span<const part_fingerprint> parts, time_ms now);
  /// \brief Merges another host's news.
  void merge(const part_news& news, time_ms now);
  /// \returns the records that are due to be written
  [[nodiscard]] std::vector<part_record> due_records(time_ms now) const;
  /// \brief Merges what the log holds.
  void merge_recorded(std::span<const part_record> records, time_ms now);
  /// \brief Records that the log holds these.
  void note_recorded(std::span<const part_record> records);
  /// \returns this host's news since the last call
  [[nodiscard]] part_news take_news();
  /// \returns all evidence, the parts with the most deaths first
  [[nodiscard]] part_news snapshot(time_ms now) const;

  /// \returns nothing when a request with these parts may run
  [[nodiscard]] std::optional<part_refusal> refusal(std::span<const part_fingerprint> parts,
                                                    time_ms now) const;
  /// \brief Lets one refused request find out whether its part still crashes endpoints.
  /// \returns the part that it tries; nothing: the request may not be sent
  [[nodiscard]] std::optional<part_fingerprint> begin_trial(std::span<const part_fingerprint> parts,
                                                            time_ms now);
  /// \brief Sets which host of how many this one is. One of them is to begin a trial.
  void set_hosts(std::uint64_t self, std::size_t hosts) noexcept;
  [[nodiscard]] bool is_harmless(part_fingerprint part, time_ms now) const;
  /// \returns the deaths that are known of a part
  [[nodiscard]] std::size_t deaths_of(part_fingerprint part) const;
  /// \returns the parts that are quarantined
  [[nodiscard]] std::vector<part_fingerprint> quarantined(time_ms now) const;
  /// \brief Drops expired evidence. Call it about once a second.
  void expire(time_ms now);

 private:
  struct death {
    endpoint_hash incarnation{};
    double weight{};
    time_ms at;
    bool own{false}; ///< found by this host
  };
  using death_list = std::vector<death>; ///< one of each incarnation
  struct harmless_state {
    time_ms at;
    time_ms told; ///< when other hosts were told
  };

  /// \returns whether the evidence is new
  bool add_death(part_fingerprint part, const death& added, time_ms now);
  void note_trial(part_fingerprint part, time_ms at);
  void add_harmless(part_fingerprint part, time_ms at, time_ms now);
  void tell_harmless(part_fingerprint part, time_ms now);
  void make_room_for_suspect();
  void make_room_for_harmless();
  /// \returns the deaths of a part without those that another part explains
  [[nodiscard]] death_list unexplained(part_fingerprint part) const;
  /// \returns when the deaths sufficed; nothing: they do not
  [[nodiscard]] std::optional<time_ms> sufficed_at(const death_list& deaths) const;
  /// \returns when the deaths of a part in a request sufficed; nothing: it may run
  [[nodiscard]] std::optional<time_ms>
  suspected_since(part_fingerprint part, std::span<const part_fingerprint> parts) const;
  /// \returns whether an endpoint died under a part after the deaths had settled
  [[nodiscard]] bool has_failed_trial(part_fingerprint part, time_ms suspected) const;
  /// \returns time from `suspected` to the next trial
  [[nodiscard]] time_ms trial_wait(part_fingerprint part, time_ms suspected) const;
  [[nodiscard]] bool may_try(part_fingerprint part, time_ms suspected, time_ms now) const;
  /// \returns whether the deaths may be due to a part that is not in the request
  [[nodiscard]] bool has_other_explanation(part_fingerprint part, const death_list& deaths,
                                           std::span<const part_fingerprint> parts) const;

  part_policy policy_;
  absl::flat_hash_map<part_fingerprint, death_list> suspects_;
  absl::flat_hash_map<part_fingerprint, harmless_state> harmless_;
  absl::flat_hash_map<part_fingerprint, std::size_t> logged_; ///< deaths in the log
  absl::flat_hash_map<part_fingerprint, time_ms> trials_;     ///< when the last one began
  std::uint64_t self_{0};
  std::size_t hosts_{1};
  part_news news_;
};

} // namespace sedgechute
