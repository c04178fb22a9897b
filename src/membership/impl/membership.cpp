#include "membership/impl/membership.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

constexpr std::size_t max_relays = 64;
constexpr unsigned sequence_start_shift = 32;

} // namespace

membership::membership(incarnation self, data_centre_id data_centre, std::string address,
                       const membership_options& options, std::uint64_t seed)
    : table_{{std::move(self), std::move(data_centre), std::move(address), 1}, options, seed},
      options_{options}, random_{mix_hash(seed, 1)},
      // Starts at a random number, so that a late or replayed answer to a probe of an earlier
      // process of this host doesn't match a probe of this one.
      last_sequence_{mix_hash(seed, 2) >> sequence_start_shift} {}

void membership::on_host_list(time_ms, const std::vector<listed_host>& entries) {
  listed_ = entries;
  for (const listed_host& entry : listed_)
    if (entry.leaving)
      table_.mark_leaving(entry.host);
}

void membership::on_message(time_ms now, const membership_message& message) {
  const host_id& sender = message.from.who.host;
  if (sender.empty() || message.from.who == table_.self().who)
    return;
  table_.merge(now, message.from);
  const bool full_exchange = message.updates.size() > max_gossip_updates;
  for (const member_update& update : message.updates)
    table_.merge(now, update, !full_exchange);

  switch (message.kind) {
  case membership_message_kind::ping:
    on_ping(message);
    break;
  case membership_message_kind::ack:
    on_ack(now, message);
    break;
  case membership_message_kind::indirect_ping:
    on_indirect_ping(now, message);
    break;
  case membership_message_kind::sync_request:
    send_table(message.from.address, membership_message_kind::gossip);
    break;
  case membership_message_kind::gossip:
    break;
  }
}

void membership::on_ping(const membership_message& message) {
  // If the sender is dead or suspect in this table, it must be informed so that it can refute.
  std::vector<member_update> about_sender;
  const member_update* known = table_.find(message.from.who);
  if (known != nullptr && known->state != member_state::alive)
    about_sender.push_back(*known);
  send(message.from.address, membership_message_kind::ack, message.sequence, table_.self().who,
       std::move(about_sender));
}

void membership::on_ack(time_ms now, const membership_message& message) {
  if (probe_ && probe_->sequence == message.sequence) {
    // Another incarnation answers at the address of the probed one, so the probed one has ended.
    if (message.target != probe_->target && message.target.host == probe_->target.host)
      table_.declare_dead(now, probe_->target);
    probe_.reset();
  }
  const auto asked = std::find_if(relays_.begin(), relays_.end(), [&](const relay& candidate) {
    return candidate.sequence == message.sequence;
  });
  if (asked == relays_.end())
    return;
  send(asked->requester_address, membership_message_kind::ack, asked->requester_sequence,
       message.target);
  relays_.erase(asked);
}

void membership::on_indirect_ping(time_ms now, const membership_message& message) {
  std::erase_if(relays_, [&](const relay& old) { return old.expires <= now; });
  if (relays_.size() >= max_relays)
    return;
  const std::uint64_t sequence = ++last_sequence_;
  relays_.push_back(
      {sequence, message.sequence, message.from.address, now + options_.probe_period});
  send(message.target_address, membership_message_kind::ping, sequence, message.target);
}

void membership::tick(time_ms now) {
  detect_pause(now);
  check_probe(now);
  if (now >= next_probe_)
    start_probe(now);
  table_.expire(now);
  if (now >= next_lost_probe_) {
    next_lost_probe_ = now + options_.lost_probe_period;
    probe_lost_host();
  }
  if (now >= next_gossip_ && table_.has_outgoing_updates()) {
    next_gossip_ = now + options_.gossip_interval;
    gossip();
  }
  if (!table_.live_others().empty() && (!synchronised_ || now >= next_sync_)) {
    synchronised_ = true;
    next_sync_ = now + options_.sync_period;
    synchronise();
  }
}

// After a pause (stopped process, overloaded host) answers and refutations are still unread in the
// sockets, and timeouts would declare healthy members dead. So the pending probe is dropped and
// every suspicion is extended by the length of the pause.
void membership::detect_pause(time_ms now) {
  if (!last_tick_) {
    next_probe_ =
        now + time_ms{static_cast<std::int64_t>(random_.below(options_.probe_period.count()))};
    next_sync_ = now + options_.sync_period;
  }
  const time_ms gap = last_tick_ ? now - *last_tick_ : time_ms{0};
  last_tick_ = now;
  if (gap <= options_.pause_limit)
    return;
  probe_.reset();
  table_.postpone_suspicions(gap);
}

void membership::check_probe(time_ms now) {
  if (!probe_)
    return;
  if (now >= probe_->fails_at) {
    table_.suspect(now, probe_->target);
    // The suspect itself must be informed so that it can refute.
    const member_update* latest = table_.find(probe_->target);
    if (latest != nullptr && latest->state == member_state::suspect)
      send(latest->address, membership_message_kind::ping, ++last_sequence_, latest->who,
           {*latest});
    probe_.reset();
    return;
  }
  if (now >= probe_->indirect_at && !std::exchange(probe_->indirect, true))
    send_indirect_pings(probe_->target);
}

