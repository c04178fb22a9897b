#include "claims/impl/claim_keeper.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

constexpr time_ms cleanup_period{10000};
constexpr time_ms sweep_period{100};
constexpr std::size_t sweep_parts = 100; // so that a table is gone through in ten seconds

} // namespace

claim_keeper::claim_keeper(incarnation self, const claims_options& options, shard_map& shards,
                           const host_list& hosts, std::vector<addressed_claims_message>& output)
    : self_{std::move(self)}, options_{options}, shards_{&shards}, hosts_{&hosts}, output_{&output},
      allowance_{options.transfer_claims_per_s} {}

void claim_keeper::on_delegation(time_ms now, const shard_status& before,
                                 const shard_status& after) {
  relinquish(before, after);
  if (after.witness == self_) {
    kept_shard& kept = keep(after.shard);
    kept.table.withdraw_all();
    // A former holder may lack what the witness stored while its reply was lost, so even it needs
    // the new holder's table to be complete.
    kept.complete = before.witness == self_ && kept.complete;
    kept.from_holder = {};
    kept.to_witness = {};
    return;
  }
  if (after.holder != self_) {
    kept_.erase(after.shard);
    return;
  }
  kept_shard& kept = keep(after.shard);
  const bool same_pair =
      !kept.lost_track && before.holder == self_ && before.witness == after.witness;
  kept.lost_track = false;
  kept.refused = false;
  kept.regained.clear();
  kept.regained_since = 0;
  if (after.known_since > before.known_since)
    kept.table.doubt_all();
  if (!same_pair)
    kept.to_witness = after.witness.host.empty()
                          ? table_transfer{}
                          : start_transfer(++last_transfer_, kept.table.committed());
  for (const proposed_claim& wanted : kept.table.due_proposals(now, time_ms{0}))
    ask_witness(now, after, wanted);
}

// Others may have held the shard in between. As holder this host grants nothing until it has begun
// an epoch that says what it doesn't know; as witness it counts as having seen nothing before this
// epoch.
void claim_keeper::on_gap(const shard_status& after) {
  if (after.holder != self_ && after.witness != self_) {
    kept_.erase(after.shard);
    return;
  }
  kept_shard& kept = keep(after.shard);
  kept.table.withdraw_all();
  kept.to_witness = {};
  kept.from_holder = {};
  kept.regained.clear();
  kept.regained_since = 0;
  kept.complete = false;
  kept.lost_track = after.holder == self_;
  kept.refused = kept.lost_track;
}

