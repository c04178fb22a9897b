#include "membership/impl/member_table.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace sedgechute {

namespace {

constexpr time_ms cleanup_period{10000};

bool is_newer(const member_update& update, const member_update& known) {
  if (update.version != known.version)
    return update.version > known.version;
  return update.state > known.state;
}

member as_member(const member_update& latest) {
  return {latest.who, latest.data_centre, latest.address, latest.state, latest.leaving};
}

} // namespace

member_table::member_table(member_update self, const membership_options& options,
                           std::uint64_t seed)
    : self_{std::move(self)}, options_{options}, random_{seed} {}

void member_table::merge(time_ms now, const member_update& update, bool disseminate) {
  if (!started_known_) {
    started_ = now;
    started_known_ = true;
  }
  if (update.who == self_.who) {
    refute(update);
    return;
  }
  // Without this rule, the old incarnation of a restarted host would be suspected for seconds
  // before it counts as dead. The new process can be sure that it has ended. The rule is limited to
  // the time after the start, or two processes with the same name by mistake would keep declaring
  // each other dead.
  member_update believed = update;
  const bool predecessor = update.who.host == self_.who.host;
  if (predecessor && now - started_ < options_.joining_window)
    believed.state = member_state::dead;

  const auto known = records_.find(update.who);
  if (known != records_.end())
    apply(now, known->second, believed);
  else if (believed.state != member_state::dead || predecessor)
    add(now, believed, disseminate);
}

void member_table::refute(const member_update& update) {
  // After `stop`, an update that calls this process dead is correct.
  if (update.state == member_state::alive || update.version < self_.version ||
      self_.state == member_state::dead)
    return;
  self_.version = update.version + 1;
  enqueue_self();
}

void member_table::add(time_ms now, const member_update& update, bool disseminate) {
  record& added = records_[update.who];
  added.latest = update;
  added.since = now;
  if (disseminate)
    enqueue(added);
  if (update.state == member_state::dead)
    return;
  insert_into_probe_order(update.who);
  if (update.state == member_state::suspect)
    suspects_.push_back(update.who);
  view_changed_ = true;
  suspect_other_incarnations(now, update.who);
}

// Incarnation numbers are random, so they don't show which of two is newer. All are suspected; the
// running one refutes the suspicion.
void member_table::suspect_other_incarnations(time_ms now, const incarnation& who) {
  for (auto it = first_record_of(who.host); it != records_.end() && it->first.host == who.host;
       ++it)
    if (it->first != who)
      suspect(now, it->first);
}

void member_table::apply(time_ms now, record& known, const member_update& update) {
  if (update.leaving && !known.latest.leaving) {
    known.latest.leaving = true;
    view_changed_ = true;
    enqueue(known);
  }
  if (!is_newer(update, known.latest))
    return;
  known.latest.version = update.version;
  if (known.latest.address != update.address) {
    known.latest.address = update.address;
    view_changed_ = true;
  }
  set_state(now, known, update.state);
  enqueue(known);
}

void member_table::set_state(time_ms now, record& known, member_state state) {
  const member_state before = std::exchange(known.latest.state, state);
  if (before == state)
    return;
  const incarnation& who = known.latest.who;
  known.since = now;
  view_changed_ = true;
  if (before == member_state::suspect)
    std::erase(suspects_, who);
  if (state == member_state::suspect)
    suspects_.push_back(who);
  if (before == member_state::dead)
    insert_into_probe_order(who);
  if (state == member_state::dead)
    std::erase(probe_order_, who);
}

void member_table::suspect(time_ms now, const incarnation& who) {
  const auto known = records_.find(who);
  if (known == records_.end() || known->second.latest.state != member_state::alive)
    return;
  set_state(now, known->second, member_state::suspect);
  enqueue(known->second);
}

void member_table::declare_dead(time_ms now, const incarnation& who) {
  const auto known = records_.find(who);
  if (known == records_.end() || known->second.latest.state == member_state::dead)
    return;
  set_state(now, known->second, member_state::dead);
  enqueue(known->second);
}

void member_table::mark_leaving(const host_id& host) {
  for (auto it = records_.lower_bound({host, 0}); it != records_.end() && it->first.host == host;
       ++it) {
    member_update& latest = it->second.latest;
    if (latest.leaving || latest.state == member_state::dead)
      continue;
    latest.leaving = true;
    view_changed_ = true;
    enqueue(it->second);
  }
}

void member_table::leave() {
  if (self_.leaving)
    return;
  self_.leaving = true;
  view_changed_ = true;
  enqueue_self();
}

void member_table::stop() {
  leave();
  self_.state = member_state::dead;
  view_changed_ = true;
  enqueue_self();
}

