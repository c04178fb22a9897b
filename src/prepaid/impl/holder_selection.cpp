#include "prepaid/impl/holder_selection.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute {

namespace {

// A round trip within a data centre takes a tenth of one between data centres.
constexpr double near_weight = 4;

// A holder that does not renew its promise has little left to lend. It may also be one that nobody
// asked, so it is not passed over.
constexpr double not_renewing_weight = 0.25;

std::uint64_t weight_of(std::size_t partition, const std::string& host) {
  return mix_hash(stable_hash(std::to_string(partition)), stable_hash(host));
}

} // namespace

std::size_t account_partition(const std::string& team, std::size_t partitions) {
  return stable_hash(team) % partitions;
}

bool holds_tokens_of(std::size_t partition, const std::string& self,
                     const std::vector<std::string>& centre) {
  const auto others = std::count_if(centre.begin(), centre.end(),
                                    [&](const std::string& host) { return host != self; });
  if (static_cast<std::size_t>(others) < small_data_centre_hosts)
    return true;
  const std::uint64_t own = weight_of(partition, self);
  const auto heavier = std::count_if(centre.begin(), centre.end(), [&](const std::string& host) {
    return host != self && weight_of(partition, host) > own;
  });
  return static_cast<std::size_t>(heavier) < holders_per_data_centre;
}

// Weighted random order: each holder draws a time that is shorter on average the more it holds, and
// the shortest comes first. All hosts read the same accounts: if each asked the holder with most
// tokens first, all would ask the same one.
std::vector<token_holder>
borrowing_order(std::vector<token_holder> holders,
                const std::function<bool(const std::string& host)>& is_near,
                random_source& random) {
  struct drawn {
    double time{};
    token_holder holder;
  };
  std::vector<drawn> draws;
  draws.reserve(holders.size());
  for (token_holder& holder : holders) {
    const double weight = static_cast<double>(holder.slack) *
                          (is_near(holder.host) ? near_weight : 1) *
                          (holder.renews ? 1 : not_renewing_weight);
    draws.push_back({-std::log(1 - random.unit()) / std::max(weight, 1.0), std::move(holder)});
  }
  std::sort(draws.begin(), draws.end(),
            [](const drawn& a, const drawn& b) { return a.time < b.time; });
  holders.clear();
  for (drawn& one : draws)
    holders.push_back(std::move(one.holder));
  return holders;
}

} // namespace sedgechute
