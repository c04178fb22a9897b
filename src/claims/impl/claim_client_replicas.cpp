// Copies of answers and stream positions: choice of the peer that stores them, and fetching them
// for a retry.

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
  // Neither host has the answer any more, but an idempotent request may safely run again.
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

// The shard's holder or witness is preferred as peer: copies are bundled with the other messages to
// it, and if this host dies, the host that decides on the retry also has the answer. The peer must
// be in this data centre because another one may be cut off.
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