void member_table::expire(time_ms now) {
  std::vector<incarnation> unrefuted;
  for (const incarnation& who : suspects_)
    if (now - records_.at(who).since >= options_.suspicion_timeout)
      unrefuted.push_back(who);
  for (const incarnation& who : unrefuted)
    declare_dead(now, who);

  if (now < next_cleanup_)
    return;
  next_cleanup_ = now + cleanup_period;
  std::erase_if(records_, [&](const auto& entry) {
    const record& known = entry.second;
    return known.latest.state == member_state::dead && !known.queued &&
           now - known.since > options_.tombstone_time;
  });
}

void member_table::postpone_suspicions(time_ms span) {
  for (const incarnation& who : suspects_)
    records_.at(who).since += span;
}

const member_update* member_table::find(const incarnation& who) const {
  if (who == self_.who)
    return &self_;
  const auto known = records_.find(who);
  return known == records_.end() ? nullptr : &known->second.latest;
}

bool member_table::host_is_live(const host_id& host) const {
  if (host == self_.who.host)
    return true;
  for (auto it = first_record_of(host); it != records_.end() && it->first.host == host; ++it)
    if (it->second.latest.state != member_state::dead)
      return true;
  return false;
}

std::vector<member_update> member_table::dead_incarnations_of(const host_id& host) const {
  std::vector<member_update> dead_incarnations;
  for (auto it = first_record_of(host); it != records_.end() && it->first.host == host; ++it)
    if (it->second.latest.state == member_state::dead &&
        dead_incarnations.size() < max_gossip_updates)
      dead_incarnations.push_back(it->second.latest);
  return dead_incarnations;
}

std::vector<member_update> member_table::live_updates() const {
  std::vector<member_update> live;
  live.reserve(probe_order_.size());
  for (const incarnation& who : probe_order_)
    live.push_back(records_.at(who).latest);
  return live;
}

std::vector<member_update> member_table::take_outgoing_updates(std::size_t count) {
  if (self_sends_left_ > 0)
    --self_sends_left_;
  std::vector<member_update> taken;
  std::vector<record*> sent;
  for (auto next = outgoing_updates_.begin();
       next != outgoing_updates_.end() && taken.size() < count; ++next) {
    record& known = records_.at(next->second);
    taken.push_back(known.latest);
    sent.push_back(&known);
  }
  for (record* known : sent) {
    const std::uint32_t sends = (*known->queued)->first + 1;
    dequeue(*known);
    if (sends < sends_per_update())
      known->queued = outgoing_updates_.emplace(sends, known->latest.who);
  }
  return taken;
}

const membership_view& member_table::view() {
  if (!std::exchange(view_changed_, false))
    return view_;
  std::vector<member> members;
  if (self_.state != member_state::dead)
    members.push_back(as_member(self_));
  for (const auto& [who, known] : records_)
    if (known.latest.state != member_state::dead && who.host != self_.who.host)
      members.push_back(as_member(known.latest));
  // Of several incarnations of a host, one that isn't suspected comes first and is shown.
  std::sort(members.begin(), members.end(), [](const member& a, const member& b) {
    return std::tie(a.who.host, a.state, a.who.number) <
           std::tie(b.who.host, b.state, b.who.number);
  });
  const auto same_host = [](const member& a, const member& b) { return a.who.host == b.who.host; };
  members.erase(std::unique(members.begin(), members.end(), same_host), members.end());
  if (members == view_.members)
    return view_;
  view_.members = std::move(members);
  ++view_.version;
  return view_;
}

void member_table::enqueue(record& changed) {
  dequeue(changed);
  changed.queued = outgoing_updates_.emplace(0, changed.latest.who);
}

void member_table::dequeue(record& known) {
  if (known.queued)
    outgoing_updates_.erase(*known.queued);
  known.queued.reset();
}

// Every message carries its sender's own state, so nothing is queued; the count causes extra
// messages.
void member_table::enqueue_self() {
  self_sends_left_ = sends_per_update();
}

void member_table::insert_into_probe_order(const incarnation& who) {
  const auto place = static_cast<std::ptrdiff_t>(random_.below(probe_order_.size() + 1));
  probe_order_.insert(probe_order_.begin() + place, who);
}

member_table::records::const_iterator member_table::first_record_of(const host_id& host) const {
  return records_.lower_bound({host, 0});
}

std::uint32_t member_table::sends_per_update() const {
  constexpr double sends_per_doubling = 1.5;
  const double doublings = std::log2(static_cast<double>(probe_order_.size()) + 2.0);
  return 3 + static_cast<std::uint32_t>(std::ceil(sends_per_doubling * doublings));
}

} // namespace sedgechute
