#include "claims/impl/claim_reporter.hpp"

#include "claims/impl/claim_rules.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

// How long an ungranted ticket is kept after its report was acknowledged. A grant that arrives
// later leaves the key claimed by an attempt that never runs; retries then get `outcome unknown`,
// which is safe.
constexpr time_ms late_grant_window{60000};
constexpr time_ms max_report_interval{16000};

} // namespace

claim_reporter::claim_reporter(const claims_options& options, const shard_map& shards,
                               const host_list& hosts, answer_store& answers,
                               std::vector<addressed_claims_message>& output,
                               std::vector<claim_decision>& decisions)
    : options_{options}, shards_{&shards}, hosts_{&hosts}, answers_{&answers}, output_{&output},
      decisions_{&decisions} {}

void claim_reporter::add(time_ms now, ended_claim ended) {
  entry& added = ended_[ended.subject.ticket];
  added.request = std::move(ended);
  added.ended = now;
  added.wait = options_.report_interval;
  added.acknowledged = !added.request.asked;
  report(now, added);
  schedule(added);
}

void claim_reporter::report(time_ms now, entry& ended) {
  ended.next_send = now + ended.wait;
  ended.wait = std::min(ended.wait * 2, max_report_interval);
  const claim& subject = ended.request.subject;
  const shard_status* status = shards_->find(ended.request.shard);
  if (!ended.acknowledged && status != nullptr)
    output_->push_back({status->holder, claim_report{subject}});
  if (ended.request.copied)
    return;
  // A retry needs the copy if this host dies, so the copy is repeated like the report.
  const retained_answer* answer = answers_->find(subject.id);
  ended.request.copied = answer == nullptr || !hosts_->is_live(subject.peer);
  if (!ended.request.copied)
    output_->push_back({subject.peer, replica_put{subject.ticket, subject.id, *answer}});
}

// The attempt will never be dispatched. The holder must be informed, or the key would stay claimed.
// A second grant of the same ticket is a repeated message and is ignored.
void claim_reporter::on_late_grant(time_ms now, const claim_reply& reply) {
  const auto found = ended_.find(reply.ticket);
  if (found == ended_.end() || found->second.request.granted)
    return;
  entry& ended = found->second;
  ended.request.subject = granted_claim(ended.request.subject, reply);
  ended.request.subject.state = request_state::refused;
  ended.request.granted = true;
  ended.acknowledged = false;
  ended.wait = options_.report_interval;
  report(now, ended);
  schedule(ended);
}

void claim_reporter::on_report_ack(const claim_report_ack& ack) {
  const auto found = ended_.find(ack.ticket);
  if (found == ended_.end() || found->second.request.subject.state != ack.state)
    return;
  found->second.acknowledged = true;
  confirm(found->second, ack.current);
  remove_if_done(ack.ticket);
}

void claim_reporter::confirm(entry& ended, bool current) {
  if (!ended.request.unconfirmed)
    return;
  const error_kind kind = current ? *ended.request.unconfirmed : error_kind::outcome_unknown;
  ended.request.unconfirmed.reset();
  claim_decision& decision = decisions_->emplace_back();
  decision.ticket = ended.request.subject.ticket;
  decision.body = refuse_decision{kind};
}

void claim_reporter::on_replica_stored(const replica_stored& stored) {
  const auto found = ended_.find(stored.ticket);
  if (found == ended_.end())
    return;
  found->second.request.copied = true;
  remove_if_done(stored.ticket);
}

void claim_reporter::on_new_epoch(time_ms now, const claim_shard& shard) {
  for (auto& [ticket, ended] : ended_) {
    if (ended.request.shard != shard || ended.acknowledged)
      continue;
    ended.next_send = now;
    ended.wait = options_.report_interval;
    schedule(ended);
  }
}

void claim_reporter::remove_if_done(std::uint64_t ticket) {
  entry& ended = ended_.at(ticket);
  if (ended.request.granted && ended.acknowledged && ended.request.copied)
    ended_.erase(ticket);
  else
    schedule(ended);
}

void claim_reporter::schedule(entry& ended) {
  const bool done = ended.acknowledged && ended.request.copied;
  ended.due = done ? ended.ended + late_grant_window : ended.next_send;
  if (ended.request.unconfirmed)
    ended.due = std::min(ended.due, ended.ended + options_.begin_timeout);
  due_.add(ended.due, ended.request.subject.ticket);
}

void claim_reporter::tick(time_ms now) {
  last_tick_ = now;
  while (const auto next = due_.take(now)) {
    const auto found = ended_.find(next->second);
    if (found != ended_.end() && found->second.due == next->first)
      handle_due(now, found->second);
  }
}

void claim_reporter::handle_due(time_ms now, entry& ended) {
  if (ended.acknowledged && ended.request.copied) {
    ended_.erase(ended.request.subject.ticket);
    return;
  }
  if (now - ended.ended >= options_.begin_timeout)
    confirm(ended, false);
  if (now >= ended.next_send)
    report(now, ended);
  schedule(ended);
}

bool claim_reporter::idle() const {
  return std::all_of(ended_.begin(), ended_.end(), [&](const auto& item) {
    const entry& ended = item.second;
    return (ended.acknowledged && ended.request.copied) ||
           last_tick_ - ended.ended >= options_.report_timeout;
  });
}

} // namespace sedgechute
