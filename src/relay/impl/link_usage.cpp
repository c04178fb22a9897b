#include "relay/impl/link_usage.hpp"

#include <set>

namespace sedgechute {

namespace {

constexpr time_ms bucket_span{100};

// Answers, packet headers and the host's own messages share the link with requests.
constexpr double requests_share = 0.6;

std::int64_t bucket_number(time_ms now) noexcept {
  return now.count() / bucket_span.count();
}

std::size_t bytes_within(double mbps, time_ms span) noexcept {
  constexpr double bytes_per_ms = 1e6 / 8 / 1000; // at 1 Mbit/s
  return static_cast<std::size_t>(mbps * bytes_per_ms * static_cast<double>(span.count()));
}

} // namespace

link_usage::link_usage(double link_mbps) noexcept
    : most_{bytes_within(link_mbps * requests_share,
                         bucket_span * static_cast<std::int64_t>(buckets))} {}

bool link_usage::recent(const bucket& one, time_ms now) noexcept {
  return one.number > bucket_number(now) - static_cast<std::int64_t>(buckets);
}

void link_usage::note(std::string_view team, std::size_t bytes, time_ms now) {
  if (most_ == 0)
    return;
  const std::int64_t number = bucket_number(now);
  const std::scoped_lock lock{mutex_};
  bucket& at = window_[static_cast<std::size_t>(number) % buckets];
  if (at.number != number)
    at = {.number = number, .total = 0, .by_team = {}};
  at.total += bytes;
  at.by_team[std::string{team}] += bytes;
}

preparation_load link_usage::load(std::string_view team, time_ms now) const {
  const std::string name{team};
  std::set<std::string_view> teams{name};
  preparation_load load;
  for (const bucket& one : window_) {
    if (!recent(one, now))
      continue;
    load.total += one.total;
    for (const auto& [of, bytes] : one.by_team) {
      teams.insert(of);
      load.of_team += of == name ? bytes : 0;
    }
  }
  load.teams = teams.size();
  return load;
}

bool link_usage::has_capacity(time_ms now) const {
  if (most_ == 0)
    return true;
  const std::scoped_lock lock{mutex_};
  std::size_t total = 0;
  for (const bucket& one : window_)
    total += recent(one, now) ? one.total : 0;
  return total < most_;
}

bool link_usage::exceeded_by(std::string_view team, time_ms now) const {
  if (most_ == 0)
    return false;
  const std::scoped_lock lock{mutex_};
  return exceeds_share(load(team, now), most_);
}

} // namespace sedgechute
