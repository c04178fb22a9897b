#include "relay/impl/endpoint_directory.hpp"

#include <utility>

namespace sedgechute {

endpoint_directory::limit_permit endpoint_directory::limit_allows(const state& of,
                                                                  time_ms now) const {
  if (!of.limit.holds())
    return limit_permit::share;
  if (!cold_start_.hosts_settled(now))
    return limit_permit::none;
  const double per_second = of.limit.per_second();
  const limit_split split = split_endpoint_limit(per_second, cold_start_.hosts());
  if (cold_start_.is_sender(of.affinity_hash, split.senders) &&
      of.sends.count(now, split.window) < split.requests)
    return limit_permit::share;
  const time_ms after =
      limit_trial_after(per_second, cold_start_.hosts(), cold_start_.rank(of.affinity_hash));
  return of.limit.trial_due(after, now) ? limit_permit::trial : limit_permit::none;
}

void endpoint_directory::notify_limit(const rate_notice& notice) const {
  if (on_limit_ && (notice.change != endpoint_limit::change::none || notice.malformed))
    on_limit_(notice);
}

void endpoint_directory::note_limit(const placement& place, const reply_terms& terms) {
  rate_notice notice{place.endpoint, {}, 0, false, terms.malformed_limit};
  {
    const std::scoped_lock lock{mutex_};
    state* const at = find_current(place.endpoint, place.local_incarnation);
    if (at == nullptr)
      return;
    const time_ms now = time_.now();
    if (terms.limit)
      notice.change = at->limit.note_named(*terms.limit, now);
    else if (!terms.malformed_limit)
      notice.change = at->limit.note_unnamed(place.sent_at, now);
    at->limit_news = at->limit_news || terms.limit || notice.change != endpoint_limit::change::none;
    notice.per_second = at->limit.per_second();
  }
  notify_limit(notice);
}

std::vector<rate_entry> endpoint_directory::take_limit_news() {
  const std::scoped_lock lock{mutex_};
  const time_ms now = time_.now();
  std::vector<rate_entry> entries;
  for (auto& [id, known] : endpoints_)
    if (std::exchange(known.limit_news, false))
      entries.push_back({known.hash, known.limit.per_second(),
                         known.limit.holds() ? now - known.limit.heard_at() : time_ms{}});
  return entries;
}

std::vector<rate_entry> endpoint_directory::limits() const {
  const std::scoped_lock lock{mutex_};
  const time_ms now = time_.now();
  std::vector<rate_entry> entries;
  for (const auto& [id, known] : endpoints_)
    if (known.limit.holds())
      entries.push_back({known.hash, known.limit.per_second(), now - known.limit.heard_at()});
  return entries;
}

void endpoint_directory::take_limits(const std::vector<rate_entry>& entries) {
  std::vector<rate_notice> notices;
  {
    const std::scoped_lock lock{mutex_};
    const time_ms now = time_.now();
    for (const rate_entry& entry : entries)
      for (auto& [id, known] : endpoints_) {
        if (known.hash != entry.endpoint)
          continue;
        if (entry.per_second <= 0)
          known.limit.note_told_ended(entry.age, now);
        else
          notices.push_back({id, known.limit.note_told(entry.per_second, entry.age, now),
                             entry.per_second, true});
      }
  }
  for (const rate_notice& notice : notices)
    notify_limit(notice);
}

} // namespace sedgechute
