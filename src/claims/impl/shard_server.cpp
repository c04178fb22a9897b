#include "claims/impl/shard_server.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

constexpr time_ms cleanup_period{10000};
constexpr time_ms sweep_period{100};
constexpr std::size_t sweep_parts = 100; // a whole table in ten seconds

} // namespace

shard_server::shard_server(incarnation self, const claims_options& options, shard_map& shards,
                           const host_list& hosts, std::vector<addressed_claims_message>& output)
    : self_{std::move(self)}, options_{options}, shards_{&shards}, hosts_{&hosts}, output_{&output},
      transfer_limiter_{options.transfer_claims_per_s} {}

void shard_server::on_delegation(time_ms now, const shard_status& before,
                                 const shard_status& after) {
  relinquish(before, after);
  if (after.witness == self_) {
    local_shard& local = local_shard_for(after.shard);
    local.table.withdraw_all();
    // A former holder may lack a claim that its witness stored if the witness's reply was lost, so
    // it also needs the whole table of the new holder.
    local.complete = before.witness == self_ && local.complete;
    local.from_holder = {};
    local.to_witness = {};
    return;
  }
  if (after.holder != self_) {
    local_shards_.erase(after.shard);
    return;
  }
  local_shard& local = local_shard_for(after.shard);
  const bool same_pair =
      !local.log_gap && before.holder == self_ && before.witness == after.witness;
  local.log_gap = false;
  local.witness_sealed = false;
  local.recovered.clear();
  local.recovered_since = 0;
  if (after.known_since > before.known_since)
    local.table.assume_all_may_have_run();
  if (!same_pair)
    local.to_witness = after.witness.host.empty()
                           ? table_transfer{}
                           : start_transfer(++last_transfer_, local.table.committed());
  for (const proposed_claim& wanted : local.table.due_proposals(now, time_ms{0}))
    ask_witness(now, after, wanted);
}

// Other hosts may have held the shard during the gap. As holder, this host grants nothing until it
// has begun an epoch whose `known_since` excludes the gap. As witness, it counts as having no
// claims from before this epoch.
void shard_server::on_gap(const shard_status& after) {
  if (after.holder != self_ && after.witness != self_) {
    local_shards_.erase(after.shard);
    return;
  }
  local_shard& local = local_shard_for(after.shard);
  local.table.withdraw_all();
  local.to_witness = {};
  local.from_holder = {};
  local.recovered.clear();
  local.recovered_since = 0;
  local.complete = false;
  local.log_gap = after.holder == self_;
  local.witness_sealed = local.log_gap;
}

void shard_server::on_request(time_ms now, const claim_request& request) {
  const shard_status* status = find_held(shard_of(request.wanted.id, options_));
  if (status == nullptr)
    return;
  local_shard& local = local_shard_for(status->shard);
  if (local.witness_sealed)
    return;
  const claim_id& id = request.wanted.id;
  decision_basis basis;
  basis.stored = local.table.find(id);
  if (const auto minted = parse_key(id.key)) {
    // This host has not yet read the log up to the key's mark, so it can't decide.
    if (minted->mark > status->mark)
      return;
    basis.expired = minted->mark < shards_->oldest_mark(*status);
    basis.may_be_lost = minted->mark < status->known_since;
  } else {
    basis.may_be_lost = shards_->has_unknown_claims(now, *status);
  }
  basis.full = !has_room(id.team);
  basis.is_live = [this](const incarnation& who) { return hosts_->is_live(who); };
  const std::optional<claim_verdict> verdict = decide(request, basis);
  if (!verdict)
    return;
  const bool granted = *verdict == claim_verdict::granted;
  if (granted && request.look_up) {
    const bool may_have_run = basis.stored && basis.stored->committed &&
                              (basis.stored->committed->may_have_run ||
                               basis.stored->committed->state != request_state::refused);
    reply(request, *status, may_have_run ? claim_verdict::unknown : claim_verdict::absent,
          basis.stored);
    return;
  }
  const bool repeated = basis.stored && basis.stored->committed &&
                        same_request(*basis.stored->committed, request.wanted);
  // A repeated grant is countersigned again, because the witness of this epoch may lack a claim
  // that was stored under an earlier one.
  if (granted)
    propose(now, *status,
            repeated ? *basis.stored->committed : next_attempt(request, basis.stored));
  else
    reply(request, *status, *verdict, basis.stored);
}

