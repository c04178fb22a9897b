// The second copies of answers and places: with which peer they are kept, and how a retry gets
// them.

#include "claims/impl/claim_client.hpp"

#include <utility>

namespace sedgechute {

void claim_client::fetch(time_ms now, open_request& request, const std::vector<incarnation>& from) {
  request.step = phase::fetching;
  request.deadline = now + options_.fetch_timeout;
  request.position = {};
  request.awaiting.clear();
  if (const retained_answer* own = answers_.find(request.subject.id))
    request.position = *own;
  for (const incarnation& host : from)
    if (!request.position.complete && host != self_ && hosts_->is_live(host))
      request.awaiting.push_back(host);
  if (request.awaiting.empty()) {
    finish_fetch(now, request);
    return;
  }
  for (const incarnation& host : request.awaiting)
    send(host, replica_fetch{request.subject.ticket, request.subject.id});
}

void claim_client::on_replica_fetch(const incarnation& from, const replica_fetch& fetched) {
  replica_reply answer{fetched.ticket, false, {}};
  if (const retained_answer* own = answers_.find(fetched.id)) {
    answer.found = true;
    answer.answer = *own;
  }
  send(from, std::move(answer));
}

void claim_client::on_replica_reply(time_ms now, const replica_reply& reply) {
  open_request* request = find(reply.ticket);
  if (request == nullptr || request->step != phase::fetching)
    return;
  if (!request->awaiting.empty())
    request->awaiting.pop_back();
  if (reply.found && !request->position.complete)
    request->position = reply.answer;
  if (request->position.complete || request->awaiting.empty())
    finish_fetch(now, *request);
  schedule(reply.ticket);
}

void claim_client::finish_fetch(time_ms now, open_request& request) {
  if (request.position.complete) {
    answers_.put(request.subject.id, request.position);
    decisions_->push_back({request.subject.ticket, retained_decision{request.position}});
    if (request.granted)
      end(now, request, request_state::answered);
    else
      end_ungranted(now, request, false);
    return;
  }
  if (request.granted) {
    start_running(now, request);
    return;
  }
  if (!request.subject.idempotent || request.look_up || request.answer_lost) {
    give_up(now, request, error_kind::outcome_unknown);
    return;
  }
  // The answer is gone from both places, but running an idempotent request again does no harm.
  request.answer_lost = true;
  request.step = phase::asking;
  request.deadline = now + options_.begin_timeout;
  ask(now, request);
}

void claim_client::on_replica_put(const incarnation& from, const replica_put& put) {
  answers_.put(put.id, put.answer);
  if (put.answer.complete)
    send(from, replica_stored{put.ticket});
}

// A host that hears of the claim anyway is the best peer: what it is sent as peer travels in the
// messages that it is sent as holder or witness, and if this host dies, the one that decides has
// the answer as well. Another data centre may be cut off.
incarnation claim_client::choose_peer(const claim_id& id, const claim_shard& shard) const {
  if (const shard_status* status = shards_->find(shard)) {
    const incarnation& involved = status->holder == self_ ? status->witness : status->holder;
    const live_host* host = hosts_->find(involved);
    if (host != nullptr && !host->leaving && host->data_centre == data_centre_)
      return involved;
  }
  const std::uint64_t key = stable_hash(id.key);
  const live_host* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const live_host& host : hosts_->all()) {
    if (host.who == self_ || host.leaving || host.data_centre != data_centre_)
      continue;
    const std::uint64_t weight = mix_hash(key, host.who.number);
    if (best != nullptr && weight <= best_weight)
      continue;
    best = &host;
    best_weight = weight;
  }
  return best == nullptr ? incarnation{} : best->who;
}

} // namespace sedgechute