void claim_keeper::on_request(time_ms now, const claim_request& request) {
  const shard_status* status = held(shard_of(request.wanted.id, options_));
  if (status == nullptr)
    return;
  kept_shard& kept = keep(status->shard);
  if (kept.refused)
    return;
  const claim_id& id = request.wanted.id;
  decision_basis basis;
  basis.stored = kept.table.find(id);
  if (const auto minted = parse_key(id.key)) {
    // The mark is newer than what this host has read: it can't judge the key yet.
    if (minted->mark > status->mark)
      return;
    basis.expired = minted->mark < shards_->oldest_mark(*status);
    basis.may_be_lost = minted->mark < status->known_since;
  } else {
    basis.may_be_lost = shards_->is_blind(now, *status);
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
  // The witness of this epoch may not have a claim that was stored under an earlier one, so a
  // repeated grant is countersigned again.
  if (granted)
    propose(now, *status,
            repeated ? *basis.stored->committed : next_attempt(request, basis.stored));
  else
    reply(request, *status, *verdict, basis.stored);
}

void claim_keeper::propose(time_ms now, const shard_status& status, const claim& next) {
  const proposed_claim wanted{next, ++last_proposal_};
  keep(status.shard).table.propose(now, wanted.next, wanted.serial);
  ask_witness(now, status, wanted);
}

void claim_keeper::ask_witness(time_ms now, const shard_status& status,
                               const proposed_claim& wanted) {
  if (status.witness.host.empty())
    commit(now, status, wanted.next);
  else
    send(status.witness, countersign_request{status.epoch, wanted.next, wanted.serial});
}

// Failure guarded against: this host was paused, its holder replaced or its epoch sealed, and a
// late request would still be stored and take effect. A request of another epoch than the present
// one is refused, unless exactly this state was stored before: then only its reply was lost.
void claim_keeper::on_countersign(time_ms now, const incarnation& from,
                                  const countersign_request& request) {
  const claim_shard shard = shard_of(request.subject.id, options_);
  const shard_status* status = shards_->find(shard);
  if (status == nullptr || status->epoch < request.epoch)
    return;
  countersign_reply answer{shard, request.epoch, countersign_result::sealed, request.serial, {}};
  const auto found = kept_.find(shard);
  const bool serves = status->witness == self_ && status->epoch == request.epoch &&
                      status->holder == from && keep(shard).sealed != request.epoch;
  if (serves) {
    claim_table& table = keep(shard).table;
    answer.result = countersign_result::accepted;
    if (!table.merge(now, request.subject)) {
      answer.result = countersign_result::newer;
      answer.subject = table.find(request.subject.id)->committed;
    }
  } else if (found != kept_.end()) {
    const auto stored = found->second.table.find(request.subject.id);
    if (stored && stored->committed && *stored->committed == request.subject)
      answer.result = countersign_result::accepted;
  }
  send(from, std::move(answer));
}

// A proposal may have been replaced by a later state while the reply was on its way; the later one
// has another serial, so the reply then tells nothing.
void claim_keeper::on_countersigned(time_ms now, const countersign_reply& reply) {
  const shard_status* status = held(reply.shard);
  if (status == nullptr || status->epoch != reply.epoch)
    return;
  kept_shard& kept = keep(reply.shard);
  if (reply.result == countersign_result::sealed) {
    kept.refused = true;
    return;
  }
  const claim* next = kept.table.proposed(reply.serial);
  if (next == nullptr)
    return;
  if (reply.result == countersign_result::accepted) {
    commit(now, *status, *next);
    return;
  }
  kept.table.withdraw(claim_id{next->id});
  if (reply.subject)
    kept.table.merge(now, *reply.subject);
}

namespace {

// The entry host knows the rest of such a claim, since it asked for it.
bool is_as_asked(const claim& granted) {
  return granted.attempt == 1 && !granted.may_have_run && granted.unfinished.empty() &&
         granted.resume_from.host.empty();
}

} // namespace

void claim_keeper::commit(time_ms now, const shard_status& status, claim subject) {
  kept_shard& kept = keep(status.shard);
  kept.table.withdraw(subject.id);
  const bool current = kept.table.merge(now, subject);
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

void claim_keeper::reply(const claim_request& request, const shard_status& status,
                         claim_verdict verdict, const std::optional<stored_claim>& stored) {
  claim_reply answer{request.wanted.ticket, verdict, status.epoch, std::nullopt};
  if (stored)
    answer.current = stored->committed;
  send(request.wanted.entry, std::move(answer));
}

void claim_keeper::on_report(time_ms now, const claim_report& report) {
  const shard_status* status = held(shard_of(report.subject.id, options_));
  if (status == nullptr || keep(status->shard).refused)
    return;
  const claim_table& table = keep(status->shard).table;
  const report_step step = judge_report(report.subject, table.find(report.subject.id));
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

void claim_keeper::tick(time_ms now) {
  allowance_.refill(now);
  const bool sweep = now >= next_sweep_;
  if (sweep)
    next_sweep_ = now + sweep_period;
  const bool cleanup = now >= next_cleanup_;
  if (cleanup)
    next_cleanup_ = now + cleanup_period;
  for (auto& [shard, kept] : kept_) {
    const shard_status* status = shards_->find(shard);
    if (status == nullptr)
      continue;
    if (status->holder == self_ && !kept.refused) {
      for (table_part& part : due_parts(kept.to_witness, now, options_.resend_interval, shard,
                                        status->epoch, allowance_))
        send(status->witness, std::move(part));
      for (const proposed_claim& wanted : kept.table.due_proposals(now, options_.resend_interval))
        ask_witness(now, *status, wanted);
    }
    if (sweep)
      forget_expired(now, *status, kept);
  }
  if (cleanup) {
    for (const auto& [shard, status] : shards_->all())
      tell_stopped(status);
    relinquished_.drop_useless(now, *shards_);
  }
  relinquished_.send_due(now, options_.report_interval, *shards_, allowance_, *output_);
}

// A minted key that has expired is told by its mark, so forgetting it is always safe. A caller's
// key that is forgotten counts as new; that is the documented rule, but it must not happen while
// the host that holds the claim may still dispatch it, however long it has been paused.
void claim_keeper::forget_expired(time_ms now, const shard_status& status, kept_shard& kept) {
  const std::uint64_t oldest_mark = shards_->oldest_mark(status);
  const auto has_ended = [&](std::uint32_t who) {
    return shards_->has_ended(now, pool_.hosts.name_of(who));
  };
  kept.table.sweep(sweep_parts, [&](const stored_key& key, const packed_claim& known) {
    if (key.is_minted() ? key.mark() >= oldest_mark : now - touched_at(known) < options_.retention)
      return false;
    return (is_final(state_of(known)) || has_ended(known.entry)) &&
           (known.earlier == nullptr || std::all_of(known.earlier->unfinished.begin(),
                                                    known.earlier->unfinished.end(), has_ended));
  });
}

std::optional<claim> claim_keeper::find(const claim_shard& shard, const claim_id& id) const {
  const auto found = kept_.find(shard);
  const auto stored = found == kept_.end() ? std::nullopt : found->second.table.find(id);
  return stored ? stored->committed : std::nullopt;
}

const shard_status* claim_keeper::held(const claim_shard& shard) const {
  const shard_status* status = shards_->find(shard);
  return status != nullptr && same_process(status->holder, self_) ? status : nullptr;
}

claim_keeper::kept_shard& claim_keeper::keep(const claim_shard& shard) {
  return kept_.try_emplace(shard, pool_).first->second;
}

bool claim_keeper::has_room(const team_id& team) const {
  const std::uint32_t* number = pool_.teams.find(team);
  const bool is_known = number != nullptr && *number < pool_.claims_by_team.size();
  const std::size_t of_team = is_known ? pool_.claims_by_team[*number] : 0;
  return pool_.claims < options_.max_claims && of_team < options_.max_claims_per_team;
}

void claim_keeper::send(const incarnation& to, claims_message message) {
  output_->push_back({to, std::move(message)});
}

} // namespace sedgechute
