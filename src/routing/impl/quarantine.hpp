#pragma once

#include "kernel/kernel.hpp"

#include <absl/container/flat_hash_map.h>

#include <span>
#include <vector>

namespace sedgechute {

/// \brief Stable hash of what an engine is asked to run: model and prompt, without the caller.
using content_fingerprint = std::uint64_t;

struct quarantine_policy {
  std::uint32_t endpoints_lost{2}; ///< that the same content must have ended
  std::size_t mass_deaths{3};      ///< endpoints that ended together and count as one outage
  time_ms mass_window{4000};
  time_ms suspicion{600000}; ///< how long an ended endpoint counts
  time_ms sentence{3600000}; ///< how long a quarantine lasts
  std::size_t most_suspects{4096};
  std::size_t completed_kept{4096}; ///< contents that came through lately
};

/// \brief One run of some content that was cut off because its endpoint ended.
struct death_evidence {
  content_fingerprint content{};
  endpoint_id endpoint;
  std::uint64_t life{}; ///< the endpoint's incarnation, 0 when not known
  time_ms ran_for;      ///< from dispatch to the end
  time_ms age;          ///< since the end
};

/// \brief A run of suspected content came through, so the content does not end what runs it.
struct acquittal {
  content_fingerprint content{};
  time_ms age;
};

/// \brief A quarantine as hosts pass it on. Spans, not instants: clocks differ.
struct quarantine_record {
  content_fingerprint content{};
  std::uint32_t version{}; ///< raised by each change; the higher one holds, at a tie the lifted one
  bool lifted{};
  time_ms remaining;
  std::vector<endpoint_id> endpoints; ///< ended by it, for the operator
};

/// \brief What a host has to tell the others, at once rather than at the next round: the caller of
/// a cut request sends it again within a second, by any host.
struct quarantine_news {
  std::vector<death_evidence> deaths;
  std::vector<acquittal> acquittals;
  std::vector<quarantine_record> records;

  [[nodiscard]] bool empty() const noexcept {
    return deaths.empty() && acquittals.empty() && records.empty();
  }
};

/// \brief How a request with this content may run.
enum class content_standing {
  clear,
  suspect,     ///< only on an endpoint with no other suspect
  quarantined, ///< not at all
};

template <>
struct enum_names<content_standing> {
  static constexpr auto entries =
      enum_table<content_standing>({{content_standing::clear, "clear"},
                                    {content_standing::suspect, "suspect"},
                                    {content_standing::quarantined, "quarantined"}});
};

/// \brief One run that was on an endpoint when it ended.
struct cut_run {
  content_fingerprint content{};
  time_ms ran_for;
};

/// \brief Content that ends the endpoints which run it, judged from the evidence of all hosts. Not
/// thread-safe; needs a lock of rank `endpoints`.
class quarantine_table {
 public:
  explicit quarantine_table(quarantine_policy policy = {});

  /// \brief An endpoint ended with these runs of this host on it; to be called without runs, too.
  void note_death(const endpoint_id& endpoint, std::uint64_t life, std::span<const cut_run> runs,
                  time_ms now);

  /// \brief A run of this content has come through, or has got this far.
  void note_survived(content_fingerprint content, time_ms ran_for, bool completed, time_ms now);

  /// \brief An operator's word that the content is harmless.
  /// \returns whether it was in quarantine
  bool lift(content_fingerprint content, time_ms now);

  /// \brief Takes in another host's news.
  void merge(const quarantine_news& news, time_ms now);

  /// \returns what has to be sent to all hosts since the last call
  [[nodiscard]] quarantine_news take_news();

  [[nodiscard]] content_standing standing(content_fingerprint content) const;

  /// \brief Drops what has expired. To be called about once a second.
  void expire(time_ms now);

  /// \returns the verdicts, lifted ones included, for hosts that have just started
  [[nodiscard]] std::vector<quarantine_record> records(time_ms now) const;
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

  struct death {
    endpoint_id endpoint;
    std::uint64_t life{};
    time_ms at;
  };

  [[nodiscard]] bool completed_lately(content_fingerprint content, time_ms now) const;
  void note_completed(content_fingerprint content, time_ms at);
  void note_end_of(const endpoint_id& endpoint, std::uint64_t life, time_ms at);
  bool add_run(content_fingerprint content, const ended_run& run);
  [[nodiscard]] bool is_mass(const ended_run& run, const suspect_runs& runs) const;
  [[nodiscard]] std::vector<ended_run> counted(const suspect_runs& runs) const;
  [[nodiscard]] bool is_alone(content_fingerprint content,
                              const std::vector<ended_run>& ended) const;
  void judge(content_fingerprint content, time_ms now);
  void judge_again(time_ms now);
  void acquit_bystanders(content_fingerprint culprit, const std::vector<ended_run>& ended);
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
