#include "claims/impl/claim_client.hpp"

#include "claims/impl/claim_rules.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

claim_client::claim_client(incarnation self, data_centre_id data_centre,
                           const claims_options& options, const shard_map& shards,
                           const host_list& hosts, std::vector<addressed_claims_message>& output,
                           std::vector<claim_decision>& decisions)
    : self_{std::move(self)}, data_centre_{std::move(data_centre)}, options_{options},
      shards_{&shards}, hosts_{&hosts}, output_{&output}, decisions_{&decisions},
      answers_{options.answer_bytes, options.max_answer_bytes}, reporter_{options, shards,
                                                                          hosts,   answers_,
                                                                          output,  decisions} {}

std::uint64_t claim_client::begin(time_ms now, const claimed_request& wanted, bool look_up) {
  const std::uint64_t ticket = ++last_ticket_;
  const claim_id id{wanted.team, wanted.key};
  if (const claim* local = running(id)) {
    const bool reused = !look_up && local->fingerprint != wanted.fingerprint;
    if (reused)
      decisions_->push_back({ticket, refuse_decision{error_kind::key_reused}});
    else
      decisions_->push_back({ticket, join_decision{self_}});
    return ticket;
  }
  open_request& request = open_[ticket];
  request.subject.id = id;
  request.subject.fingerprint = wanted.fingerprint;
  request.subject.idempotent = wanted.idempotent;
  request.subject.entry = self_;
  request.subject.ticket = ticket;
  request.shard = shard_of(id, options_);
  request.subject.peer = choose_peer(id, request.shard);
  request.fresh = wanted.fresh;
  request.look_up = look_up;
  request.deadline = now + options_.begin_timeout;
  ask(now, request);
  schedule(ticket);
  return ticket;
}

void claim_client::ask(time_ms now, open_request& request) {
  request.next_send = now + options_.resend_interval;
  const shard_status* status = shards_->find(request.shard);
  if (status != nullptr)
    send(status->holder, claim_request{request.subject, request.answer_lost, request.look_up});
}

void claim_client::on_reply(time_ms now, const claim_reply& reply) {
  open_request* request = find(reply.ticket);
  const bool granted = reply.verdict == claim_verdict::granted;
  if (request == nullptr && granted)
    reporter_.on_late_grant(now, reply);
  if (request == nullptr || request->step != phase::asking)
    return;
  if (granted)
    on_granted(now, *request, reply);
  else
    on_verdict(now, *request, reply);
  schedule(reply.ticket);
}

void claim_client::on_granted(time_ms now, open_request& request, const claim_reply& reply) {
  if (reply.current && !same_request(request.subject, *reply.current))
    return;
  request.subject = granted_claim(request.subject, reply);
  request.epoch = reply.epoch;
  request.granted = true;
  if (request.subject.may_have_run && !request.subject.resume_from.host.empty())
    fetch(now, request, {request.subject.resume_from});
  else
    start_running(now, request);
}

void claim_client::on_verdict(time_ms now, open_request& request, const claim_reply& reply) {
  switch (reply.verdict) {
  case claim_verdict::running:
    // An attempt of this host that isn't running here is either about to start or being given back.
    if (!reply.current || (reply.current->entry == self_ && running(request.subject.id) == nullptr))
      return;
    decisions_->push_back({request.subject.ticket, join_decision{reply.current->entry}});
    end_ungranted(now, request, false);
    return;
  case claim_verdict::answered:
    if (reply.current)
      fetch(now, request, {reply.current->entry, reply.current->peer});
    return;
  case claim_verdict::key_reused:
    give_up(now, request, error_kind::key_reused);
    return;
  case claim_verdict::absent:
  case claim_verdict::expired:
    give_up(now, request, error_kind::key_unknown);
    return;
  case claim_verdict::full:
    give_up(now, request, request.fresh ? error_kind::no_capacity : error_kind::outcome_unknown);
    return;
  case claim_verdict::unknown:
  case claim_verdict::granted:
    give_up(now, request, error_kind::outcome_unknown);
    return;
  }
}

void claim_client::start_running(time_ms now, open_request& request) {
  const claim& subject = request.subject;
  const bool resume_only = subject.may_have_run && !subject.idempotent;
  if (resume_only && request.position.endpoint.empty()) {
    refuse(request, error_kind::outcome_unknown);
    end(now, request, request_state::abandoned);
    return;
  }
  request.step = phase::running;
  request.next_copy = now;
  running_[subject.id] = subject.ticket;
  // The earlier attempt's position is copied to this attempt's peer immediately, so that it isn't
  // lost if this host dies.
  request.position.attempt = subject.attempt;
  if (!request.position.endpoint.empty() && !subject.peer.host.empty())
    send(subject.peer, replica_put{subject.ticket, subject.id, request.position});
  decisions_->push_back(
      {subject.ticket, proceed_decision{request.epoch, subject.attempt, subject.may_have_run,
                                        resume_only, request.position.endpoint,
                                        request.position.position, request.position.run_attempt}});
}

void claim_client::progress(time_ms now, std::uint64_t ticket, const endpoint_id& endpoint,
                            std::uint64_t position, std::uint32_t run_attempt) {
  open_request* request = find_running(ticket);
  if (request == nullptr)
    return;
  claim& subject = request->subject;
  subject.state = request_state::dispatched;
  request->position.attempt = subject.attempt;
  request->position.run_attempt = run_attempt == 0 ? subject.attempt : run_attempt;
  request->position.endpoint = endpoint;
  request->position.position = position;
  if (now < request->next_copy || subject.peer.host.empty())
    return;
  request->next_copy = now + options_.report_interval;
  send(subject.peer, replica_put{ticket, subject.id, request->position});
}

