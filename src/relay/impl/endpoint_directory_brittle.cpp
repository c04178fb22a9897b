#include "relay/impl/endpoint_directory.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

endpoint_directory::state* endpoint_directory::find_incarnation(endpoint_hash incarnation) {
  const auto at = std::ranges::find_if(
      endpoints_, [&](const auto& known) { return known.second.hash == incarnation; });
  return at == endpoints_.end() ? nullptr : &at->second;
}

announced_rate::change endpoint_directory::take_told(state& of, const rate_entry& entry,
                                                     time_ms now) {
  const auto made = of.refusals_borne.note_told(entry.per_second, entry.age, now);
  if (made == announced_rate::change::named)
    of.brittle_since = now - entry.age;
  return made;
}

// The endpoints of a service become brittle together, and one that has just started has answered
// nobody yet.
void endpoint_directory::expect_brittle(state& of) const {
  constexpr time_ms recent{10000};
  const time_ms now = time_.now();
  for (const auto& [id, known] : endpoints_) {
    const announced_rate& rate = known.refusals_borne;
    const time_ms age = now - rate.heard_at();
    if (known.entry.service == of.entry.service && rate.holds() && age <= recent)
      (void)take_told(of, {of.hash, rate.per_second(), age}, now);
  }
}

void endpoint_directory::notify_brittle(const rate_notice& notice) const {
  if (on_brittle_ && (notice.change != announced_rate::change::none || notice.malformed))
    on_brittle_(notice);
}

void endpoint_directory::note_brittle(const placement& place, const reply_terms& terms) {
  rate_notice notice{place.endpoint, {}, 0, false, terms.malformed_refusals_borne};
  {
    const std::scoped_lock lock{mutex_};
    state* const at = find_current(place.endpoint, place.local_incarnation);
    if (at == nullptr)
      return;
    using change = announced_rate::change;
    const time_ms now = time_.now();
    if (terms.refusals_borne) {
      notice.change = at->refusals_borne.note_named(*terms.refusals_borne, now);
      at->brittle_named_here_at = now;
    }
    if (!terms.refusals_borne && !terms.malformed_refusals_borne)
      notice.change = at->refusals_borne.note_unnamed(place.sent_at, now);
    notice.per_second = at->refusals_borne.per_second();
    if (notice.change == change::named)
      at->brittle_since = now;
    at->brittle_news =
        at->brittle_news || notice.change == change::named || notice.change == change::changed;
  }
  notify_brittle(notice);
}

std::vector<rate_entry> endpoint_directory::take_brittle_news() {
  const std::scoped_lock lock{mutex_};
  const time_ms now = time_.now();
  std::vector<rate_entry> entries;
  for (auto& [id, known] : endpoints_)
    if (std::exchange(known.brittle_news, false) && known.refusals_borne.holds())
      entries.push_back(
          {known.hash, known.refusals_borne.per_second(), now - known.refusals_borne.heard_at()});
  return entries;
}

std::vector<rate_entry> endpoint_directory::brittle_endpoints() const {
  const std::scoped_lock lock{mutex_};
  const time_ms now = time_.now();
  std::vector<rate_entry> entries;
  for (const auto& [id, known] : endpoints_)
    if (known.refusals_borne.holds())
      entries.push_back(
          {known.hash, known.refusals_borne.per_second(), now - known.refusals_borne.heard_at()});
  return entries;
}

// Hosts that passed on what others told them would keep it alive after its end.
std::vector<rate_entry> endpoint_directory::brittle_first_hand() const {
  constexpr time_ms first_hand_lifetime{2000};
  std::vector<rate_entry> entries = brittle_endpoints();
  const std::scoped_lock lock{mutex_};
  const time_ms now = time_.now();
  std::erase_if(entries, [&](const rate_entry& entry) {
    const auto at = std::ranges::find_if(
        endpoints_, [&](const auto& known) { return known.second.hash == entry.endpoint; });
    const auto named_at = at == endpoints_.end() ? std::nullopt : at->second.brittle_named_here_at;
    return !named_at || now - *named_at > first_hand_lifetime;
  });
  return entries;
}

// An end is not passed on: a host that sends finds it out from its next answer.
void endpoint_directory::take_brittle(const std::vector<rate_entry>& entries) {
  std::vector<rate_notice> notices;
  {
    const std::scoped_lock lock{mutex_};
    const time_ms now = time_.now();
    for (const rate_entry& entry : entries)
      if (state* const at = find_incarnation(entry.endpoint))
        notices.push_back(
            {at->entry.id, take_told(*at, entry, now), entry.per_second, true, std::nullopt});
  }
  for (const rate_notice& notice : notices)
    notify_brittle(notice);
}

bool endpoint_directory::is_brittle(const endpoint_id& id) const {
  const std::scoped_lock lock{mutex_};
  const auto at = endpoints_.find(id);
  return at != endpoints_.end() && at->second.refusals_borne.holds();
}

room_ask endpoint_directory::ask_for(const placement& place, std::uint64_t host) const {
  const std::scoped_lock lock{mutex_};
  room_ask ask{place.incarnation, place.grant, host, 0, {}};
  const auto at = endpoints_.find(place.endpoint);
  if (at == endpoints_.end())
    return ask;
  ask.refusals_borne = at->second.refusals_borne.per_second();
  ask.announced = time_.now() - at->second.brittle_since;
  return ask;
}

void endpoint_directory::cancel(const placement& place, time_ms pause) {
  const std::scoped_lock lock{mutex_};
  state* const at = find_current(place.endpoint, place.local_incarnation);
  if (at == nullptr)
    return;
  at->full_until = std::max(at->full_until, time_.now() + pause);
  end_placement(*at, place, send_outcome::caller_left, false);
}

std::vector<open_grants> endpoint_directory::open_at_brittle() const {
  const std::scoped_lock lock{mutex_};
  const time_ms now = time_.now();
  std::vector<open_grants> all;
  for (const auto& [id, known] : endpoints_) {
    if (!known.refusals_borne.holds())
      continue;
    open_grants& open =
        all.emplace_back(open_grants{known.hash, known.affinity_hash, known.entry.data_centre, {}});
    for (const open_id& one : known.open_ids)
      if (now - one.placed >= min_reported_age)
        open.ids.push_back(one.id);
  }
  return all;
}

std::optional<time_ms> endpoint_directory::arbitrate(const room_ask& ask) {
  constexpr time_ms unknown_pause{100};
  const std::scoped_lock lock{mutex_};
  state* const at = find_incarnation(ask.endpoint);
  if (at == nullptr)
    return unknown_pause;
  const time_ms now = time_.now();
  return at->arbiter.refusal(ask.id, ask.host, at->entry.slots, ask.refusals_borne, ask.announced,
                             now);
}

void endpoint_directory::end_grant(const ended_request& ended) {
  const std::scoped_lock lock{mutex_};
  if (state* const at = find_incarnation(ended.endpoint))
    at->arbiter.end(ended.id, ended.refused, at->entry.slots, time_.now());
}

void endpoint_directory::renew_grants(std::uint64_t host, endpoint_hash endpoint,
                                      const std::vector<grant_id>& open) {
  const std::scoped_lock lock{mutex_};
  if (state* const at = find_incarnation(endpoint))
    at->arbiter.renew(host, open, time_.now());
}

} // namespace sedgechute
