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

/// \brief A request of this host that runs no more, or never will.
struct ended_claim {
  claim_shard shard;
  claim subject;     ///< attempt 0 if no grant was seen
  bool granted{};    ///< the holder's grant was seen
  bool asked{true};  ///< the holder may have granted it
  bool copied{true}; ///< the peer needs no copy of the answer
  /// The refusal to be told once holder and witness confirm that no later attempt was granted.
  std::optional<error_kind> unconfirmed{};
};

/// \brief Tells the holder how attempts ended, and the peer what was answered, until both have
/// acknowledged it; gives back grants that arrive after their request was refused.
class claim_reporter {
 public:
  claim_reporter(const claims_options& options, const shard_map& shards, const host_list& hosts,
                 answer_store& answers, std::vector<addressed_claims_message>& output,
                 std::vector<claim_decision>& decisions);

  void add(time_ms now, ended_claim ended);
  /// \brief A grant for a request that may have ended already.
  void on_late_grant(time_ms now, const claim_reply& reply);
  void on_report_ack(const claim_report_ack& ack);
  void on_replica_stored(const replica_stored& stored);
  /// \brief Reports again at once to the new holder.
  void on_new_epoch(time_ms now, const claim_shard& shard);
  void tick(time_ms now);

  /// \returns whether everything is acknowledged, or has been tried for `report_timeout`. What is
  /// lost then costs retries an `outcome unknown`, never a second run.
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
