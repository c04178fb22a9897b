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
  return report;
}

// The next turn of a conversation mostly enters by another host, which learns from this where the
// last one went long before the engine's own events tell it.
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
  take_back_use(heard);
  heard.sequence = report.sequence;
  heard.at = now;
  heard.uses.clear();
  for (const endpoint_use& use : report.uses) {
    const auto slot = slot_of(use.endpoint);
    if (!slot)
      continue;
    heard.uses.emplace_back(*slot, use);
    records_[*slot].load.change_others(use.running, use.unread, 1.0);
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

// One silent host is enough to make the sum of the others' words too small, and the endpoint would
// look free; so all have to be heard.
void endpoint_table::update_view() {
  bool all_heard = senders_known_;
  time_ms oldest{};
  bool first = true;
  for (const incarnation& sender : senders_) {
    const auto heard = heard_.find(sender);
    if (heard == heard_.end()) {
      all_heard = false;
      break;
    }
    oldest = first ? heard->second.at : std::min(oldest, heard->second.at);
    first = false;
  }
  for (record& known : records_)
    known.load.set_view(all_heard, oldest);
}

} // namespace sedgechute