void membership::start_probe(time_ms now) {
  next_probe_ = std::max(next_probe_ + options_.probe_period, now + options_.direct_timeout);
  const auto& order = table_.live_others();
  if (probe_ || order.empty())
    return;
  if (next_probe_index_ >= order.size())
    next_probe_index_ = 0;
  const member_update* target = table_.find(order[next_probe_index_++]);
  if (target == nullptr)
    return;
  probe_ = probe{++last_sequence_, target->who, now + options_.direct_timeout,
                 now + options_.probe_period - time_ms{1}};
  std::vector<member_update> suspicion;
  if (target->state == member_state::suspect)
    suspicion.push_back(*target);
  send(target->address, membership_message_kind::ping, probe_->sequence, target->who,
       std::move(suspicion));
}

void membership::send_indirect_pings(const incarnation& target) {
  const member_update* latest = table_.find(target);
  if (latest == nullptr)
    return;
  const std::string target_address = latest->address;
  std::vector<std::string> helper_addresses;
  for (const member_update* helper : choose_helpers(*latest))
    helper_addresses.push_back(helper->address);
  for (const std::string& address : helper_addresses) {
    send(address, membership_message_kind::indirect_ping, probe_->sequence, target);
    output_.back().message.target_address = target_address;
  }
}

// The link between two data centres can break while both reach a third. Helpers in those two would
// then all fail, so half of the helpers are from other data centres, if there are any.
std::vector<const member_update*> membership::choose_helpers(const member_update& target) {
  std::vector<const member_update*> third;
  std::vector<const member_update*> others;
  const auto& order = table_.live_others();
  const std::size_t start = random_.below(order.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    const member_update* candidate = table_.find(order[(start + i) % order.size()]);
    if (candidate->who == target.who)
      continue;
    const bool elsewhere = candidate->data_centre != target.data_centre &&
                           candidate->data_centre != table_.self().data_centre;
    (elsewhere ? third : others).push_back(candidate);
  }
  const std::size_t half = options_.indirect_probes / 2;
  third.resize(std::min(third.size(),
                        std::max(half, options_.indirect_probes -
                                           std::min(options_.indirect_probes, others.size()))));
  others.resize(std::min(others.size(), options_.indirect_probes - third.size()));
  third.insert(third.end(), others.begin(), others.end());
  return third;
}

// After a partition each side considers the other dead and doesn't probe it any more. Pinging
// listed hosts that are not live, one at a time and at a low rate, rejoins both sides without an
// operator: the ping carries the incarnations that are dead in this table, and a running one
// refutes.
void membership::probe_lost_host() {
  std::vector<const listed_host*> lost;
  for (const listed_host& entry : listed_)
    if (!table_.host_is_live(entry.host))
      lost.push_back(&entry);
  if (lost.empty())
    return;
  const listed_host& chosen = *lost[random_.below(lost.size())];
  send(chosen.address, membership_message_kind::ping, ++last_sequence_, {},
       table_.dead_incarnations_of(chosen.host));
}

void membership::gossip() {
  for (std::size_t i = 0; i < options_.gossip_fanout; ++i) {
    const member_update* receiver = random_member();
    if (receiver != nullptr)
      send(receiver->address, membership_message_kind::gossip, 0, {});
  }
}

void membership::synchronise() {
  const member_update* partner = random_member();
  if (partner != nullptr)
    send_table(partner->address, membership_message_kind::sync_request);
}

void membership::send_table(const std::string& address, membership_message_kind first_kind) {
  const std::vector<member_update> all = table_.live_updates();
  membership_message_kind kind = first_kind;
  std::size_t sent = 0;
  do {
    const std::size_t count = std::min(max_sync_updates, all.size() - sent);
    membership_message part = make(std::exchange(kind, membership_message_kind::gossip));
    const auto from = all.begin() + static_cast<std::ptrdiff_t>(sent);
    part.updates.assign(from, from + static_cast<std::ptrdiff_t>(count));
    output_.push_back({address, std::move(part)});
    sent += count;
  } while (sent < all.size());
}

void membership::leave(time_ms) {
  table_.leave();
}

void membership::stop(time_ms) {
  table_.stop();
  gossip();
}

std::vector<addressed_membership_message> membership::take_output() {
  return std::exchange(output_, {});
}

void membership::send(const std::string& address, membership_message_kind kind,
                      std::uint64_t sequence, const incarnation& target,
                      std::vector<member_update> first) {
  membership_message message = make(kind);
  message.sequence = sequence;
  message.target = target;
  message.updates = std::move(first);
  const std::size_t room =
      max_gossip_updates - std::min(max_gossip_updates, message.updates.size());
  for (member_update& update : table_.take_outgoing_updates(room))
    message.updates.push_back(std::move(update));
  output_.push_back({address, std::move(message)});
}

membership_message membership::make(membership_message_kind kind) const {
  membership_message message;
  message.kind = kind;
  message.from = table_.self();
  return message;
}

const member_update* membership::random_member() {
  const auto& order = table_.live_others();
  return order.empty() ? nullptr : table_.find(order[random_.below(order.size())]);
}

} // namespace sedgechute
