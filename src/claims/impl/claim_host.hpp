#pragma once

#include "claims/impl/claim_client.hpp"
#include "claims/impl/delegation_policy.hpp"
#include "claims/impl/shard_server.hpp"

#include <optional>

namespace sedgechute {

/// \brief The actions that a caller must carry out.
struct claims_output {
  std::vector<addressed_claims_message> messages; ///< to send; may be lost, repeated or reordered
  std::vector<claims_record> records;    ///< to append to the log; repeated until read back from it
  std::vector<claim_decision> decisions; ///< for requests of this host
};

/// \brief Counts for metrics.
struct claims_statistics {
  std::size_t shards_held{};
  std::size_t shards_witnessed{};
  std::size_t shards_with_unknown_claims{}; ///< whose holder may lack claims on callers' keys
  std::size_t shards_without_holder{};      ///< whose holder is not live
  std::size_t stored_claims{};
  std::size_t open_requests{};
  std::size_t retained_answers{};
  std::size_t retained_bytes{};
  std::size_t evicted_answers{};
};

/// \brief All handling of idempotency keys on one host, as entry host, holder and witness.
///
/// Not thread-safe: the owner must lock around every call and carry out the output after each.
class claim_host {
 public:
  claim_host(incarnation self, data_centre_id data_centre, const claims_options& options,
             std::uint64_t seed);
  claim_host(const claim_host&) = delete;
  claim_host& operator=(const claim_host&) = delete;
  ~claim_host() = default;

  /// \brief Applies a record of the log. Offsets must be ascending.
  void on_record(time_ms now, std::uint64_t offset, const claims_record& record);
  void on_message(time_ms now, const incarnation& from, const claims_message& message);
  /// \brief Replaces the list of live hosts. To be called when it changes.
  /// \param hosts  all hosts not known to be dead, including this one
  void on_members(time_ms now, const std::vector<live_host>& hosts);
  /// \brief Records external proof, e.g. from an operator, that an incarnation has ended.
  void on_ended(time_ms now, const incarnation& who);
  /// \brief Performs timed work. To be called about every 50 ms.
  void tick(time_ms now);

  /// \returns a new key in a shard of this data centre, or nothing if none of them has a live
  /// holder
  [[nodiscard]] std::optional<std::string> mint_key(time_ms now);

  /// \brief Requests a claim for a request. A decision with the returned ticket follows within
  /// 2 * `begin_timeout` + `fetch_timeout`, often in the next output.
  /// \returns the ticket
  std::uint64_t begin(time_ms now, const claimed_request& request);
  /// \brief Queries the state of a key. The decision is never a `proceed_decision`.
  /// \returns the ticket
  std::uint64_t look_up(time_ms now, const team_id& team, const std::string& key);
  /// \brief Records that a request which may proceed is dispatched, and the position of its stream.
  /// Must be called before the dispatch; later calls update the position.
  /// \param position  tokens sent to the caller
  /// \param run_attempt  attempt number under which the endpoint started the run, if the run of an
  /// earlier attempt is resumed; 0 for this attempt
  void progress(time_ms now, std::uint64_t ticket, const endpoint_id& endpoint,
                std::uint64_t position, std::uint32_t run_attempt = 0);
  void finish_answered(time_ms now, std::uint64_t ticket, const retained_answer& answer);
  /// \brief Ends a request that will not be dispatched, for the reason `kind`. A `refuse_decision`
  /// follows: of this kind if `not run` may be reported, else of kind outcome_unknown.
  void finish_refused(time_ms now, std::uint64_t ticket, error_kind kind);
  /// \brief Ends a request that was dispatched and whose outcome is unknown.
  void finish_unknown(time_ms now, std::uint64_t ticket);

  [[nodiscard]] claims_output take_output();

  /// \returns the state of a key as known to this host. A key with only refused attempts counts as
  /// unknown, because only a decision may report `not run`.
  [[nodiscard]] claim_description describe(const team_id& team, const std::string& key);
  /// \returns the answer retained on this host, or null
  [[nodiscard]] const retained_answer* retained(const team_id& team, const std::string& key);
  [[nodiscard]] claims_statistics statistics(time_ms now) const;
  [[nodiscard]] const shard_map& shards() const noexcept { return shards_; }

  /// \brief Starts handing over all shards to other hosts.
  void drain(time_ms now);
  /// \returns whether this host holds and witnesses no shard and has no open request or report
  [[nodiscard]] bool drained() const;

  [[nodiscard]] claims_snapshot snapshot() const { return shards_.snapshot(); }
  /// \brief Replaces the state of all shards by that of a checkpoint: at the start, or when the log
  /// no longer has records that this host has not read.
  void restore(time_ms now, const claims_snapshot& snapshot);

 private:
  void deliver(time_ms now, const incarnation& from, const claims_message& message);
  void deliver_local(time_ms now);

  incarnation self_;
  data_centre_id data_centre_;
  claims_options options_;
  random_source random_;
  std::vector<addressed_claims_message> messages_;
  std::vector<claims_record> records_;
  std::vector<claim_decision> decisions_;
  shard_map shards_;
  host_list hosts_;
  shard_server shard_server_;
  claim_client client_;
  delegation_policy policy_;
  time_ms next_observation_;
};

} // namespace sedgechute
