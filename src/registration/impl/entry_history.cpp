#include "registration/impl/entry_history.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

bool is_leaving(const entry_history& known) noexcept {
  return known.newest->leaving || known.presence == entry_presence::removed;
}

const entry_stamp* find_replaced(const entry_history& known,
                                 std::optional<time_ms> started) noexcept {
  const auto at = std::find_if(known.replaced.begin(), known.replaced.end(),
                               [&](const entry_stamp& one) { return one.started == started; });
  return at == known.replaced.end() ? nullptr : &*at;
}

bool is_of_newest_process(const entry_history& known, const entry_stamp& entry) noexcept {
  return !entry.started || entry.started == known.newest->started;
}

// A removal is not numbered. An endpoint that comes back after it writes a higher number.
entry_verdict classify_same_process(const entry_history& known, const entry_stamp& entry) noexcept {
  const entry_stamp& newest = *known.newest;
  if (entry.sequence != newest.sequence)
    return entry.sequence > newest.sequence ? entry_verdict::newest : entry_verdict::outdated;
  if (known.presence == entry_presence::removed)
    return entry_verdict::outdated;
  const bool same = entry.content == newest.content && entry.leaving == newest.leaving;
  return same && known.presence == entry_presence::listed ? entry_verdict::repeated
                                                          : entry_verdict::newest;
}

// An entry that is newer than all that were seen of its process shows either that it still runs or
// that the entry is late. The former, if its successor seems to be the older one and a single entry
// is all that shows it: that one was late.
entry_verdict classify_replaced_process(const entry_history& known, const entry_stamp& last,
                                        const entry_stamp& entry) noexcept {
  const bool still_runs =
      entry.sequence > last.sequence && !known.confirmed && entry.started > known.newest->started;
  const bool takes_back_leaving = is_leaving(known) && !entry.leaving;
  return still_runs && !takes_back_leaving ? entry_verdict::newest : entry_verdict::replaced_start;
}

void replace_process(entry_history& known, const entry_stamp& entry) {
  std::erase_if(known.replaced,
                [&](const entry_stamp& one) { return one.started == entry.started; });
  if (known.replaced.size() == entry_history::max_replaced)
    known.replaced.erase(known.replaced.begin());
  known.replaced.push_back(*known.newest);
  known.newest = entry;
  known.confirmed = false;
}

void renew_process(entry_history& known, const entry_stamp& entry) {
  known.confirmed = known.confirmed || entry.sequence != known.newest->sequence;
  const auto started = known.newest->started;
  known.newest = entry;
  known.newest->started = started;
}

} // namespace

// Wall clocks may be set back, so the lower of two start times need not be the earlier one. It only
// counts where nothing else tells, and against an entry that would take a leaving back.
entry_verdict classify(const entry_history& known, const entry_stamp& entry) {
  if (!known.newest)
    return entry_verdict::newest;
  const entry_stamp& newest = *known.newest;
  const entry_stamp* const last = find_replaced(known, entry.started);
  if (!entry.started && last != nullptr && entry.sequence <= last->sequence)
    return entry_verdict::replaced_start;
  if (is_of_newest_process(known, entry))
    return classify_same_process(known, entry);
  if (last != nullptr)
    return classify_replaced_process(known, *last, entry);
  const bool seems_older = newest.started && *entry.started < *newest.started;
  return seems_older && is_leaving(known) ? entry_verdict::unproven_start : entry_verdict::newest;
}

void record(entry_history& known, const entry_stamp& entry, entry_verdict verdict, time_ms now) {
  if (is_rejected(verdict)) {
    known.rejected_since = known.rejected_since.value_or(now);
    return;
  }
  known.rejected_since.reset();
  if (verdict == entry_verdict::repeated)
    return;
  if (!known.newest)
    known.newest = entry;
  else if (is_of_newest_process(known, entry))
    renew_process(known, entry);
  else
    replace_process(known, entry);
  known.presence = entry_presence::listed;
}

void record_removal(entry_history& known) {
  known.presence = entry_presence::removed;
  known.rejected_since.reset();
}

void record_unusable(entry_history& known) {
  if (known.presence == entry_presence::listed)
    known.presence = entry_presence::unusable;
  known.rejected_since.reset();
}

bool is_settled(const entry_history& known, time_ms followed_since, time_ms settle,
                time_ms now) noexcept {
  return known.rejected_since && now - std::max(*known.rejected_since, followed_since) >= settle;
}

} // namespace sedgechute
