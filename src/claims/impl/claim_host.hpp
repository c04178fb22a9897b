#pragma once

#include "claims/impl/claim_client.hpp"
#include "claims/impl/delegation_policy.hpp"
#include "claims/impl/shard_server.hpp"

#include <optional>

namespace sedgechute {

/// \brief What is to be done after a call.
struct claims_output {
  std::vector<addressed_claims_message> messages; ///< may be lost, repeated or reordered
  std::vector<claims_record> records;             ///< to append; repeated until read back
  std::vector<claim_decision> decisions;          ///< for requests of this host
};

/// \brief Figures for metrics.
struct claims_statistics {
  std::size_t shards_held{};
  std::size_t shards_witnessed{};
  std::size_t
      shards_with_unknown_claims{};    ///< where callers' keys may be answered `outcome unknown`
  std::size_t shards_without_holder{}; ///< whose holder is not live
  std::size_t stored_claims{};
  std::size_t open_requests{};
  std::size_t retained_answers{};
  std::size_t retained_bytes{};
  std::size_t evicted_answers{};
};

/// \brief Everything one host does for idempotency keys.
///
/// Not thread-safe: the owner holds one lock around every call and passes on the output after each.
class claim_host {
 public:
  claim_host(incarnation self, data_centre_id data_centre, const claims_options& options,
             std::uint64_t seed);
  claim_host(const claim_host&) = delete;
  claim_host& operator=(const claim_host&) = delete;
  ~claim_host() = default;

  /// \brief A record of the log, in order of offsets, each offset once.
  void on_record(time_ms now, std::uint64_t offset, const claims_record& record);
  void on_message(time_ms now, const incarnation& from, const claims_message& message);
  /// \brief The hosts that are not dead, this one among them, whenever they change.
  void on_members(time_ms now, const std::vector<live_host>& hosts);
  /// \brief Proof from outside, e.g. by an operator, that an incarnation can do nothing any more.
  void on_ended(time_ms now, const incarnation& who);
  /// \brief Does what is due; to be called every 50 ms or so.
  void tick(time_ms now);

  /// \returns a key that this data centre decides for, or nothing while no shard has a live holder
  [[nodiscard]] std::optional<std::string> mint_key(time_ms now);

  /// \brief Asks for the right to run a request. A decision on the ticket follows within
  /// 2 * `begin_timeout` + `fetch_timeout`, often in the next output.
  /// \returns the ticket
  std::uint64_t begin(time_ms now, const claimed_request& request);
  /// \brief Asks how a key stands; the decision is never to proceed.
  std::uint64_t look_up(time_ms now, const team_id& team, const std::string& key);
  /// \brief Says that a request that may proceed was dispatched, and how far its stream has come.
  /// To be called before the dispatch, and then as often as is convenient.
  /// \param run_attempt  the attempt under which the endpoint knows the run, when an earlier one's
  /// is taken up again; 0 for this one
  void progress(time_ms now, std::uint64_t ticket, const endpoint_id& endpoint,
                std::uint64_t position, std::uint32_t run_attempt = 0);
  void finish_answered(time_ms now, std::uint64_t ticket, const retained_answer& answer);
  /// \brief The request will not be dispatched, for the reason `kind`. A decision to refuse
  /// follows: of this kind if the caller may be told `not run`, else of kind outcome_unknown.
  void finish_refused(time_ms now, std::uint64_t ticket, error_kind kind);
  /// \brief The request was dispatched and its outcome is not known.
  void finish_unknown(time_ms now, std::uint64_t ticket);

  [[nodiscard]] claims_output take_output();

  /// \returns what this host knows by itself. A key that was only refused undispatched is not
  /// known: only a decision may say `not run`.
  [[nodiscard]] claim_description describe(const team_id& team, const std::string& key);
  /// \returns the answer retained on this host, or null
  [[nodiscard]] const retained_answer* retained(const team_id& team, const std::string& key);
  [[nodiscard]] claims_statistics statistics(time_ms now) const;
  [[nodiscard]] const shard_map& shards() const noexcept { return shards_; }

  /// \brief Starts to hand over every shard.
  void drain(time_ms now);
  /// \returns whether no shard and no request needs this host any more
  [[nodiscard]] bool drained() const;

  [[nodiscard]] claims_snapshot snapshot() const { return shards_.snapshot(); }
  /// \brief Goes on from a checkpoint instead of reading the log up to there: at the start, or when
  /// the log has dropped what this host has not read.
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
