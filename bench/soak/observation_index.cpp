#include "observation_index.hpp"

#include <algorithm>

namespace sedgechute::soak {

namespace {

bool any_within(const std::vector<time_ms>& moments, time_ms from, time_ms until) {
  const auto first = std::lower_bound(moments.begin(), moments.end(), from);
  return first != moments.end() && *first <= until;
}

} // namespace

observation_index::observation_index(const observations& seen) {
  for (const sent_request& one : seen.sent)
    sent_[one.attempt] = &one;
  for (const outcome& one : seen.outcomes)
    ended_[one.attempt] = &one;
  for (const arrival& one : seen.arrivals)
    arrivals_[one.attempt].push_back(&one);
}

const sent_request* observation_index::sent(const std::string& attempt) const {
  const auto at = sent_.find(attempt);
  return at == sent_.end() ? nullptr : at->second;
}

const outcome* observation_index::ended(const std::string& attempt) const {
  const auto at = ended_.find(attempt);
  return at == ended_.end() ? nullptr : at->second;
}

const std::vector<const arrival*>& observation_index::arrivals(const std::string& attempt) const {
  const auto at = arrivals_.find(attempt);
  return at == arrivals_.end() ? none_ : at->second;
}

bool observation_index::ran(const std::string& attempt) const {
  const auto& all = arrivals(attempt);
  return std::any_of(all.begin(), all.end(), [](const arrival* one) { return one->ran; });
}

bool in_touch(const observations& seen, const promised_bounds& bounds, std::size_t host,
              time_ms from, time_ms until) {
  const time_ms since = from - bounds.stable;
  if (any_within(seen.store_disturbed, since, until))
    return false;
  return host >= seen.host_disturbed.size() || !any_within(seen.host_disturbed[host], since, until);
}

} // namespace sedgechute::soak