void claim_client::finish_answered(time_ms now, std::uint64_t ticket, retained_answer answer) {
  open_request* request = find_running(ticket);
  if (request == nullptr)
    return;
  answer.complete = true;
  answer.attempt = request->subject.attempt;
  answers_.put(request->subject.id, answer);
  end(now, *request, request_state::answered);
}

void claim_client::finish_unknown(time_ms now, std::uint64_t ticket) {
  const open_request* request = find_running(ticket);
  if (request != nullptr)
    end(now, *request, request_state::abandoned);
}

// A refusal may report `not run` only if at some time during this call nothing had run under the
// key. That holds if no other host can have been granted the key. An idempotent request may have
// been granted to another host while this one was paused and believed dead, so holder and witness
// must first confirm that this attempt is still the latest one.
void claim_client::finish_refused(time_ms now, std::uint64_t ticket, error_kind kind) {
  const open_request* request = find_running(ticket);
  if (request == nullptr) {
    decisions_->push_back({ticket, refuse_decision{error_kind::outcome_unknown}});
    return;
  }
  const claim& subject = request->subject;
  if (subject.state == request_state::dispatched) {
    refuse(*request, error_kind::outcome_unknown);
    end(now, *request, request_state::abandoned);
  } else if (subject.idempotent && !subject.may_have_run && !request->fresh) {
    end(now, *request, request_state::refused, kind);
  } else {
    refuse(*request, subject.may_have_run ? error_kind::outcome_unknown : kind);
    end(now, *request, request_state::refused);
  }
}

void claim_client::end(time_ms now, const open_request& request, request_state state,
                       std::optional<error_kind> unconfirmed) {
  const std::uint64_t ticket = request.subject.ticket;
  ended_claim ended{request.shard, request.subject};
  ended.subject.state = state;
  ended.granted = true;
  ended.copied = state != request_state::answered;
  ended.unconfirmed = unconfirmed;
  const auto local = running_.find(request.subject.id);
  if (local != running_.end() && local->second == ticket)
    running_.erase(local);
  open_.erase(ticket);
  reporter_.add(now, std::move(ended));
}

// The holder may have granted this ticket, or may grant it when a late copy of the request arrives.
// Reporting attempt 0 gives the grant back.
void claim_client::end_ungranted(time_ms now, const open_request& request, bool asked) {
  const std::uint64_t ticket = request.subject.ticket;
  ended_claim ended{request.shard, request.subject};
  ended.subject.attempt = 0;
  ended.subject.state = request_state::refused;
  ended.asked = asked;
  const bool look_up = request.look_up;
  open_.erase(ticket);
  if (!look_up)
    reporter_.add(now, std::move(ended));
}

void claim_client::give_up(time_ms now, const open_request& request, error_kind kind) {
  refuse(request, kind);
  end_ungranted(now, request, true);
}

void claim_client::schedule(std::uint64_t ticket) {
  open_request* request = find(ticket);
  if (request == nullptr || request->step == phase::running)
    return;
  request->due = request->step == phase::asking ? std::min(request->deadline, request->next_send)
                                                : request->deadline;
  due_.add(request->due, ticket);
}

void claim_client::tick(time_ms now) {
  while (const auto next = due_.take(now)) {
    open_request* request = find(next->second);
    if (request == nullptr || request->step == phase::running || request->due != next->first)
      continue;
    handle_due(now, *request);
    schedule(next->second);
  }
  reporter_.tick(now);
}

void claim_client::handle_due(time_ms now, open_request& request) {
  if (request.step == phase::fetching)
    finish_fetch(now, request);
  else if (now < request.deadline)
    ask(now, request);
  else
    // The holder is unreachable. An attempt under the key may run elsewhere, unless the key was
    // minted for this request and no other request can use it.
    give_up(now, request, request.fresh ? error_kind::not_ready : error_kind::outcome_unknown);
}

void claim_client::on_new_epoch(time_ms now, const claim_shard& shard, bool lacks_claims) {
  const shard_status* status = shards_->find(shard);
  for (auto& [ticket, request] : open_) {
    if (request.shard != shard)
      continue;
    if (request.step == phase::asking) {
      request.next_send = now;
      schedule(ticket);
    } else if (request.step == phase::running && lacks_claims) {
      send(status->holder, claim_report{request.subject});
    }
  }
  reporter_.on_new_epoch(now, shard);
}

const claim* claim_client::running(const claim_id& id) const {
  const auto found = running_.find(id);
  return found == running_.end() ? nullptr : &open_.at(found->second).subject;
}

void claim_client::refuse(const open_request& request, error_kind kind) {
  decisions_->push_back({request.subject.ticket, refuse_decision{kind}});
}

claim_client::open_request* claim_client::find(std::uint64_t ticket) {
  const auto found = open_.find(ticket);
  return found == open_.end() ? nullptr : &found->second;
}

claim_client::open_request* claim_client::find_running(std::uint64_t ticket) {
  open_request* request = find(ticket);
  return request != nullptr && request->step == phase::running ? request : nullptr;
}

void claim_client::send(const incarnation& to, claims_message message) {
  output_->push_back({to, std::move(message)});
}

} // namespace sedgechute
