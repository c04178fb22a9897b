#pragma once

#include "claims/impl/claim_table.hpp"
#include "claims/impl/host_list.hpp"
#include "claims/impl/relinquished_tables.hpp"
#include "claims/impl/shard_map.hpp"
#include "claims/impl/table_transfer.hpp"

#include <map>

namespace sedgechute {

/// \brief Serves the shards of which this host is holder or witness.
///
/// Invariant: the holder announces a change only after the witness of the same epoch has stored it,
/// and a witness that has sealed an epoch stores nothing more under it. Therefore a witness that
/// takes over knows every attempt that can ever be dispatched under the sealed epoch.
class shard_server {
 public:
  shard_server(incarnation self, const claims_options& options, shard_map& shards,
               const host_list& hosts, std::vector<addressed_claims_message>& output);

  /// \brief Starts or ends the roles of this host after a delegation of the shard.
  /// \param before  status of the shard before the delegation
  void on_delegation(time_ms now, const shard_status& before, const shard_status& after);

  /// \brief As `on_delegation`, for a shard that was delegated in log records this host has not
  /// read.
  void on_gap(const shard_status& after);

  void on_request(time_ms now, const claim_request& request);
  void on_countersign(time_ms now, const incarnation& from, const countersign_request& request);
  void on_countersigned(time_ms now, const countersign_reply& reply);
  void on_report(time_ms now, const claim_report& report);
  void on_part(time_ms now, const incarnation& from, const table_part& part);
  void on_part_ack(const table_part_ack& ack);
  void on_epoch_seen(time_ms now, const incarnation& from, const epoch_seen& seen);
  /// \brief Repeats unanswered messages and removes expired claims.
  void tick(time_ms now);

  /// \brief Makes this host countersign no more claims under the shard's current epoch.
  void seal(const claim_shard& shard);
  /// \returns whether this host knows every claim since the shard's `known_since`
  [[nodiscard]] bool is_complete(const claim_shard& shard) const;
  /// \returns whether this host is the holder and its witness is known to have the whole table
  [[nodiscard]] bool witness_is_complete(const claim_shard& shard) const;
  /// \returns the epoch since which this holder knows all claims after receiving a table of an
  /// earlier epoch, once its witness has that table too; 0 if there is none
  [[nodiscard]] std::uint64_t recovered_since(const claim_shard& shard) const;
  /// \returns whether this host holds the shard but may lack claims granted during a gap in the
  /// log, so that it needs a new epoch
  [[nodiscard]] bool has_log_gap(const claim_shard& shard) const;
  [[nodiscard]] bool is_sealed(const claim_shard& shard) const;
  /// \returns the countersigned claim under a key, if this host stores it
  [[nodiscard]] std::optional<claim> find(const claim_shard& shard, const claim_id& id) const;
  [[nodiscard]] std::size_t stored_claims() const noexcept { return pool_.claims; }

 private:
  struct local_shard {
    explicit local_shard(claim_pool& pool) : table{pool} {}
    claim_table table;
    std::uint64_t sealed{};     ///< epoch under which this host countersigns no more claims
    bool complete{};            ///< as witness: all parts of the holder's table have arrived
    arriving_table from_holder; ///< as new witness: the holder's table
    bool log_gap{};             ///< as holder: may lack claims granted during a gap in the log
    bool witness_sealed{};      ///< as holder: the witness may have sealed this epoch
    table_transfer to_witness;  ///< as holder: this table
    std::map<incarnation, arriving_table> recovered; ///< as holder: tables of an earlier epoch
    std::uint64_t recovered_since{}; ///< as holder: `known_since` of a received table, or 0
  };

  [[nodiscard]] const shard_status* find_held(const claim_shard& shard) const;
  [[nodiscard]] local_shard& local_shard_for(const claim_shard& shard);
  void propose(time_ms now, const shard_status& status, const claim& next);
  void ask_witness(time_ms now, const shard_status& status, const proposed_claim& wanted);
  // Takes the claim by value, because committing erases the proposal that may contain it.
  void commit(time_ms now, const shard_status& status, claim subject);
  void reply(const claim_request& request, const shard_status& status, claim_verdict verdict,
             const std::optional<stored_claim>& stored);
  void relinquish(const shard_status& before, const shard_status& after);
  void send_epoch_seen(const shard_status& status);
  void accept_recovered(time_ms now, const incarnation& from, const shard_status& status,
                        const table_part& part);
  void forget_expired(time_ms now, const shard_status& status, local_shard& local);
  [[nodiscard]] bool has_room(const team_id& team) const;
  void send(const incarnation& to, claims_message message);

  incarnation self_;
  claims_options options_;
  shard_map* shards_;
  const host_list* hosts_;
  std::vector<addressed_claims_message>* output_;
  claim_pool pool_;
  std::map<claim_shard, local_shard> local_shards_;
  relinquished_tables relinquished_;
  transfer_rate_limiter transfer_limiter_;
  time_ms next_cleanup_;
  time_ms next_sweep_;
  std::uint64_t last_transfer_{0};
  std::uint64_t last_proposal_{0};
};

} // namespace sedgechute
