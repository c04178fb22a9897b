#include "claims/impl/claim_entry.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

// How long a given-up ticket is remembered after its report was acknowledged. A grant that arrives
// later than this leaves the key claimed by an attempt that never runs: retries are then told
// `outcome unknown`, which is safe.
constexpr time_ms late_grant_window{60000};
constexpr time_ms longest_report_wait{16000};

} // namespace

claim_entry::claim_entry(incarnation self, data_centre_id data_centre,
                         const claims_options& options, const shard_map& shards,
                         const host_list& hosts, std::vector<addressed_claims_message>& output,
                         std::vector<claim_decision>& decisions)
    : self_{std::move(self)}, data_centre_{std::move(data_centre)}, options_{options},
      shards_{&shards}, hosts_{&hosts}, output_{&output},
      decisions_{&decisions}, answers_{options.answer_bytes, options.max_answer_bytes} {}

std::uint64_t claim_entry::begin(time_ms now, const claimed_request& wanted, bool look_up) {
  const std::uint64_t ticket = ++last_ticket_;
  open_request& request = open_[ticket];
  request.subject.id = {wanted.team, wanted.key};
  request.subject.fingerprint = wanted.fingerprint;
  request.subject.idempotent = wanted.idempotent;
  request.subject.entry = self_;
  request.subject.ticket = ticket;
  request.subject.peer = choose_peer(request.subject.id);
  request.shard = shard_of(request.subject.id, options_);
  request.fresh = wanted.fresh;
  request.look_up = look_up;

  const claim* local = running(request.subject.id);
  if (local != nullptr) {
    const bool reused = !look_up && local->fingerprint != wanted.fingerprint;
    if (reused)
      refuse(request, error_kind::key_reused);
    else
      decide(request, {ticket, join_decision{self_}});
    open_.erase(ticket);
    return ticket;
  }
  request.deadline = now + options_.begin_timeout;
  ask(now, request);
  schedule(ticket);
  return ticket;
}

void claim_entry::ask(time_ms now, open_request& request) {
  request.next_send = now + options_.resend_interval;
  const shard_status* status = shards_->find(request.shard);
  if (status != nullptr)
    send(status->holder,
         claim_request{request.shard, request.subject, request.answer_lost, request.look_up});
}

void claim_entry::on_reply(time_ms now, const claim_reply& reply) {
  open_request* request = find(reply.ticket);
  if (request == nullptr)
    return;
  if (reply.verdict == claim_verdict::granted)
    on_granted(now, *request, reply);
  else if (request->step == phase::asking)
    on_verdict(now, *request, reply);
  schedule(reply.ticket);
}

void claim_entry::on_granted(time_ms now, open_request& request, const claim_reply& reply) {
  const claim& granted = reply.current;
  if (granted.ticket != request.subject.ticket || granted.entry != self_)
    return;
  if (request.step == phase::asking) {
    request.subject = granted;
    request.epoch = reply.epoch;
    request.granted = true;
    if (granted.may_have_run && !granted.resume_from.host.empty())
      fetch(now, request, {granted.resume_from});
    else
      start_running(now, request);
    return;
  }
  // The caller was refused before this grant arrived. The attempt will never be dispatched here,
  // and the holder must learn it, or the key would stay claimed.
  if (request.step == phase::reporting && !request.granted) {
    request.subject = granted;
    request.subject.state = request_state::refused;
    request.granted = true;
    report(now, request);
  }
}

