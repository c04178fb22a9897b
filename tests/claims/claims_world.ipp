#pragma once

#include <algorithm>
#include <utility>

namespace sedgechute::test {

inline findings& findings::operator+=(const findings& other) {
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

inline claims_options claims_world::options() {
  claims_options chosen;
  chosen.shards_without_home = 1;
  chosen.shards_per_data_centre = 1;
  chosen.settle_time = time_ms{500};
  chosen.retention = time_ms{120000};
  chosen.rotation_period = time_ms{8000};
  chosen.successor_wait = time_ms{3000};
  chosen.blank_interval = time_ms{6000};
  chosen.report_patience = time_ms{5000};
  chosen.lone_wait = time_ms{3000};
  return chosen;
}

inline claims_world::claims_world(std::uint64_t seed, mutation fault)
    : fault_{fault}, random_{seed} {
  for (std::size_t slot = 0; slot < host_count; ++slot)
    hosts_[slot].who = {host_id{"h" + std::to_string(slot)}, random_() | 1U};
  const std::array homes{std::pair{claim_shard{data_centre_id{}, false, 0}, 0U},
                         std::pair{claim_shard{place(0), false, 0}, 1U},
                         std::pair{claim_shard{place(0), true, 0}, 0U},
                         std::pair{claim_shard{place(4), false, 0}, 3U},
                         std::pair{claim_shard{place(4), true, 0}, 3U}};
  for (const auto& [shard, holder] : homes)
    log_.push_back(
        {random_(), claim_delegation{shard, 0, hosts_[holder].who, hosts_[holder + 1].who, 0}});
  for (std::size_t slot = 0; slot < host_count; ++slot) {
    hosts_[slot].host = std::make_unique<claim_host>(hosts_[slot].who, place(slot), options(),
                                                     hosts_[slot].who.number);
    read_log(slot);
  }
  refresh_views();
  for (std::uint32_t key = 0; key < key_count; ++key)
    keys_.push_back({});
}

inline void claims_world::start(std::size_t slot) {
  host_slot& started = hosts_[slot];
  started.who.number = random_() | 1U;
  started.host =
      std::make_unique<claim_host>(started.who, place(slot), options(), started.who.number);
  started.read = 0;
  started.paused = false;
  started.view.clear();
  started.draining = false;
  const host_slot& donor = hosts_[random_.below(host_count)];
  if (&donor != &started && random_.below(2) == 0) {
    started.host->restore(now_, donor.host->snapshot());
    started.read = donor.read;
  }
  if (!log_down_)
    read_log(slot);
}

inline action claims_world::random_action() {
  static constexpr std::array weights{30U, 45U, 12U, 2U, 3U, 3U, 2U, 2U, 1U, 2U, 2U, 1U};
  std::uint64_t total = 0;
  for (const unsigned weight : weights)
    total += weight;
  std::uint64_t drawn = random_.below(total);
  std::size_t kind = 0;
  while (drawn >= weights[kind])
    drawn -= weights[kind++];
  return {static_cast<action_kind>(kind), static_cast<std::uint32_t>(random_()),
          static_cast<std::uint32_t>(random_())};
}

inline void claims_world::apply(const action& step) {
  const std::size_t slot = step.a % host_count;
  switch (step.kind) {
  case action_kind::begin:
    begin(step.a, step.b % host_count);
    break;
  case action_kind::advance:
    advance(time_ms{5 + static_cast<std::int64_t>(step.a % 8 == 0 ? step.b % 3000 : step.b % 80)});
    break;
  case action_kind::end_run:
    end_run(step.a, step.b);
    break;
  case action_kind::crash:
    crash(slot);
    break;
  case action_kind::pause:
    hosts_[slot].paused = true;
    break;
  case action_kind::resume:
    if (hosts_[slot].paused && step.b % 3 == 0)
      skip_log(slot);
    hosts_[slot].paused = false;
    break;
  case action_kind::cut:
    for (std::size_t i = 0; i < host_count; ++i)
      for (std::size_t j = 0; j < host_count; ++j) {
        const bool between_places = step.b % 2 == 0 && place(i) != place(j);
        const bool around_host = step.b % 2 == 1 && (i == slot) != (j == slot);
        cut_[i][j] = cut_[i][j] || between_places || around_host;
      }
    break;
  case action_kind::heal:
    cut_ = {};
    break;
  case action_kind::log_outage:
    log_down_ = true;
    break;
  case action_kind::log_back:
    log_down_ = false;
    break;
  case action_kind::drain:
    // One host of a data centre at a time, as in a rolling replacement.
    for (std::size_t other = 0; other < host_count; ++other)
      if (hosts_[other].draining && place(other) == place(slot))
        return;
    hosts_[slot].draining = true;
    hosts_[slot].host->drain(now_);
    break;
  case action_kind::suspect:
    suspected_until_[slot][step.b % host_count] = now_ + time_ms{4000};
    break;
  }
}

inline void claims_world::begin(std::uint32_t chosen, std::size_t slot) {
  host_slot& entry = hosts_[slot];
  if (entry.paused || entry.draining)
    return;
  caller_key& key = keys_[chosen % key_count];
  const bool old = now_ - key.first_used > time_ms{60000} || chosen % 41 == 0;
  bool fresh = false;
  if (key.text.empty() || (old && !key.text.starts_with("f1."))) {
    const std::uint32_t form = (chosen / 41) % 4;
    key = {"k" + std::to_string(random_.below(1000000)), random_(), (chosen / 7) % 3 == 0, now_};
    if (form == 1)
      key.text = "@a/" + key.text;
    const auto minted = entry.host->mint_key(now_);
    fresh = form == 2 && minted;
    if (form >= 2)
      key.text = minted.value_or(key.text);
  }
  call_host(key, slot, fresh, !fresh && chosen % 17 == 0);
}

inline std::size_t claims_world::call_host(const caller_key& key, std::size_t slot, bool fresh,
                                           bool look_up) {
  host_slot& entry = hosts_[slot];
  const team_id team{"t"};
  const std::uint64_t ticket =
      look_up ? entry.host->look_up(now_, team, key.text)
              : entry.host->begin(now_, {team, key.text, key.fingerprint, key.idempotent, fresh});
  ++found_.calls;
  const std::size_t index = calls_.size();
  history_[key.text].calls.push_back(index);
  call_of_[{entry.who.number, ticket}] = index;
  call& started = calls_.emplace_back();
  started.key = key.text;
  started.host = slot;
  started.number = entry.who.number;
  started.ticket = ticket;
  started.idempotent = key.idempotent;
  started.look_up = look_up;
  started.began_at = ++events_;
  collect(slot);
  return index;
}

inline void claims_world::advance(time_ms span) {
  while (span > time_ms{0}) {
    const time_ms step = std::min(span, time_ms{250});
    span -= step;
    now_ += step;
    if (now_ >= next_views_) {
      next_views_ = now_ + time_ms{300};
      refresh_views();
    }
    deliver_some();
    for (std::size_t slot = 0; slot < host_count; ++slot) {
      if (hosts_[slot].paused)
        continue;
      if (!log_down_ && (settling_ || random_.below(4) != 0))
        read_log(slot);
      hosts_[slot].host->tick(now_);
      collect(slot);
      if (hosts_[slot].draining && hosts_[slot].host->drained())
        crash(slot);
    }
    if (!log_down_ && !late_appends_.empty()) {
      log_.push_back(late_appends_.back());
      late_appends_.pop_back();
    }
  }
}

inline void claims_world::refresh_views() {
  for (std::size_t viewer = 0; viewer < host_count; ++viewer) {
    if (hosts_[viewer].paused)
      continue;
    std::vector<live_host> view;
    for (std::size_t other = 0; other < host_count; ++other) {
      const bool suspected = suspected_until_[viewer][other] > now_;
      if (viewer == other || (!hosts_[other].paused && !is_cut(viewer, other) && !suspected))
        view.push_back({hosts_[other].who, place(other), hosts_[other].draining});
    }
    if (view == hosts_[viewer].view)
      continue;
    hosts_[viewer].host->on_members(now_, view);
    hosts_[viewer].view = std::move(view);
  }
}

inline void claims_world::deliver_some() {
  std::vector<in_flight> due;
  due.swap(network_);
  for (in_flight& sent : due) {
    const auto to = slot_of(sent.to);
    const auto from = slot_of(sent.from);
    // A message of a process that has ended may still arrive; one to such a process can't.
    if (!to || (from && is_cut(*from, *to)))
      continue;
    const std::uint64_t fate = settling_ ? 100 : random_.below(100);
    if (fate < 4)
      continue;
    if (fate < 14 || hosts_[*to].paused) {
      network_.push_back(std::move(sent));
      continue;
    }
    if (fate < 18)
      network_.push_back(sent);
    hosts_[*to].host->on_message(now_, sent.from, sent.message);
    collect(*to);
  }
  if (network_.size() > 1 && !settling_)
    std::swap(network_[random_.below(network_.size())], network_.back());
}

inline void claims_world::collect(std::size_t slot) {
  claims_output output = hosts_[slot].host->take_output();
  while (!output.messages.empty() || !output.records.empty() || !output.decisions.empty()) {
    for (addressed_claims_message& sent : output.messages)
      if (!mutate(slot, sent))
        network_.push_back({hosts_[slot].who, sent.to, std::move(sent.message)});
    for (const claims_record& record : output.records)
      append(slot, record);
    for (const claim_decision& decision : output.decisions)
      decide(slot, decision);
    output = hosts_[slot].host->take_output();
  }
}

inline void claims_world::append(std::size_t slot, const claims_record& record) {
  if (log_down_)
    return;
  if (fault_ == mutation::trust_append)
    hosts_[slot].host->on_record(now_, log_.size() + 1, record);
  const std::uint64_t fate = settling_ ? 100 : random_.below(100);
  if (fate < 10)
    return;
  if (fate < 20) {
    late_appends_.push_back(record);
    return;
  }
  log_.push_back(record);
  if (fate < 30)
    late_appends_.push_back(record);
}

inline void claims_world::read_log(std::size_t slot) {
  host_slot& reader = hosts_[slot];
  while (reader.read < log_.size()) {
    const claims_record record = log_[reader.read];
    reader.host->on_record(now_, ++reader.read, record);
  }
}

inline void claims_world::skip_log(std::size_t slot) {
  const auto donor =
      std::max_element(hosts_.begin(), hosts_.end(), [](const host_slot& a, const host_slot& b) {
        return a.read < b.read;
      });
  if (donor->read <= hosts_[slot].read)
    return;
  hosts_[slot].host->restore(now_, donor->host->snapshot());
  hosts_[slot].read = donor->read;
}

inline void claims_world::crash(std::size_t slot) {
  for (call& affected : calls_)
    if (affected.host == slot && affected.number == hosts_[slot].who.number) {
      affected.decided = true;
      affected.running = false;
    }
  std::erase_if(running_, [&](std::size_t index) { return !calls_[index].running; });
  start(slot);
}

inline void claims_world::decide(std::size_t slot, const claim_decision& decision) {
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

inline void claims_world::proceed(std::size_t index, const proceed_decision& decision) {
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
  // A call that began after this attempt was granted must not have been told that nothing can run.
  for (const std::size_t other : history.calls)
    if (calls_[other].told_not_run && calls_[other].began_at > granted.granted_at)
      ++found_.false_not_run;
}

inline void claims_world::refused(std::size_t index, error_kind kind) {
  const bool pretends = fault_ == mutation::not_run_if_unreachable;
  if (answer_for(kind).outcome != run_outcome::not_run && !pretends) {
    ++found_.refused_unknown;
    return;
  }
  ++found_.refused_not_run;
  calls_[index].told_not_run = true;
  if (kind != error_kind::key_reused)
    check_not_run(index);
}

inline void claims_world::check_not_run(std::size_t index) {
  for (const std::size_t other : history_[calls_[index].key].calls) {
    const bool earlier = calls_[other].granted_at < calls_[index].began_at;
    if (calls_[other].ran && (earlier || other == index))
      ++found_.false_not_run;
  }
}

inline void claims_world::end_run(std::uint32_t chosen, std::uint32_t how) {
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

inline std::optional<std::size_t> claims_world::slot_of(const incarnation& who) const {
  for (std::size_t slot = 0; slot < host_count; ++slot)
    if (same_process(hosts_[slot].who, who))
      return slot;
  return std::nullopt;
}

inline void claims_world::settle() {
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

inline void claims_world::check_recovery() {
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

inline bool claims_world::mutate(std::size_t slot, const addressed_claims_message& sent) {
  if (const auto* asked = std::get_if<countersign_request>(&sent.message)) {
    if (fault_ != mutation::skip_witness)
      return false;
    hosts_[slot].host->on_message(
        now_, sent.to,
        countersign_reply{asked->shard, asked->epoch, countersign_result::accepted,
                          asked->subject});
    return true;
  }
  if (const auto* reply = std::get_if<countersign_reply>(&sent.message)) {
    if (fault_ != mutation::ignore_seal || reply->result == countersign_result::accepted)
      return false;
    network_.push_back({hosts_[slot].who, sent.to,
                        countersign_reply{reply->shard, reply->epoch, countersign_result::accepted,
                                          reply->subject}});
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
    if (fault_ != mutation::blind_to_lost_epochs || reply->verdict != claim_verdict::unknown)
      return false;
    claim_reply granted = *reply;
    granted.verdict = claim_verdict::granted;
    granted.current.state = request_state::claimed;
    granted.current.attempt = 1;
    network_.push_back({hosts_[slot].who, sent.to, std::move(granted)});
    return true;
  }
  return false;
}

inline findings run_schedule(std::uint64_t seed, std::size_t steps, mutation fault) {
  claims_world world{seed, fault};
  for (std::size_t i = 0; i < steps; ++i)
    world.apply(world.random_action());
  world.settle();
  constexpr std::uint64_t recovery_checks = 8;
  if (seed % recovery_checks == 0)
    world.check_recovery();
  return world.found();
}

} // namespace sedgechute::test
