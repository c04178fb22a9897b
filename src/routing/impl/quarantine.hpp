#pragma once

#include "kernel/kernel.hpp"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <span>
#include <vector>

namespace sedgechute {

/// \brief Stable hash of a request's model and prompt, independent of the caller.
using content_fingerprint = std::uint64_t;

/// \brief Thresholds and durations of the quarantine.
struct quarantine_policy {
  std::uint32_t endpoints_lost{2}; ///< endpoint deaths that quarantine a content
  /// Endpoint deaths that quarantine a content even if other endpoints died at the same time.
  std::uint32_t endpoints_lost_in_outages{5};
  /// Endpoint deaths after which a content explains them, so that they show no outage.
  std::size_t explaining_deaths{3};
  /// Time from the death that reaches `endpoints_lost` to the verdict. Other deaths of an outage
  /// become known in it.
  time_ms settling_time{0};
  std::size_t outage_deaths{3}; ///< deaths within `outage_window` that count as one outage
  time_ms outage_window{4000};
  time_ms evidence_lifetime{600000};    ///< age at which an endpoint's death no longer counts
  time_ms quarantine_duration{3600000}; ///< duration of a quarantine
  /// The same with fewer deaths than `endpoints_lost_in_outages`: the content may be harmless.
  time_ms first_quarantine_duration{3600000};
  std::size_t max_suspects{4096};
  std::size_t completed_kept{4096}; ///< recently completed contents to remember
  std::size_t max_deaths{4096};
  std::size_t max_verdicts{4096};
};

/// \brief A run of some content that was cut off by the death of its endpoint.
struct death_evidence {
  content_fingerprint content{};
  endpoint_id endpoint;
  std::uint64_t life{}; ///< the endpoint's incarnation; 0 if unknown
  time_ms ran_for;      ///< from dispatch to the death
  time_ms age;          ///< since the death
};

/// \brief Evidence that suspected content is harmless: a run of it survived.
struct acquittal {
  content_fingerprint content{};
  time_ms age;
};

/// \brief A quarantine as sent between hosts. Times are durations because clocks differ.
struct quarantine_record {
  content_fingerprint content{};
  std::uint32_t
      version{}; ///< incremented by each change; the higher one wins, at a tie the lifted one
  bool lifted{};
  time_ms remaining;
  std::vector<endpoint_id> endpoints; ///< endpoints that died while running it, for operators
};

/// \brief Evidence and verdicts for the other hosts. It is sent at once rather than in the next
/// round, because the caller of a cut request resends it within a second, through any host.
struct quarantine_news {
  std::vector<death_evidence> deaths;
  std::vector<acquittal> acquittals;
  std::vector<quarantine_record> records;

  [[nodiscard]] bool empty() const noexcept {
    return deaths.empty() && acquittals.empty() && records.empty();
  }
};

/// \brief Whether and where a request with some content may run.
enum class content_standing {
  clear,
  suspect,     ///< on an endpoint without another suspect
  quarantined, ///< not at all
};

template <>
struct enum_names<content_standing> {
  static constexpr auto entries =
      enum_table<content_standing>({{content_standing::clear, "clear"},
                                    {content_standing::suspect, "suspect"},
                                    {content_standing::quarantined, "quarantined"}});
};

/// \brief Why and for how long a content may not run.
struct content_refusal {
  bool quarantined{}; ///< false: the deaths of its endpoints have not settled yet
  time_ms remaining;
  std::optional<std::uint64_t> part{}; ///< of the prompt that is the cause; nothing: the content
};

/// \brief A run that was on an endpoint when the endpoint died.
struct cut_run {
  content_fingerprint content{};
  time_ms ran_for;
};

/// \brief Detects content that crashes the endpoints which run it, from the evidence of all hosts,
/// and quarantines it. Not thread-safe; needs a lock of rank `endpoints`.
class quarantine_table {
 public:
  explicit quarantine_table(quarantine_policy policy = {});

  /// \brief Records the death of an endpoint and this host's runs on it. Call it without runs as
  /// well: deaths without a suspect show a mass outage.
  void note_death(const endpoint_id& endpoint, std::uint64_t life, std::span<const cut_run> runs,
                  time_ms now);

  /// \brief Records that a run of this content has completed or has lasted this long.
  void note_survived(content_fingerprint content, time_ms ran_for, bool completed, time_ms now);