void shard_server::propose(time_ms now, const shard_status& status, const claim& next) {
  const proposed_claim wanted{next, ++last_proposal_};
  local_shard_for(status.shard).table.propose(now, wanted.next, wanted.serial);
  ask_witness(now, status, wanted);
}

void shard_server::ask_witness(time_ms now, const shard_status& status,
                               const proposed_claim& wanted) {
  if (status.witness.host.empty())
    commit(now, status, wanted.next);
  else
    send(status.witness, countersign_request{status.epoch, wanted.next, wanted.serial});
}

// Only requests of the current, unsealed epoch are accepted. Otherwise a request that arrives after
// this host was paused, and its holder replaced or the epoch sealed, would still take effect. The
// exception is a state that is already stored: then only the reply to it was lost.
void shard_server::on_countersign(time_ms now, const incarnation& from,
                                  const countersign_request& request) {
  const claim_shard shard = shard_of(request.subject.id, options_);
  const shard_status* status = shards_->find(shard);
  if (status == nullptr || status->epoch < request.epoch)
    return;
  countersign_reply answer{shard, request.epoch, countersign_result::sealed, request.serial, {}};
  const auto found = local_shards_.find(shard);
  const bool serves = status->witness == self_ && status->epoch == request.epoch &&
                      status->holder == from && local_shard_for(shard).sealed != request.epoch;
  if (serves) {
    claim_table& table = local_shard_for(shard).table;
    answer.result = countersign_result::accepted;
    if (!table.merge(now, request.subject)) {
      answer.result = countersign_result::newer;
      answer.subject = table.find(request.subject.id)->committed;
    }
  } else if (found != local_shards_.end()) {
    const auto stored = found->second.table.find(request.subject.id);
    if (stored && stored->committed && *stored->committed == request.subject)
      answer.result = countersign_result::accepted;
  }
  send(from, std::move(answer));
}

// A proposal may have been replaced by a later state before the reply arrived. The later one has
// another serial, so such a reply is ignored.
void shard_server::on_countersigned(time_ms now, const countersign_reply& reply) {
  const shard_status* status = find_held(reply.shard);
  if (status == nullptr || status->epoch != reply.epoch)
    return;
  local_shard& local = local_shard_for(reply.shard);
  if (reply.result == countersign_result::sealed) {
    local.witness_sealed = true;
    return;
  }
  const claim* next = local.table.proposed(reply.serial);
  if (next == nullptr)
    return;
  if (reply.result == countersign_result::accepted) {
    commit(now, *status, *next);
    return;
  }
  local.table.withdraw(claim_id{next->id});
  if (reply.subject)
    local.table.merge(now, *reply.subject);
}

namespace {

// The entry host can rebuild such a claim from its request, so the reply leaves it out.
bool is_as_asked(const claim& granted) {
  return granted.attempt == 1 && !granted.may_have_run && granted.unfinished.empty() &&
         granted.resume_from.host.empty();
}

} // namespace

void shard_server::commit(time_ms now, const shard_status& status, claim subject) {
  local_shard& local = local_shard_for(status.shard);
  local.table.withdraw(subject.id);
  const bool current = local.table.merge(now, subject);
  if (subject.state != request_state::claimed) {
    send(subject.entry, claim_report_ack{subject.ticket, subject.state, current});
    return;
  }
  if (!current)
    return;
  claim_reply answer{subject.ticket, claim_verdict::granted, status.epoch, std::nullopt};
  const incarnation entry = subject.entry;
  if (!is_as_asked(subject))
    answer.current = std::move(subject);
  send(entry, std::move(answer));
}

void shard_server::reply(const claim_request& request, const shard_status& status,
                         claim_verdict verdict, const std::optional<stored_claim>& stored) {
  claim_reply answer{request.wanted.ticket, verdict, status.epoch, std::nullopt};
  if (stored)
    answer.current = stored->committed;
  send(request.wanted.entry, std::move(answer));
}

