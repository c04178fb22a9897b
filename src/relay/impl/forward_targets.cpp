#include "relay/impl/forward_targets.hpp"

#include <algorithm>

namespace sedgechute {

void forward_targets::set_hosts(std::vector<forward_target> hosts) {
  hosts_ = std::move(hosts);
}

// The less used of two random hosts that have served requests. While there are few of them, some
// requests go to others, so that the load spreads.
std::optional<forward_target> forward_targets::choose(const std::string& service,
                                                      const predicate& allowed,
                                                      random_source& random, time_ms now) {
  const auto of_service = services_.find(service);
  if (of_service != services_.end() && now < of_service->second.not_before)
    return std::nullopt;
  struct candidate {
    const forward_target* host;
    std::size_t open;
  };
  std::vector<candidate> usable;
  std::vector<candidate> preferred;
  for (const forward_target& host : hosts_) {
    const auto known = targets_.find({host.host, service});
    const target_record record = known == targets_.end() ? target_record{} : known->second;
    if (now < record.not_before || !allowed(host))
      continue;
    usable.push_back({&host, record.open});
    if (now < record.served_until)
      preferred.push_back(usable.back());
  }
  if (usable.empty())
    return std::nullopt;
  const bool explores = preferred.empty() || (preferred.size() < options_.preferred_hosts &&
                                              random.below(options_.explore_one_in) == 0);
  const auto& among = explores ? usable : preferred;
  const candidate& one = among[random.below(among.size())];
  const candidate& other = among[random.below(among.size())];
  const forward_target& chosen = *(one.open <= other.open ? one : other).host;
  remove_unused(now);
  ++targets_[{chosen.host, service}].open;
  return chosen;
}

void forward_targets::note_result(const std::string& host, const std::string& service,
                                  forward_result result, time_ms now) {
  target_record& record = targets_[{host, service}];
  record.open -= std::min<std::size_t>(record.open, 1);
  if (result == forward_result::abandoned)
    return;
  service_record& of_service = services_[service];
  if (result == forward_result::served) {
    record.backoff = time_ms{};
    record.not_before = time_ms{};
    record.served_until = now + options_.preferred_time;
    of_service = {};
    return;
  }
  record.backoff = std::clamp(record.backoff * 2, options_.initial_backoff, options_.max_backoff);
  record.not_before = now + record.backoff;
  record.served_until = time_ms{};
  if (++of_service.refusals < options_.refusals_before_pause)
    return;
  of_service.pause = std::clamp(of_service.pause * 2, options_.initial_backoff, options_.max_pause);
  of_service.not_before = now + of_service.pause;
  of_service.refusals -= options_.refusals_per_pause;
}

void forward_targets::remove_unused(time_ms now) {
  if (targets_.size() < options_.max_records)
    return;
  std::erase_if(targets_, [&](const auto& one) {
    const target_record& record = one.second;
    return record.open == 0 && record.not_before <= now && record.served_until <= now;
  });
}

} // namespace sedgechute
