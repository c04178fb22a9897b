#include "ledger/impl/live_hosts.hpp"

#include <algorithm>

namespace sedgechute::ledger {

void live_hosts::assign(time_ms now, std::span<const live_host> hosts, ledger_state& names) {
  if (!assigned_)
    first_assigned_ = now;
  assigned_ = true;
  std::vector<entry> before(names.host_count(), entry{false, false, first_assigned_, no_name});
  std::copy(entries_.begin(), entries_.end(), before.begin());
  entries_ = before;
  for (entry& e : entries_)
    e.live = false;
  candidates_.clear();
  std::vector<name_index> data_centres;
  for (const live_host& given : hosts) {
    const name_index host = names.intern_host(given.host);
    const name_index data_centre = names.intern_data_centre(given.data_centre);
    if (host >= entries_.size())
      entries_.resize(host + 1, entry{false, false, first_assigned_, no_name});
    entries_[host] = {true, given.leaving, now, data_centre};
    if (given.leaving)
      continue;
    candidates_.push_back({host, data_centre, stable_hash(given.host.host.str())});
    if (std::find(data_centres.begin(), data_centres.end(), data_centre) == data_centres.end())
      data_centres.push_back(data_centre);
  }
  data_centre_count_ = data_centres.size();
  for (std::size_t host = 0; host < before.size(); ++host)
    if (before[host].live && !entries_[host].live)
      entries_[host].absent_since = now;
}

bool live_hosts::is_live(name_index host) const noexcept {
  return host < entries_.size() && entries_[host].live;
}

bool live_hosts::is_available(name_index host) const noexcept {
  return is_live(host) && !entries_[host].leaving;
}

time_ms live_hosts::absent_since(name_index host) const noexcept {
  return host < entries_.size() ? entries_[host].absent_since : first_assigned_;
}

name_index live_hosts::data_centre_of(name_index host) const noexcept {
  return is_live(host) ? entries_[host].data_centre : no_name;
}

name_index live_hosts::rendezvous_host(std::uint64_t key, name_index data_centre,
                                       name_index without) const noexcept {
  name_index best = no_name;
  std::uint64_t best_weight = 0;
  for (const candidate& c : candidates_) {
    if (c.host == without || (data_centre != no_name && c.data_centre != data_centre))
      continue;
    const std::uint64_t weight = mix_hash(key, c.hash);
    if (best != no_name && weight <= best_weight)
      continue;
    best = c.host;
    best_weight = weight;
  }
  return best;
}

} // namespace sedgechute::ledger
