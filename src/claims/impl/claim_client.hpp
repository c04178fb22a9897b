#pragma once

#include "claims/impl/claim_reporter.hpp"

#include <map>
#include <unordered_map>

namespace sedgechute {

/// \brief Obtains claims for the requests that arrived at this host. It asks the shard's holder,
/// decides within a bounded time, and never refuses a request as `not run` that may have run.
class claim_client {
 public:
  claim_client(incarnation self, data_centre_id data_centre, const claims_options& options,
               const shard_map& shards, const host_list& hosts,
               std::vector<addressed_claims_message>& output,
               std::vector<claim_decision>& decisions);

  std::uint64_t begin(time_ms now, const claimed_request& request, bool look_up);
  void progress(time_ms now, std::uint64_t ticket, const endpoint_id& endpoint,
                std::uint64_t position, std::uint32_t run_attempt);
  void finish_answered(time_ms now, std::uint64_t ticket, retained_answer answer);
  void finish_refused(time_ms now, std::uint64_t ticket, error_kind kind);
  void finish_unknown(time_ms now, std::uint64_t ticket);

  void on_reply(time_ms now, const claim_reply& reply);
  void on_replica_put(const incarnation& from, const replica_put& put);
  void on_replica_fetch(const incarnation& from, const replica_fetch& fetch);
  void on_replica_reply(time_ms now, const replica_reply& reply);
  /// \brief Repeats requests and reports to the shard's new holder.
  /// \param lacks_claims  the new holder doesn't know the attempts that run here
  void on_new_epoch(time_ms now, const claim_shard& shard, bool lacks_claims);
  void tick(time_ms now);

  /// \returns whether no request is undecided or running and no report is pending
  [[nodiscard]] bool idle() const { return open_.empty() && reporter_.idle(); }
  [[nodiscard]] std::size_t open_requests() const noexcept { return open_.size(); }
  [[nodiscard]] claim_reporter& reporter() noexcept { return reporter_; }
  [[nodiscard]] answer_store& answers() noexcept { return answers_; }
  [[nodiscard]] const answer_store& answers() const noexcept { return answers_; }
  /// \returns the attempt that runs on this host under `id`, or null
  [[nodiscard]] const claim* running(const claim_id& id) const;

 private:
  enum class phase {
    asking,   ///< the holder has not decided yet
    fetching, ///< the holder has decided; an earlier attempt's answer or position is being fetched
    running,  ///< a decision to proceed was given
  };

  struct open_request {
    claim_shard shard;
    claim subject;
    bool fresh{};
    bool look_up{};
    bool answer_lost{};
    bool granted{};
    phase step{phase::asking};
    std::uint64_t epoch{};
    time_ms deadline; ///< of the current step
    time_ms next_send;
    time_ms due;                       ///< time of the next action, unless running
    time_ms next_copy;                 ///< to the peer, while running
    retained_answer position;          ///< while running; while fetching, the best copy found
    std::vector<incarnation> awaiting; ///< hosts that have not yet replied with their copy
  };

  void ask(time_ms now, open_request& request);
  void handle_due(time_ms now, open_request& request);
  void schedule(std::uint64_t ticket);
  void on_granted(time_ms now, open_request& request, const claim_reply& reply);
  void on_verdict(time_ms now, open_request& request, const claim_reply& reply);
  void fetch(time_ms now, open_request& request, const std::vector<incarnation>& from);
  void finish_fetch(time_ms now, open_request& request);
  void start_running(time_ms now, open_request& request);
  void give_up(time_ms now, const open_request& request, error_kind kind);
  void end(time_ms now, const open_request& request, request_state state,
           std::optional<error_kind> unconfirmed = std::nullopt);
  void end_ungranted(time_ms now, const open_request& request, bool asked);
  void refuse(const open_request& request, error_kind kind);
  [[nodiscard]] incarnation choose_peer(const claim_id& id, const claim_shard& shard) const;
  [[nodiscard]] open_request* find(std::uint64_t ticket);
  [[nodiscard]] open_request* find_running(std::uint64_t ticket);
  void send(const incarnation& to, claims_message message);

  incarnation self_;
  data_centre_id data_centre_;
  claims_options options_;
  const shard_map* shards_;
  const host_list* hosts_;
  std::vector<addressed_claims_message>* output_;
  std::vector<claim_decision>* decisions_;
  answer_store answers_;
  claim_reporter reporter_;
  std::uint64_t last_ticket_{0};
  std::map<std::uint64_t, open_request> open_;
  due_tickets due_;
  std::unordered_map<claim_id, std::uint64_t, claim_id_hash> running_;
};

} // namespace sedgechute
