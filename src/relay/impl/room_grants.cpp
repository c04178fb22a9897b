#include "relay/impl/room_grants.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// Several times the interval of reports, some of which are lost.
constexpr time_ms grant_lifetime{2000};
// Hosts report requests that have been in flight for `min_reported_age`.
constexpr time_ms unreported_lifetime{min_reported_age + time_ms{500}};
// An arbiter that takes over from another one learns in this time what is in flight.
constexpr time_ms takeover_time{600};

// Refusals count in any second; the margin covers the time that an answer takes.
constexpr time_ms refusal_window{1050};
// Part of the refusals that an endpoint bears after which nothing is sent to it for a while. The
// rest is for requests that are on their way when the arbiter hears of the refusals.
constexpr double spent_fraction = 0.5;

// The longest pause while each request that is sent is refused.
constexpr time_ms max_refusal_pause{4200};

constexpr double reduction = 0.8;         // of the room, by refusals
constexpr double growth_per_second = 0.1; // of the slots, while nothing is refused

constexpr time_ms full_pause{10}; // until a place may be free again

} // namespace

void recent_ends::add(const ended_request& one, time_ms now) {
  if (entries_.size() == most)
    entries_.erase(entries_.begin());
  entries_.push_back({one, now});
}

std::vector<ended_request> recent_ends::due(time_ms now) {
  constexpr time_ms lifetime{150}; // three intervals of repeats
  std::erase_if(entries_, [&](const entry& known) { return now - known.at > lifetime; });
  std::vector<ended_request> all;
  for (const entry& known : entries_)
    all.push_back(known.request);
  return all;
}

bool room_grants::take(grant_id id, std::uint64_t host, std::size_t room, time_ms now) {
  if (grants_.contains(id))
    return true;
  if (in_flight(now) >= room)
    closed_[id] = now;
  if (closed_.contains(id))
    return false;
  grants_[id] = {host, now, now};
  return true;
}

// A question may arrive after the request that it was asked for has ended.
bool room_grants::end(grant_id id, time_ms now) {
  closed_[id] = now;
  return grants_.erase(id) > 0;
}

void room_grants::renew(std::uint64_t host, const std::vector<grant_id>& open, time_ms now) {
  for (const grant_id id : open) {
    if (closed_.contains(id))
      continue;
    const auto [at, added] = grants_.try_emplace(id, grant{host, now, now});
    at->second.renewed = now;
  }
  std::erase_if(grants_, [&](const auto& known) {
    const grant& one = known.second;
    return one.host == host && one.renewed != now && now - one.granted > unreported_lifetime;
  });
}

std::size_t room_grants::in_flight(time_ms now) {
  std::erase_if(grants_,
                [&](const auto& known) { return now - known.second.renewed > grant_lifetime; });
  if (now >= next_expiry_) {
    next_expiry_ = now + grant_lifetime;
    std::erase_if(closed_, [&](const auto& known) { return now - known.second > grant_lifetime; });
  }
  return grants_.size();
}

double room_arbiter::room(std::size_t slots, time_ms now) const noexcept {
  const auto most = static_cast<double>(std::max<std::size_t>(slots, 1));
  if (!reduced_room_)
    return most;
  constexpr double ms_per_second = 1000;
  const auto grown_ms = static_cast<double>((now - reduced_at_ - refusal_window).count());
  const double growth = std::max(grown_ms, 0.0) / ms_per_second * growth_per_second * most;
  return std::clamp(*reduced_room_ + growth, 1.0, most);
}

time_ms room_arbiter::closed_for(double refusals_borne, time_ms now) {
  std::erase_if(refusals_,
                [&](const refused_request& one) { return now - one.at >= refusal_pause_; });
  const auto spent = static_cast<std::size_t>(std::max(1.0, refusals_borne * spent_fraction));
  if (refusals_.size() < spent)
    return {};
  return refusals_[refusals_.size() - spent].at + refusal_pause_ - now;
}

std::optional<time_ms> room_arbiter::refusal(grant_id id, std::uint64_t host, std::size_t slots,
                                             double refusals_borne, time_ms announced,
                                             time_ms now) {
  if (!first_heard_)
    first_heard_ = announced > takeover_time ? now : now - takeover_time;
  if (const time_ms left = *first_heard_ + takeover_time - now; left > time_ms{})
    return left;
  if (const time_ms closed = closed_for(refusals_borne, now); closed > time_ms{})
    return closed;
  if (grants_.take(id, host, static_cast<std::size_t>(room(slots, now)), now))
    return std::nullopt;
  return full_pause;
}

void room_arbiter::renew(std::uint64_t host, const std::vector<grant_id>& open, time_ms now) {
  first_heard_ = first_heard_.value_or(now);
  grants_.renew(host, open, now);
}

// Refusals within one window have the same cause and reduce the room once. A request that was sent
// without a grant tells nothing about the room that was granted.
void room_arbiter::end(grant_id id, bool refused, std::size_t slots, time_ms now) {
  const bool granted = grants_.end(id, now);
  first_heard_ = first_heard_.value_or(now - takeover_time);
  taken_since_refusal_ = taken_since_refusal_ || !refused;
  if (!refused || std::ranges::find(refusals_, id, &refused_request::id) != refusals_.end())
    return;
  const bool first = refusals_.empty() || now - refusals_.back().at > refusal_window;
  if (first)
    refusal_pause_ =
        taken_since_refusal_ ? refusal_window : std::min(refusal_pause_ * 4, max_refusal_pause);
  taken_since_refusal_ = false;
  refusals_.push_back({id, now});
  if (!granted || (reduced_room_ && now - reduced_at_ <= refusal_window))
    return;
  reduced_room_ = std::max(1.0, room(slots, now) * reduction);
  reduced_at_ = now;
}

} // namespace sedgechute