void shard_server::on_report(time_ms now, const claim_report& report) {
  const shard_status* status = find_held(shard_of(report.subject.id, options_));
  if (status == nullptr || local_shard_for(status->shard).witness_sealed)
    return;
  const claim_table& table = local_shard_for(status->shard).table;
  const report_step step = evaluate_report(report.subject, table.find(report.subject.id));
  switch (step.action) {
  case report_action::propose:
    propose(now, *status, step.next);
    return;
  case report_action::acknowledge:
    send(report.subject.entry,
         claim_report_ack{report.subject.ticket, report.subject.state, step.current});
    return;
  case report_action::wait:
    return;
  }
}

void shard_server::tick(time_ms now) {
  transfer_limiter_.refill(now);
  const bool sweep = now >= next_sweep_;
  if (sweep)
    next_sweep_ = now + sweep_period;
  const bool cleanup = now >= next_cleanup_;
  if (cleanup)
    next_cleanup_ = now + cleanup_period;
  for (auto& [shard, local] : local_shards_) {
    const shard_status* status = shards_->find(shard);
    if (status == nullptr)
      continue;
    if (status->holder == self_ && !local.witness_sealed) {
      for (table_part& part : due_parts(local.to_witness, now, options_.resend_interval, shard,
                                        status->epoch, transfer_limiter_))
        send(status->witness, std::move(part));
      for (const proposed_claim& wanted : local.table.due_proposals(now, options_.resend_interval))
        ask_witness(now, *status, wanted);
    }
    if (sweep)
      forget_expired(now, *status, local);
  }
  if (cleanup) {
    for (const auto& [shard, status] : shards_->all())
      send_epoch_seen(status);
    relinquished_.drop_unneeded(now, *shards_);
  }
  relinquished_.send_due(now, options_.report_interval, *shards_, transfer_limiter_, *output_);
}

// The mark of a minted key shows that it has expired, so its claim can always be removed. A
// caller's key counts as new after its claim is removed, as documented. This must not happen while
// the host with the claim may still dispatch it, no matter how long that host has been paused.
void shard_server::forget_expired(time_ms now, const shard_status& status, local_shard& local) {
  const std::uint64_t oldest_mark = shards_->oldest_mark(status);
  const auto has_ended = [&](std::uint32_t who) {
    return shards_->has_ended(now, pool_.hosts.name_of(who));
  };
  local.table.sweep(sweep_parts, [&](const stored_key& key, const packed_claim& known) {
    if (key.is_minted() ? key.mark() >= oldest_mark : now - touched_at(known) < options_.retention)
      return false;
    return (is_final(state_of(known)) || has_ended(known.entry)) &&
           (known.earlier == nullptr || std::all_of(known.earlier->unfinished.begin(),
                                                    known.earlier->unfinished.end(), has_ended));
  });
}

std::optional<claim> shard_server::find(const claim_shard& shard, const claim_id& id) const {
  const auto found = local_shards_.find(shard);
  const auto stored = found == local_shards_.end() ? std::nullopt : found->second.table.find(id);
  return stored ? stored->committed : std::nullopt;
}

const shard_status* shard_server::find_held(const claim_shard& shard) const {
  const shard_status* status = shards_->find(shard);
  return status != nullptr && same_process(status->holder, self_) ? status : nullptr;
}

shard_server::local_shard& shard_server::local_shard_for(const claim_shard& shard) {
  return local_shards_.try_emplace(shard, pool_).first->second;
}

bool shard_server::has_room(const team_id& team) const {
  const std::uint32_t* number = pool_.teams.find(team);
  const bool is_known = number != nullptr && *number < pool_.claims_by_team.size();
  const std::size_t of_team = is_known ? pool_.claims_by_team[*number] : 0;
  return pool_.claims < options_.max_claims && of_team < options_.max_claims_per_team;
}

void shard_server::send(const incarnation& to, claims_message message) {
  output_->push_back({to, std::move(message)});
}

} // namespace sedgechute
