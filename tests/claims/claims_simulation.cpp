#include "claims_simulation.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute::test {

claims_options claims_simulation::options() {
  claims_options chosen;
  chosen.unpinned_shards = 1;
  chosen.shards_per_data_centre = 1;
  chosen.startup_wait = time_ms{500};
  chosen.retention = time_ms{120000};
  chosen.rotation_period = time_ms{8000};
  chosen.successor_wait = time_ms{3000};
  chosen.empty_epoch_interval = time_ms{6000};
  chosen.report_timeout = time_ms{5000};
  chosen.single_host_wait = time_ms{3000};
  return chosen;
}

claims_simulation::claims_simulation(std::uint64_t seed, mutation fault)
    : fault_{fault}, random_{seed} {
  for (std::size_t slot = 0; slot < host_count; ++slot)
    hosts_[slot].who = {host_id{"h" + std::to_string(slot)}, random_() | 1U};
  const std::array delegations{std::pair{claim_shard{data_centre_id{}, false, 0}, 0U},
                               std::pair{claim_shard{data_centre(0), false, 0}, 1U},
                               std::pair{claim_shard{data_centre(0), true, 0}, 0U},
                               std::pair{claim_shard{data_centre(4), false, 0}, 3U},
                               std::pair{claim_shard{data_centre(4), true, 0}, 3U}};
  for (const auto& [shard, holder] : delegations)
    log_.push_back(
        {random_(), claim_delegation{shard, 0, hosts_[holder].who, hosts_[holder + 1].who, 0}});
  for (std::size_t slot = 0; slot < host_count; ++slot) {
    hosts_[slot].host = std::make_unique<claim_host>(hosts_[slot].who, data_centre(slot), options(),
                                                     hosts_[slot].who.number);
    read_log(slot);
  }
  refresh_views();
  for (std::uint32_t key = 0; key < key_count; ++key)
    keys_.push_back({});
}

void claims_simulation::start(std::size_t slot) {
  host_slot& started = hosts_[slot];
  started.who.number = random_() | 1U;
  started.host =
      std::make_unique<claim_host>(started.who, data_centre(slot), options(), started.who.number);
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

action claims_simulation::random_action() {
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

void claims_simulation::apply(const action& step) {
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
        const bool between_data_centres = step.b % 2 == 0 && data_centre(i) != data_centre(j);
        const bool around_host = step.b % 2 == 1 && (i == slot) != (j == slot);
        cut_[i][j] = cut_[i][j] || between_data_centres || around_host;
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
    // Only one host per data centre at a time, as in a rolling replacement.
    for (std::size_t other = 0; other < host_count; ++other)
      if (hosts_[other].draining && data_centre(other) == data_centre(slot))
        return;
    hosts_[slot].draining = true;
    hosts_[slot].host->drain(now_);
    break;
  case action_kind::suspect:
    suspected_until_[slot][step.b % host_count] = now_ + time_ms{4000};
    break;
  }
}

void claims_simulation::begin(std::uint32_t chosen, std::size_t slot) {
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

std::size_t claims_simulation::call_host(const caller_key& key, std::size_t slot, bool fresh,
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

void claims_simulation::advance(time_ms span) {
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

void claims_simulation::refresh_views() {
  for (std::size_t viewer = 0; viewer < host_count; ++viewer) {
    if (hosts_[viewer].paused)
      continue;
    std::vector<live_host> view;
    for (std::size_t other = 0; other < host_count; ++other) {
      const bool suspected = suspected_until_[viewer][other] > now_;
      if (viewer == other || (!hosts_[other].paused && !is_cut(viewer, other) && !suspected))
        view.push_back({hosts_[other].who, data_centre(other), hosts_[other].draining});
    }
    if (view == hosts_[viewer].view)
      continue;
    hosts_[viewer].host->on_members(now_, view);
    hosts_[viewer].view = std::move(view);
  }
}

void claims_simulation::deliver_some() {
  delivering_.clear();
  delivering_.swap(network_);
  for (in_flight& sent : delivering_) {
    const auto to = slot_of(sent.to);
    const auto from = slot_of(sent.from);
    // A message from a process that has ended may still arrive, but not one to such a process.
    if (!to || (from && is_cut(*from, *to)))
      continue;
    const std::uint64_t draw = settling_ ? 100 : random_.below(100);
    if (draw < 4)
      continue;
    if (draw < 14 || hosts_[*to].paused) {
      network_.push_back(std::move(sent));
      continue;
    }
    if (draw < 18)
      network_.push_back(sent);
    hosts_[*to].host->on_message(now_, sent.from, sent.message);
    collect(*to);
  }
  if (network_.size() > 1 && !settling_)
    std::swap(network_[random_.below(network_.size())], network_.back());
}

void claims_simulation::collect(std::size_t slot) {
  for (;;) {
    claims_output output = hosts_[slot].host->take_output();
    if (output.messages.empty() && output.records.empty() && output.decisions.empty())
      return;
    for (addressed_claims_message& sent : output.messages)
      if (!mutate(slot, sent))
        network_.push_back({hosts_[slot].who, sent.to, std::move(sent.message)});
    for (const claims_record& record : output.records)
      append(slot, record);
    for (const claim_decision& decision : output.decisions)
      decide(slot, decision);
  }
}

void claims_simulation::append(std::size_t slot, const claims_record& record) {
  if (log_down_)
    return;
  if (fault_ == mutation::trust_append)
    hosts_[slot].host->on_record(now_, log_.size() + 1, record);
  const std::uint64_t draw = settling_ ? 100 : random_.below(100);
  if (draw < 10)
    return;
  if (draw < 20) {
    late_appends_.push_back(record);
    return;
  }
  log_.push_back(record);
  if (draw < 30)
    late_appends_.push_back(record);
}

void claims_simulation::read_log(std::size_t slot) {
  host_slot& reader = hosts_[slot];
  while (reader.read < log_.size()) {
    const claims_record record = log_[reader.read];
    reader.host->on_record(now_, ++reader.read, record);
  }
}

void claims_simulation::skip_log(std::size_t slot) {
  const auto donor =
      std::max_element(hosts_.begin(), hosts_.end(),
                       [](const host_slot& a, const host_slot& b) { return a.read < b.read; });
  if (donor->read <= hosts_[slot].read)
    return;
  hosts_[slot].host->restore(now_, donor->host->snapshot());
  hosts_[slot].read = donor->read;
}

void claims_simulation::crash(std::size_t slot) {
  for (call& affected : calls_)
    if (affected.host == slot && affected.number == hosts_[slot].who.number) {
      affected.decided = true;
      affected.running = false;
    }
  std::erase_if(running_, [&](std::size_t index) { return !calls_[index].running; });
  start(slot);
}

std::optional<std::size_t> claims_simulation::slot_of(const incarnation& who) const {
  for (std::size_t slot = 0; slot < host_count; ++slot)
    if (same_process(hosts_[slot].who, who))
      return slot;
  return std::nullopt;
}

} // namespace sedgechute::test
