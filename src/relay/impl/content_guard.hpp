#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/crash_evidence.hpp"
#include "relay/impl/part_quarantine.hpp"
#include "relay/impl/prompt_parts.hpp"
#include "relay/impl/send_outcome.hpp"
#include "routing/impl/quarantine.hpp"
#include "telemetry/telemetry.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sedgechute {

struct content_guard_options {
  quarantine_policy policy{.endpoints_lost = 3,
                           .settling_time = time_ms{1500},
                           .first_quarantine_duration = time_ms{60000}};
  part_policy parts;
  crash_evidence_options evidence;
  std::size_t max_outgoing{256};  ///< entries of each kind that wait to be sent to other hosts
  std::size_t recorded_deaths{2}; ///< deaths from which on the evidence on a content is recorded
  /// Time after which a host records what it was told by a host that has not recorded it.
  time_ms record_after{4000};
  std::size_t max_logged{8192};    ///< contents of which it is known what the log holds
  std::size_t max_due_records{32}; ///< contents that are recorded at a time
};

/// \brief One send of a request to an endpoint.
struct content_run {
  content_fingerprint content{};
  endpoint_id endpoint;
  endpoint_hash incarnation{};
  time_ms sent; ///< just before the first byte
  std::vector<part_fingerprint> parts{};
  time_ms written{};    ///< for how long the endpoint has written its answer
  bool unframed{false}; ///< the answer ends with its connection, as it also does in a crash
};

/// \brief Refuses requests that crash the endpoints that run them. It combines the evidence of this
/// host with that of the other hosts and with the recorded quarantines. Thread-safe.
class content_guard {
 public:
  explicit content_guard(const content_guard_options& options, structured_log& log);

  /// \returns nothing when a request with the content may be sent
  /// \param parts  of its prompt
  [[nodiscard]] std::optional<content_refusal>
  refusal(content_fingerprint content, std::span<const part_fingerprint> parts, time_ms now);
  [[nodiscard]] std::optional<content_refusal> refusal(content_fingerprint content, time_ms now) {
    return refusal(content, {}, now);
  }
  /// \brief Lets one request that is refused for a part find out whether the part still crashes
  /// endpoints.
  /// \returns whether the request may be sent, once
  [[nodiscard]] bool begin_trial(content_fingerprint content,
                                 std::span<const part_fingerprint> parts, time_ms now);
  /// \brief Sets which host of how many this one is.
  void set_hosts(const std::string& self, std::size_t hosts);
  /// \brief Records the end of a send.
  void note_end(const content_run& run, send_outcome outcome, time_ms now);
  /// \brief Records that the answer of a run has been written for longer than
  /// `part_policy::harmless_after`.
  void note_long_answer(const content_run& run, time_ms now);
  /// \brief Records that an incarnation of an endpoint is dead.
  void note_lost(const endpoint_id& endpoint, endpoint_hash incarnation, loss_source source,
                 time_ms now);
  /// \brief Records whether this host has lost its paths to all endpoints. Connections that break
  /// then, or shortly before, are no evidence.
  void set_cut_off(bool cut_off);
  /// \brief Drops expired evidence. Call it about once a second.
  void expire(time_ms now);

  /// \returns this host's own evidence since the last call, for all other hosts
  [[nodiscard]] quarantine_news take_news();
  /// \returns all that is known, for hosts that missed news
  [[nodiscard]] quarantine_news snapshot(time_ms now) const;
  /// \brief Takes the news of another host.
  void merge(const quarantine_news& news, time_ms now);

  /// \returns what is known of contents whose record is out of date and that is due to be written
  [[nodiscard]] quarantine_news due_records(time_ms now) const;
  /// \brief Takes what the log holds.
  void merge_recorded(const quarantine_news& recorded, time_ms now);
  /// \brief Records that the log holds the result of `due_records`.
  void note_recorded(const quarantine_news& written, time_ms now);

  /// \returns this host's own evidence on parts since the last call, for all other hosts
  [[nodiscard]] part_news take_part_news();
  [[nodiscard]] part_news part_snapshot(time_ms now) const;
  void merge(const part_news& news, time_ms now);
  /// \returns the records of parts that are due to be written
  [[nodiscard]] std::vector<part_record> due_part_records(time_ms now) const;
  void merge_recorded(const std::vector<part_record>& recorded, time_ms now);
  void note_recorded(const std::vector<part_record>& written);

  [[nodiscard]] const part_policy& policy() const noexcept { return options_.parts; }

  [[nodiscard]] std::size_t quarantined(time_ms now) const;
  [[nodiscard]] std::size_t quarantined_parts(time_ms now) const;

 private:
  /// What the log holds of one content.
  struct logged_content {
    std::uint32_t version{};
    std::size_t deaths{};
  };

  void note_answered(const broken_run& run, time_ms now);
  void note_alive(const content_run& run, time_ms now);
  void note_broken(const content_run& run, const broken_run& ended, time_ms now);
  void note_dead(const endpoint_id& endpoint, endpoint_hash incarnation,
                 std::span<const broken_run> runs, time_ms now);
  void take_own_news(time_ms now);
  void take_derived_news(time_ms now);
  /// \returns whether this host knows more of a content than the log
  [[nodiscard]] bool is_ahead_of_log(content_fingerprint content, time_ms now) const;
  /// \brief Has the contents that changed recorded at `due`, unless another host does it before.
  void note_changes(const quarantine_news& changes, time_ms now, time_ms due);
  void note_logged(const quarantine_news& logged, time_ms now);
  void log_part_verdicts(time_ms now);
  void log_verdict(const quarantine_record& record, std::string_view source) const;

  content_guard_options options_;
  structured_log& log_;
  mutable ordered_mutex mutex_{lock_rank::endpoints};
  quarantine_table table_;
  part_quarantine parts_;
  crash_evidence evidence_;
  bool cut_off_{false};
  std::vector<part_fingerprint> logged_part_verdicts_; ///< sorted
  quarantine_news outgoing_;
  std::unordered_map<content_fingerprint, logged_content> logged_;
  std::unordered_map<content_fingerprint, time_ms> unrecorded_; ///< when each is due
};

} // namespace sedgechute
