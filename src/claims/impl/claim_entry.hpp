#pragma once

#include "claims/impl/answer_store.hpp"
#include "claims/impl/claim_decision.hpp"
#include "claims/impl/claims_message.hpp"
#include "claims/impl/host_list.hpp"
#include "claims/impl/shard_map.hpp"

#include "absl/container/flat_hash_map.h"

#include <functional>
#include <map>
#include <queue>
#include <utility>

namespace sedgechute {

/// \brief What a host does for the requests that arrived at it: asks the holder, waits a bounded
/// time, runs, reports, and gives up truthfully.
class claim_entry {
 public:
  claim_entry(incarnation self, data_centre_id data_centre, const claims_options& options,
              const shard_map& shards, const host_list& hosts,
              std::vector<addressed_claims_message>& output,
              std::vector<claim_decision>& decisions);

  std::uint64_t begin(time_ms now, const claimed_request& request, bool look_up);
  void progress(time_ms now, std::uint64_t ticket, const endpoint_id& endpoint,
                std::uint64_t position);
  void finish_answered(time_ms now, std::uint64_t ticket, retained_answer answer);
  void finish_refused(time_ms now, std::uint64_t ticket, error_kind kind);
  void finish_unknown(time_ms now, std::uint64_t ticket);

  void on_reply(time_ms now, const claim_reply& reply);
  void on_report_ack(time_ms now, const claim_report_ack& ack);
  void on_replica_put(const replica_put& put);
  void on_replica_fetch(const incarnation& from, const replica_fetch& fetch);
  void on_replica_reply(time_ms now, const replica_reply& reply);
  /// \brief A new holder knows nothing of what runs here unless it is told.
  void on_blank_epoch(const claim_shard& shard);
  void tick(time_ms now);

  /// \returns whether nothing is waited for, runs, or is still to be reported
  [[nodiscard]] bool idle() const;
  [[nodiscard]] std::size_t open_requests() const noexcept { return open_.size(); }
  [[nodiscard]] answer_store& answers() noexcept { return answers_; }
  [[nodiscard]] const answer_store& answers() const noexcept { return answers_; }
  /// \returns the attempt that runs here under `id`, or null
  [[nodiscard]] const claim* running(const claim_id& id) const;

 private:
  enum class phase {
    asking,   ///< the holder has not decided yet
    fetching, ///< the holder has decided; the old attempt's answer or position is being fetched
    running,  ///< the daemon runs it
    refusing, ///< refused by the daemon; the truth of `not run` is being confirmed
    reporting ///< ended for the caller; the holder doesn't know yet
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
    time_ms deadline; ///< of the present step
    time_ms next_send;
    time_ms due;         ///< when this request is looked at next
    time_ms next_copy;   ///< to the peer, while running
    time_ms ended;       ///< when the caller got the last word
    time_ms report_wait; ///< doubles while reports stay unacknowledged
    bool acknowledged{}; ///< the holder knows how it ended
    error_kind refusal{error_kind::outcome_unknown};
    retained_answer position;         ///< while running; the found one while fetching
    std::vector<incarnation> unheard; ///< hosts whose copy is still awaited
  };

  using due_ticket = std::pair<time_ms, std::uint64_t>;

  void ask(time_ms now, open_request& request);
  void report(time_ms now, open_request& request);
  void linger(time_ms now, open_request& request);
  void handle_due(time_ms now, open_request& request);
  void miss_deadline(time_ms now, open_request& request);
  void schedule(std::uint64_t ticket);
  void on_granted(time_ms now, open_request& request, const claim_reply& reply);
  void on_verdict(time_ms now, open_request& request, const claim_reply& reply);
  void fetch(time_ms now, open_request& request, const std::vector<incarnation>& from);
  void conclude_fetch(time_ms now, open_request& request);
  void start_running(time_ms now, open_request& request);
  void give_up(time_ms now, open_request& request, error_kind kind);
  void end(time_ms now, open_request& request, request_state state);
  void decide(const open_request& request, claim_decision decision);
  void refuse(const open_request& request, error_kind kind);
  void copy_to_peer(const open_request& request, const retained_answer& answer);
  [[nodiscard]] incarnation choose_peer(const claim_id& id) const;
  [[nodiscard]] error_kind unreachable_kind(const open_request& request) const;
  [[nodiscard]] open_request* find(std::uint64_t ticket);
  void send(const incarnation& to, claims_message message);

  incarnation self_;
  data_centre_id data_centre_;
  claims_options options_;
  const shard_map* shards_;
  const host_list* hosts_;
  std::vector<addressed_claims_message>* output_;
  std::vector<claim_decision>* decisions_;
  answer_store answers_;
  std::uint64_t last_ticket_{0};
  std::map<std::uint64_t, open_request> open_;
  std::priority_queue<due_ticket, std::vector<due_ticket>, std::greater<>> due_;
  absl::flat_hash_map<claim_id, std::uint64_t> running_;
};

} // namespace sedgechute