void claim_entry::on_verdict(time_ms now, open_request& request, const claim_reply& reply) {
  switch (reply.verdict) {
  case claim_verdict::running:
    // A claim of this host that does not run here is about to start or to be given up.
    if (reply.current.entry == self_ && running(request.subject.id) == nullptr)
      return;
    decide(request, {request.subject.ticket, join_decision{reply.current.entry}});
    linger(now, request);
    return;
  case claim_verdict::answered:
    fetch(now, request, {reply.current.entry, reply.current.peer});
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

void claim_entry::fetch(time_ms now, open_request& request, const std::vector<incarnation>& from) {
  request.step = phase::fetching;
  request.deadline = now + options_.fetch_timeout;
  request.position = {};
  request.unheard.clear();
  if (const retained_answer* own = answers_.find(request.subject.id))
    request.position = *own;
  if (!request.position.complete)
    for (const incarnation& host : from)
      if (host != self_ && hosts_->is_live(host))
        request.unheard.push_back(host);
  if (request.unheard.empty()) {
    conclude_fetch(now, request);
    return;
  }
  for (const incarnation& host : request.unheard)
    send(host, replica_fetch{request.subject.ticket, request.subject.id});
}

void claim_entry::on_replica_fetch(const incarnation& from, const replica_fetch& fetched) {
  replica_reply answer{fetched.ticket, false, {}};
  if (const retained_answer* own = answers_.find(fetched.id)) {
    answer.found = true;
    answer.answer = *own;
  }
  send(from, std::move(answer));
}

void claim_entry::on_replica_reply(time_ms now, const replica_reply& reply) {
  open_request* request = find(reply.ticket);
  if (request == nullptr || request->step != phase::fetching)
    return;
  if (!request->unheard.empty())
    request->unheard.pop_back();
  if (reply.found && !request->position.complete)
    request->position = reply.answer;
  if (request->position.complete || request->unheard.empty())
    conclude_fetch(now, *request);
  schedule(reply.ticket);
}

void claim_entry::conclude_fetch(time_ms now, open_request& request) {
  if (request.position.complete) {
    answers_.put(request.subject.id, request.position);
    decide(request, {request.subject.ticket, retained_decision{request.position}});
    if (request.granted)
      end(now, request, request_state::answered);
    else
      linger(now, request);
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

void claim_entry::start_running(time_ms now, open_request& request) {
  const bool resume_only = request.subject.may_have_run && !request.subject.idempotent;
  if (resume_only && request.position.endpoint.empty()) {
    refuse(request, error_kind::outcome_unknown);
    end(now, request, request_state::abandoned);
    return;
  }
  request.step = phase::running;
  request.next_copy = now;
  running_[request.subject.id] = request.subject.ticket;
  decide(request,
         {request.subject.ticket,
          proceed_decision{request.epoch, request.subject.attempt, request.subject.may_have_run,
                           resume_only, request.position.endpoint, request.position.position}});
}

void claim_entry::progress(time_ms now, std::uint64_t ticket, const endpoint_id& endpoint,
                           std::uint64_t position) {
  open_request* request = find(ticket);
  if (request == nullptr || request->step != phase::running)
    return;
  request->subject.state = request_state::dispatched;
  request->position.attempt = request->subject.attempt;
  request->position.endpoint = endpoint;
  request->position.position = position;
  if (now < request->next_copy)
    return;
  request->next_copy = now + options_.report_interval;
  copy_to_peer(*request, request->position);
}

void claim_entry::finish_answered(time_ms now, std::uint64_t ticket, retained_answer answer) {
  open_request* request = find(ticket);
  if (request == nullptr || request->step != phase::running)
    return;
  answer.complete = true;
  answer.attempt = request->subject.attempt;
  answers_.put(request->subject.id, answer);
  copy_to_peer(*request, answer);
  end(now, *request, request_state::answered);
  schedule(ticket);
}

void claim_entry::finish_unknown(time_ms now, std::uint64_t ticket) {
  open_request* request = find(ticket);
  if (request == nullptr || request->step != phase::running)
    return;
  end(now, *request, request_state::abandoned);
  schedule(ticket);
}

// The caller may be told `not run` only if nothing ran under the key at some instant of this call.
// For a claim that nobody can have been given besides, that is so from the start. An idempotent
// request may have been given to another host while this one was paused and believed dead, so the
// holder and its witness have to confirm that this attempt is still the latest one.
void claim_entry::finish_refused(time_ms now, std::uint64_t ticket, error_kind kind) {
  open_request* request = find(ticket);
  if (request == nullptr || request->step != phase::running)
    return;
  const claim& subject = request->subject;
  if (subject.state == request_state::dispatched) {
    refuse(*request, error_kind::outcome_unknown);
    end(now, *request, request_state::abandoned);
  } else if (subject.idempotent && !subject.may_have_run && !request->fresh) {
    end(now, *request, request_state::refused);
    request->step = phase::refusing;
    request->refusal = kind;
    request->deadline = now + options_.begin_timeout;
  } else {
    refuse(*request, subject.may_have_run ? error_kind::outcome_unknown : kind);
    end(now, *request, request_state::refused);
  }
  schedule(ticket);
}

void claim_entry::end(time_ms now, open_request& request, request_state state) {
  running_.erase(request.subject.id);
  request.step = phase::reporting;
  request.ended = now;
  request.subject.state = state;
  request.report_wait = options_.report_interval;
  report(now, request);
}

// Nothing was granted, but a late copy of the question may still be. The ticket is remembered for a
// while so that such a grant can be given back.
void claim_entry::linger(time_ms now, open_request& request) {
  request.step = phase::reporting;
  request.ended = now;
  request.acknowledged = true;
  request.report_wait = options_.report_interval;
  request.subject.attempt = 0;
  request.subject.state = request_state::refused;
  request.position = {};
}

void claim_entry::give_up(time_ms now, open_request& request, error_kind kind) {
  refuse(request, kind);
  if (request.look_up) {
    open_.erase(request.subject.ticket);
    return;
  }
  // The holder may have granted this ticket, or may do so when a late copy of the request arrives.
  request.subject.attempt = 0;
  end(now, request, request_state::refused);
}

void claim_entry::report(time_ms now, open_request& request) {
  request.acknowledged = false;
  request.next_send = now + request.report_wait;
  request.report_wait = std::min(request.report_wait * 2, longest_report_wait);
  const shard_status* status = shards_->find(request.shard);
  if (status != nullptr)
    send(status->holder, claim_report{request.shard, request.subject});
}

void claim_entry::on_report_ack(time_ms now, const claim_report_ack& ack) {
  open_request* request = find(ack.ticket);
  if (request == nullptr || request->subject.state != ack.state)
    return;
  if (request->step == phase::refusing) {
    refuse(*request, ack.current ? request->refusal : error_kind::outcome_unknown);
    request->step = phase::reporting;
    request->ended = now;
  }
  if (request->step != phase::reporting)
    return;
  request->acknowledged = true;
  if (request->granted)
    open_.erase(ack.ticket);
  else
    schedule(ack.ticket);
}

void claim_entry::schedule(std::uint64_t ticket) {
  open_request* request = find(ticket);
  if (request == nullptr || request->step == phase::running)
    return;
  switch (request->step) {
  case phase::asking:
  case phase::refusing:
    request->due = std::min(request->deadline, request->next_send);
    break;
  case phase::fetching:
    request->due = request->deadline;
    break;
  default:
    request->due = request->acknowledged ? request->ended + late_grant_window : request->next_send;
  }
  due_.emplace(request->due, ticket);
}

void claim_entry::tick(time_ms now) {
  while (!due_.empty() && due_.top().first <= now) {
    const auto [due, ticket] = due_.top();
    due_.pop();
    open_request* request = find(ticket);
    // Entries of an earlier schedule of this ticket are passed over.
    if (request == nullptr || request->step == phase::running || request->due != due)
      continue;
    handle_due(now, *request);
    schedule(ticket);
  }
}

void claim_entry::handle_due(time_ms now, open_request& request) {
  const bool waits = request.step != phase::reporting;
  if (waits && now >= request.deadline)
    miss_deadline(now, request);
  else if (request.step == phase::asking)
    ask(now, request);
  else if (request.acknowledged)
    open_.erase(request.subject.ticket);
  else
    report(now, request);
}

void claim_entry::miss_deadline(time_ms now, open_request& request) {
  switch (request.step) {
  case phase::asking:
    give_up(now, request, unreachable_kind(request));
    return;
  case phase::fetching:
    conclude_fetch(now, request);
    return;
  case phase::refusing:
    refuse(request, error_kind::outcome_unknown);
    request.step = phase::reporting;
    request.ended = now;
    return;
  case phase::running:
  case phase::reporting:
    return;
  }
}

// Whoever decides for the key can't be reached. An attempt under it may run elsewhere, unless the
// key was minted for this very request and nobody else has seen it.
error_kind claim_entry::unreachable_kind(const open_request& request) const {
  return request.fresh ? error_kind::not_ready : error_kind::outcome_unknown;
}

void claim_entry::on_blank_epoch(const claim_shard& shard) {
  for (auto& [ticket, request] : open_) {
    if (request.shard != shard || request.step != phase::running)
      continue;
    const shard_status* status = shards_->find(shard);
    send(status->holder, claim_report{shard, request.subject});
  }
}

bool claim_entry::idle() const {
  return std::all_of(open_.begin(), open_.end(), [](const auto& entry) {
    return entry.second.step == phase::reporting && entry.second.acknowledged;
  });
}

const claim* claim_entry::running(const claim_id& id) const {
  const auto found = running_.find(id);
  return found == running_.end() ? nullptr : &open_.at(found->second).subject;
}

void claim_entry::on_replica_put(const replica_put& put) {
  answers_.put(put.id, put.answer);
}

void claim_entry::copy_to_peer(const open_request& request, const retained_answer& answer) {
  if (!request.subject.peer.host.empty())
    send(request.subject.peer, replica_put{request.subject.id, answer});
}

void claim_entry::decide(const open_request&, claim_decision decision) {
  decisions_->push_back(std::move(decision));
}

void claim_entry::refuse(const open_request& request, error_kind kind) {
  decide(request, {request.subject.ticket, refuse_decision{kind}});
}

incarnation claim_entry::choose_peer(const claim_id& id) const {
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

claim_entry::open_request* claim_entry::find(std::uint64_t ticket) {
  const auto found = open_.find(ticket);
  return found == open_.end() ? nullptr : &found->second;
}

void claim_entry::send(const incarnation& to, claims_message message) {
  output_->push_back({to, std::move(message)});
}

} // namespace sedgechute
