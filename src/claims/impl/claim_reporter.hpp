#pragma once

#include "claims/impl/answer_store.hpp"
#include "claims/impl/claim_decision.hpp"
#include "claims/impl/claims_message.hpp"
#include "claims/impl/due_tickets.hpp"
#include "claims/impl/host_list.hpp"
#include "claims/impl/shard_map.hpp"

#include <map>
#include <optional>

namespace sedgechute {

/// \brief A request of this host that has ended or will never run.
struct ended_claim {
  claim_shard shard;
  claim subject;     ///< attempt 0 if no grant was received
  bool granted{};    ///< the holder's grant was received
  bool asked{true};  ///< a claim was requested, so the holder may have granted it
  bool copied{true}; ///< the peer needs no copy of the answer
  /// Refusal to return to the caller once holder and witness confirm that no later attempt was
  /// granted.
  std::optional<error_kind> unconfirmed{};
};

/// \brief Reports the end of attempts to the holder and sends answers to the peer, until both have
/// acknowledged. Gives back grants that arrive after their request was refused.
class claim_reporter {
 public:
  claim_reporter(const claims_options& options, const shard_map& shards, const host_list& hosts,
                 answer_store& answers, std::vector<addressed_claims_message>& output,
                 std::vector<claim_decision>& decisions);

  void add(time_ms now, ended_claim ended);
  /// \brief Gives back a grant if its request has already ended.
  void on_late_grant(time_ms now, const claim_reply& reply);
  void on_report_ack(const claim_report_ack& ack);
  void on_replica_stored(const replica_stored& stored);
  /// \brief Repeats unacknowledged reports to the new holder.
  void on_new_epoch(time_ms now, const claim_shard& shard);
  void tick(time_ms now);

  /// \returns whether every report is acknowledged or was repeated for `report_timeout`. If a
  /// report is lost, retries get `outcome unknown`, but never a second run.
  [[nodiscard]] bool idle() const;
  [[nodiscard]] std::size_t size() const noexcept { return ended_.size(); }

 private:
  struct entry {
    ended_claim request;
    bool acknowledged{};
    time_ms ended;
    time_ms next_send;
    time_ms wait; ///< doubles while reports stay unacknowledged
    time_ms due;
  };

  void report(time_ms now, entry& ended);
  void confirm(entry& ended, bool current);
  void remove_if_done(std::uint64_t ticket);
  void schedule(entry& ended);
  void handle_due(time_ms now, entry& ended);

  claims_options options_;
  const shard_map* shards_;
  const host_list* hosts_;
  answer_store* answers_;
  std::vector<addressed_claims_message>* output_;
  std::vector<claim_decision>* decisions_;
  std::map<std::uint64_t, entry> ended_;
  due_tickets due_;
  time_ms last_tick_;
};

} // namespace sedgechute
