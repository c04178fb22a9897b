#include "routing/impl/endpoint_table.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr double peer_confidence = 0.9;

} // namespace

use_report endpoint_table::own_use(const incarnation& self) {
  use_report report;
  report.from = self;
  report.sequence = ++use_sequence_;
  for (const record& known : records_) {
    const std::uint32_t running = known.load.own_running();
    if (known.present && running > 0)
      report.uses.push_back({known.info.id, running, known.load.own_unread()});
  }
  report.places = std::exchange(sent_prefixes_, {});
  use_changed_.clear();
  use_started_ = false;
  return report;
}

void endpoint_table::note_use_changed(std::uint32_t slot, bool started) {
  if (std::ranges::find(use_changed_, slot) == use_changed_.end())
    use_changed_.push_back(slot);
  use_started_ = use_started_ || started;
}

// Two hosts choose the same free place if neither knows of the other's start, so starts are
// reported at once. An end that is reported late only leaves a place unused for a moment.
std::optional<use_report> endpoint_table::due_use(const incarnation& self, time_ms now) {
  if (now - last_full_use_report_ >= choice_.full_use_interval || use_sequence_ == 0) {
    last_full_use_report_ = now;
    last_use_report_ = now;
    return own_use(self);
  }
  const bool due = use_started_ || now - last_use_report_ >= choice_.use_end_interval;
  if (use_changed_.empty() || !due)
    return std::nullopt;
  use_report report;
  report.from = self;
  report.sequence = ++use_sequence_;
  report.whole = false;
  for (const std::uint32_t slot : use_changed_) {
    const record& known = records_[slot];
    if (known.present)
      report.uses.push_back({known.info.id, known.load.own_running(), known.load.own_unread()});
  }
  report.places = std::exchange(sent_prefixes_, {});
  use_changed_.clear();
  use_started_ = false;
  last_use_report_ = now;
  return report;
}

// The next turn of a conversation usually enters through another host. That host learns from this
// record where the last turn went, long before the engine's cache events arrive.
void endpoint_table::note_sent_prefix(std::span<const std::uint64_t> blocks,
                                      const endpoint_id& endpoint) {
  std::size_t length = blocks.size();
  while (length > 0 && !prefix_table::is_recorded(length))
    --length;
  if (length > 0 && sent_prefixes_.size() < choice_.max_reported_prefixes)
    sent_prefixes_.push_back({blocks[length - 1], endpoint});
}

void endpoint_table::subtract_use(const received_use& received) {
  for (const auto& [slot, use] : received.uses)
    records_[slot].load.change_others(use.running, use.unread, -1.0);
}

void endpoint_table::apply_use(const use_report& report, time_ms now) {
  received_use& received = received_[report.from];
  if (received.sequence >= report.sequence)
    return;
  received.sequence = report.sequence;
  received.at = now;
  if (report.whole) {
    subtract_use(received);
    received.uses.clear();
  }
  for (const endpoint_use& use : report.uses) {
    const auto slot = slot_of(use.endpoint);
    if (!slot)
      continue;
    endpoint_use& known = received.uses[*slot];
    records_[*slot].load.change_others(known.running, known.unread, -1.0);
    records_[*slot].load.change_others(use.running, use.unread, 1.0);
    known = use;
  }
  for (const prefix_place& place : report.places)
    if (const auto slot = slot_of(place.endpoint))
      prefixes_.learn_one(place.block, *slot, peer_confidence, now);
  update_load_source();
}

void endpoint_table::set_senders(std::span<const incarnation> others, time_ms now) {
  senders_.assign(others.begin(), others.end());
  senders_known_ = true;
  absl::erase_if(received_, [&](const auto& entry) {
    const bool gone = now - entry.second.at > choice_.use_lifetime ||
                      std::ranges::find(senders_, entry.first) == senders_.end();
    if (gone)
      subtract_use(entry.second);
    return gone;
  });
  update_load_source();
}

// If one host is silent, the sum of the use reports is too small and the endpoint appears free, so
// the reports are used only while all hosts send them.
void endpoint_table::update_load_source() {
  const bool all_reported =
      senders_known_ && std::ranges::all_of(senders_, [this](const incarnation& sender) {
        return received_.contains(sender);
      });
  if (all_reported == all_reported_)
    return;
  all_reported_ = all_reported;
  for (record& known : records_)
    known.load.set_load_source(all_reported, choice_.reported_use_staleness);
}

} // namespace sedgechute
