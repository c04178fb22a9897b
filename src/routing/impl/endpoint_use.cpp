#include "routing/impl/endpoint_table.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr double told_confidence = 0.9;

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
  report.places = std::exchange(placed_, {});
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
  if (now - use_whole_told_ >= choice_.use_whole_every || use_sequence_ == 0) {
    use_whole_told_ = now;
    use_told_ = now;
    return own_use(self);
  }
  const bool due = use_started_ || now - use_told_ >= choice_.use_ends_every;
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
  report.places = std::exchange(placed_, {});
  use_changed_.clear();
  use_started_ = false;
  use_told_ = now;
  return report;
}

// The next turn of a conversation usually enters through another host. That host learns from this
// record where the last turn went, long before the engine's cache events arrive.
void endpoint_table::note_placed(std::span<const std::uint64_t> blocks,
                                 const endpoint_id& endpoint) {
  std::size_t length = blocks.size();
  while (length > 0 && !prefix_table::is_recorded(length))
    --length;
  if (length > 0 && placed_.size() < choice_.most_places_told)
    placed_.push_back({blocks[length - 1], endpoint});
}

void endpoint_table::take_back_use(const heard_use& heard) {
  for (const auto& [slot, use] : heard.uses)
    records_[slot].load.change_others(use.running, use.unread, -1.0);
}

void endpoint_table::apply_use(const use_report& report, time_ms now) {
  heard_use& heard = heard_[report.from];
  if (heard.sequence >= report.sequence)
    return;
  heard.sequence = report.sequence;
  heard.at = now;
  if (report.whole) {
    take_back_use(heard);
    heard.uses.clear();
  }
  for (const endpoint_use& use : report.uses) {
    const auto slot = slot_of(use.endpoint);
    if (!slot)
      continue;
    endpoint_use& known = heard.uses[*slot];
    records_[*slot].load.change_others(known.running, known.unread, -1.0);
    records_[*slot].load.change_others(use.running, use.unread, 1.0);
    known = use;
  }
  for (const prefix_place& place : report.places)
    if (const auto slot = slot_of(place.endpoint))
      prefixes_.learn_one(place.block, *slot, told_confidence, now);
  update_view();
}

void endpoint_table::set_senders(std::span<const incarnation> others, time_ms now) {
  senders_.assign(others.begin(), others.end());
  senders_known_ = true;
  absl::erase_if(heard_, [&](const auto& entry) {
    const bool gone = now - entry.second.at > choice_.use_life ||
                      std::ranges::find(senders_, entry.first) == senders_.end();
    if (gone)
      take_back_use(entry.second);
    return gone;
  });
  update_view();
}

// If one host is silent, the sum of the use reports is too small and the endpoint appears free, so
// the reports are used only while all hosts send them.
void endpoint_table::update_view() {
  const bool all_heard =
      senders_known_ && std::ranges::all_of(senders_, [this](const incarnation& sender) {
        return heard_.contains(sender);
      });
  if (all_heard == all_heard_)
    return;
  all_heard_ = all_heard;
  for (record& known : records_)
    known.load.set_view(all_heard, choice_.told_staleness);
}

} // namespace sedgechute
