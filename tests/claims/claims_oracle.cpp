#include "claims_simulation.hpp"

#include <utility>

namespace sedgechute::test {

findings& findings::operator+=(const findings& other) {
  calls += other.calls;
  runs += other.runs;
  ran_twice += other.ran_twice;
  false_not_run += other.false_not_run;
  mixed_answers += other.mixed_answers;
  unresolved += other.unresolved;
  stuck += other.stuck;
  refused_unknown += other.refused_unknown;
  refused_not_run += other.refused_not_run;
  retained += other.retained;
  joined += other.joined;
  return *this;
}

void claims_simulation::decide(std::size_t slot, const claim_decision& decision) {
  const auto found = call_of_.find({hosts_[slot].who.number, decision.ticket});
  if (found == call_of_.end())
    return;
  const std::size_t index = found->second;
  if (calls_[index].decided) {
    ++found_.unresolved;
    return;
  }
  calls_[index].decided = true;
  if (const auto* granted = std::get_if<proceed_decision>(&decision.body)) {
    proceed(index, *granted);
  } else if (const auto* kept = std::get_if<retained_decision>(&decision.body)) {
    ++found_.retained;
    if (!kept->answer.complete || kept->answer.body != "answer to " + calls_[index].key)
      ++found_.mixed_answers;
  } else if (const auto* refusal = std::get_if<refuse_decision>(&decision.body)) {
    refused(index, refusal->kind);
  } else {
    ++found_.joined;
  }
}

void claims_simulation::proceed(std::size_t index, const proceed_decision& decision) {
  call& granted = calls_[index];
  found_.unresolved += granted.look_up ? 1 : 0;
  claim_host& host = *hosts_[granted.host].host;
  granted.granted_at = ++events_;
  if (random_.below(5) == 0 && !settling_) {
    granted.decided = false;
    host.finish_refused(now_, granted.ticket, error_kind::no_capacity);
    return;
  }
  host.progress(now_, granted.ticket, endpoint_id{"e"}, 0);
  granted.running = true;
  running_.push_back(index);
  if (decision.resume_only && fault_ != mutation::run_resume_only)
    return;
  granted.ran = true;
  ++found_.runs;
  key_history& history = history_[granted.key];
  if (++history.runs > 1 && !granted.idempotent)
    ++found_.ran_twice;
  // A call that began after this attempt was granted must not have been refused as `not run`.
  for (const std::size_t other : history.calls)
    if (calls_[other].told_not_run && calls_[other].began_at > granted.granted_at)
      ++found_.false_not_run;
}

void claims_simulation::refused(std::size_t index, error_kind kind) {
  const bool fault_active = fault_ == mutation::not_run_if_unreachable;
  if (answer_for(kind).outcome != run_outcome::not_run && !fault_active) {
    ++found_.refused_unknown;
    return;
  }
  ++found_.refused_not_run;
  calls_[index].told_not_run = true;
  if (kind != error_kind::key_reused)
    check_not_run(index);
}

void claims_simulation::check_not_run(std::size_t index) {
  for (const std::size_t other : history_[calls_[index].key].calls) {
    const bool earlier = calls_[other].granted_at < calls_[index].began_at;
    if (calls_[other].ran && (earlier || other == index))
      ++found_.false_not_run;
  }
}

void claims_simulation::end_run(std::uint32_t chosen, std::uint32_t how) {
  if (running_.empty())
    return;
  const std::size_t place_in_list = chosen % running_.size();
  const std::size_t index = running_[place_in_list];
  call& ending = calls_[index];
  if (hosts_[ending.host].paused)
    return;
  running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(place_in_list));
  ending.running = false;
  claim_host& host = *hosts_[ending.host].host;
  if (how % 4 == 0) {
    host.finish_unknown(now_, ending.ticket);
  } else {
    retained_answer answer;
    answer.status = 200;
    answer.body = "answer to " + ending.key;
    host.finish_answered(now_, ending.ticket, answer);
  }
  collect(ending.host);
}

void claims_simulation::settle() {
  cut_ = {};
  suspected_until_ = {};
  log_down_ = false;
  settling_ = true;
  for (host_slot& slot : hosts_)
    slot.paused = false;
  next_views_ = now_;
  advance(time_ms{5000});
  for (const call& one : calls_)
    found_.unresolved += one.decided ? 0 : 1;
}

void claims_simulation::check_recovery() {
  advance(time_ms{20000});
  std::vector<std::size_t> fresh_calls;
  for (std::size_t slot = 0; slot < host_count; ++slot) {
    const auto minted = hosts_[slot].host->mint_key(now_);
    found_.stuck += minted ? 0 : 1;
    if (minted && !hosts_[slot].draining)
      fresh_calls.push_back(call_host({*minted, random_(), false, now_}, slot, false, false));
  }
  advance(time_ms{2500});
  for (const std::size_t index : fresh_calls)
    found_.stuck += calls_[index].ran ? 0 : 1;
}

bool claims_simulation::mutate(std::size_t slot, const addressed_claims_message& sent) {
  if (const auto* asked = std::get_if<countersign_request>(&sent.message)) {
    if (fault_ != mutation::skip_witness)
      return false;
    hosts_[slot].host->on_message(now_, sent.to,
                                  countersign_reply{shard_of(asked->subject.id, options()),
                                                    asked->epoch, countersign_result::accepted,
                                                    asked->serial, std::nullopt});
    return true;
  }
  if (const auto* reply = std::get_if<countersign_reply>(&sent.message)) {
    if (fault_ != mutation::ignore_seal || reply->result == countersign_result::accepted)
      return false;
    network_.push_back({hosts_[slot].who, sent.to,
                        countersign_reply{reply->shard, reply->epoch, countersign_result::accepted,
                                          reply->serial, std::nullopt}});
    return true;
  }
  if (const auto* part = std::get_if<table_part>(&sent.message)) {
    if (fault_ != mutation::forget_tombstones || part->claims.empty())
      return false;
    table_part emptied = *part;
    emptied.claims.clear();
    network_.push_back({hosts_[slot].who, sent.to, std::move(emptied)});
    return true;
  }
  if (const auto* reply = std::get_if<claim_reply>(&sent.message)) {
    if (fault_ == mutation::forget_attempts && reply->verdict == claim_verdict::granted &&
        reply->current) {
      network_.push_back({hosts_[slot].who, sent.to,
                          claim_reply{reply->ticket, reply->verdict, reply->epoch, std::nullopt}});
      return true;
    }
    if (fault_ != mutation::blind_to_lost_epochs || reply->verdict != claim_verdict::unknown)
      return false;
    claim_reply granted = *reply;
    granted.verdict = claim_verdict::granted;
    granted.current.reset();
    network_.push_back({hosts_[slot].who, sent.to, std::move(granted)});
    return true;
  }
  return false;
}

findings run_schedule(std::uint64_t seed, std::size_t steps, mutation fault) {
  claims_simulation world{seed, fault};
  for (std::size_t i = 0; i < steps; ++i)
    world.apply(world.random_action());
  world.settle();
  constexpr std::uint64_t recovery_checks = 8;
  if (seed % recovery_checks == 0)
    world.check_recovery();
  return world.found();
}

} // namespace sedgechute::test
