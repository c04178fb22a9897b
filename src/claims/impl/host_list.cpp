#include "claims/impl/host_list.hpp"

#include <algorithm>
#include <tuple>

namespace sedgechute {

namespace {

constexpr std::size_t max_missing = 4096;

bool comes_before(const incarnation& a, const incarnation& b) {
  return std::tie(a.number, a.host) < std::tie(b.number, b.host);
}

} // namespace

void host_list::update(time_ms now, const std::vector<live_host>& hosts) {
  std::vector<live_host> sorted = hosts;
  std::sort(sorted.begin(), sorted.end(),
            [](const live_host& a, const live_host& b) { return comes_before(a.who, b.who); });
  hosts_.swap(sorted);
  for (const live_host& host : hosts_)
    data_centres_[host.who.host] = host.data_centre;
  for (const live_host& old : sorted)
    if (!is_live(old.who))
      missing_.emplace(old.who, now);
  std::erase_if(missing_, [&](const auto& entry) { return is_live(entry.first); });
  while (missing_.size() > max_missing)
    missing_.erase(missing_.begin());
}

const live_host* host_list::find(const incarnation& who) const {
  const auto found = std::lower_bound(hosts_.begin(), hosts_.end(), who,
                                      [](const live_host& host, const incarnation& wanted) {
                                        return comes_before(host.who, wanted);
                                      });
  return found != hosts_.end() && same_process(found->who, who) ? &*found : nullptr;
}

const data_centre_id* host_list::last_data_centre(const host_id& host) const {
  const auto found = data_centres_.find(host);
  return found == data_centres_.end() ? nullptr : &found->second;
}

time_ms host_list::missing_for(time_ms now, const incarnation& who) {
  if (is_live(who))
    return time_ms{0};
  return now - missing_.emplace(who, now).first->second;
}

} // namespace sedgechute