  /// \brief Lifts a quarantine on an operator's request.
  /// \returns whether the content was quarantined
  bool lift(content_fingerprint content, time_ms now);

  /// \brief Merges another host's news.
  void merge(const quarantine_news& news, time_ms now);

  /// \returns the news for all other hosts since the last call
  [[nodiscard]] quarantine_news take_news();

  [[nodiscard]] content_standing standing(content_fingerprint content) const;
  /// \returns nothing when a request with the content may run
  [[nodiscard]] std::optional<content_refusal> refusal(content_fingerprint content, time_ms now);

  /// \brief Drops expired evidence and verdicts, and gives those that have settled. Call it about
  /// once a second.
  void expire(time_ms now);

  /// \returns all verdicts, lifted ones included, for a host that has just started
  [[nodiscard]] std::vector<quarantine_record> records(time_ms now) const;
  /// \returns all that is known of one content
  [[nodiscard]] quarantine_news snapshot_of(content_fingerprint content, time_ms now) const;
  /// \returns the deaths that are attributed to a content
  [[nodiscard]] std::size_t deaths_of(content_fingerprint content) const;
  /// \returns whether a verdict replaces the one that is known
  [[nodiscard]] bool is_newer(const quarantine_record& record) const;
  /// \returns all evidence and verdicts, the contents with the most deaths first
  [[nodiscard]] quarantine_news snapshot(time_ms now) const;
  [[nodiscard]] std::size_t suspects() const noexcept { return suspects_.size(); }

 private:
  struct ended_run {
    endpoint_id endpoint;
    std::uint64_t life{};
    time_ms ran_for;
    time_ms at;
  };
  using suspect_runs = std::vector<ended_run>;

  struct verdict {
    quarantine_record record;
    time_ms since;
    time_ms until;
  };

  /// Whether the evidence suffices for a verdict, and when it has settled.
  struct assessment {
    bool sufficient{false};
    time_ms settles_in;
    std::vector<endpoint_id> endpoints;
  };

  struct death {
    endpoint_id endpoint;
    std::uint64_t life{};
    time_ms at;
  };

  void append_known(quarantine_news& to, content_fingerprint content, time_ms now) const;
  [[nodiscard]] bool completed_lately(content_fingerprint content, time_ms now) const;
  void note_completed(content_fingerprint content, time_ms at);
  void note_end_of(const endpoint_id& endpoint, std::uint64_t life, time_ms at);
  bool add_run(content_fingerprint content, const ended_run& run);
  void make_room_for_suspect();
  void make_room_for_verdict();
  [[nodiscard]] bool is_quarantined(content_fingerprint content) const;
  [[nodiscard]] suspect_runs unattributed_runs(content_fingerprint content) const;
  /// \returns the runs of all contents that explain the deaths of their endpoints
  [[nodiscard]] std::vector<const suspect_runs*> explanations() const;
  [[nodiscard]] bool is_part_of_outage(const ended_run& run, const suspect_runs& runs,
                                       const std::vector<const suspect_runs*>& others) const;
  [[nodiscard]] suspect_runs excluding_outages(const suspect_runs& runs) const;
  [[nodiscard]] bool is_sole_candidate(content_fingerprint content,
                                       const suspect_runs& ended) const;
  [[nodiscard]] time_ms settles_in(const suspect_runs& runs, time_ms now) const;
  [[nodiscard]] assessment assess(content_fingerprint content, time_ms now) const;
  void acquit(content_fingerprint content, time_ms now);
  void evaluate(content_fingerprint content, time_ms now);
  void evaluate_all(time_ms now);
  void reevaluate_recent(time_ms now);
  void expire_verdicts(time_ms now);
  void set_verdict(content_fingerprint content, bool lifted, std::vector<endpoint_id> endpoints,
                   time_ms now);
  void merge_record(const quarantine_record& record, time_ms now);

  quarantine_policy policy_;
  absl::flat_hash_map<content_fingerprint, suspect_runs> suspects_;
  absl::flat_hash_map<content_fingerprint, verdict> verdicts_;
  absl::flat_hash_map<content_fingerprint, time_ms> completed_;
  std::vector<content_fingerprint> completed_order_;
  std::size_t completed_next_{};
  std::vector<death> deaths_;
  quarantine_news news_;
};

} // namespace sedgechute
