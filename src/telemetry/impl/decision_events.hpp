#pragma once

#include "kernel/kernel.hpp"

#include <deque>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief What was decided. Routine decisions are sampled under load, the others always kept.
enum class decision_kind {
  admitted,        ///< routine: accepted and reserved
  queued,          ///< routine: waits for a slot
  endpoint_chosen, ///< routine
  answered,        ///< routine
  refused,
  retried,
  resumed,
  cancelled,
  endpoint_ejected,
  endpoint_readmitted,
  endpoint_leaving,
  connection_silent,
  content_quarantined,
  quarantine_lifted,
  order_given,
  order_refused,
  budget_requested,
  budget_granted,
  budget_sealed,
  budget_reclaimed,
  budget_written_off,
  budget_transferred,
  claim_decided,
  document_applied,
  document_rejected,
  peer_suspected,
  peer_returned,
  log_lost,
  log_returned,
  state_changed, ///< of this host: ready, draining, stopping
};

/// \brief One decision with its reason; never a prompt, an answer or a key.
struct decision {
  decision_kind kind;
  time_ms at{}; ///< wall time
  std::string request{};
  std::string team{};
  std::string subject{}; ///< endpoint, host, pool or document concerned
  std::string reason{};
  std::int64_t amount{0};      ///< tokens, revision, wait in ms: as the kind has it
  std::uint64_t sequence{0};   ///< given when recorded
  std::uint32_t stands_for{1}; ///< so many decisions of this kind, by sampling
};

/// \brief Which decisions to return; empty fields match all.
struct decision_filter {
  std::uint64_t after{0}; ///< sequence
  std::string request{};
  std::string team{};
  std::string subject{};
  std::size_t most{1000}; ///< the newest are returned
};

/// \brief A bounded record of decisions. Under load routine decisions are sampled by request, so
/// that either the whole story of a request is kept or nothing of it.
class decision_events {
 public:
  /// \param capacity    decisions kept of either sort, routine and other
  /// \param per_second  routine decisions kept a second before sampling begins
  decision_events(std::size_t capacity, std::uint32_t per_second) noexcept
      : capacity_{capacity}, per_second_{per_second} {}

  void record(decision happened);

  /// \returns oldest first
  [[nodiscard]] std::vector<decision> find(const decision_filter& wanted) const;

  /// \returns routine decisions left out by sampling
  [[nodiscard]] std::uint64_t sampled_out() const;

 private:
  [[nodiscard]] bool keep_routine(decision& happened);

  std::size_t capacity_;
  std::uint32_t per_second_;
  mutable ordered_mutex mutex_{lock_rank::telemetry};
  std::deque<decision> routine_;
  std::deque<decision> notable_;
  std::uint64_t next_sequence_{1};
  std::int64_t second_{0};
  std::uint32_t offered_{0}; ///< routine ones in this second
  unsigned shift_{0};        ///< one request in 2^shift is kept
  std::uint64_t sampled_out_{0};
};

[[nodiscard]] constexpr bool is_routine(decision_kind kind) noexcept {
  return kind == decision_kind::admitted || kind == decision_kind::queued ||
         kind == decision_kind::endpoint_chosen || kind == decision_kind::answered;
}

/// \returns one JSON object
[[nodiscard]] std::string to_json(const decision& happened);

template <>
struct enum_names<decision_kind> {
  static constexpr auto entries =
      enum_table<decision_kind>({{decision_kind::admitted, "admitted"},
                                 {decision_kind::queued, "queued"},
                                 {decision_kind::endpoint_chosen, "endpoint_chosen"},
                                 {decision_kind::answered, "answered"},
                                 {decision_kind::refused, "refused"},
                                 {decision_kind::retried, "retried"},
                                 {decision_kind::resumed, "resumed"},
                                 {decision_kind::cancelled, "cancelled"},
                                 {decision_kind::endpoint_ejected, "endpoint_ejected"},
                                 {decision_kind::endpoint_readmitted, "endpoint_readmitted"},
                                 {decision_kind::endpoint_leaving, "endpoint_leaving"},
                                 {decision_kind::connection_silent, "connection_silent"},
                                 {decision_kind::content_quarantined, "content_quarantined"},
                                 {decision_kind::quarantine_lifted, "quarantine_lifted"},
                                 {decision_kind::order_given, "order_given"},
                                 {decision_kind::order_refused, "order_refused"},
                                 {decision_kind::budget_requested, "budget_requested"},
                                 {decision_kind::budget_granted, "budget_granted"},
                                 {decision_kind::budget_sealed, "budget_sealed"},
                                 {decision_kind::budget_reclaimed, "budget_reclaimed"},
                                 {decision_kind::budget_written_off, "budget_written_off"},
                                 {decision_kind::budget_transferred, "budget_transferred"},
                                 {decision_kind::claim_decided, "claim_decided"},
                                 {decision_kind::document_applied, "document_applied"},
                                 {decision_kind::document_rejected, "document_rejected"},
                                 {decision_kind::peer_suspected, "peer_suspected"},
                                 {decision_kind::peer_returned, "peer_returned"},
                                 {decision_kind::log_lost, "log_lost"},
                                 {decision_kind::log_returned, "log_returned"},
                                 {decision_kind::state_changed, "state_changed"}});
};

} // namespace sedgechute
