#include "routing/impl/share_answer.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// Subtracting parts from a floating-point sum can leave a remainder slightly below zero.
void take(double& from, double part) noexcept {
  from = std::max(0.0, from - part);
}

void take(team_demand& from, const team_demand& part) noexcept {
  take(from.wanted, part.wanted);
  take(from.served, part.served);
  take(from.queued, part.queued);
}

} // namespace

share_answers::share_answers(share_report all, const share_policy& policy)
    : all_{std::move(all)}, grants_{divide_pool(all_, policy)} {
  nobody_named_ = all_;
  nobody_named_.scope = share_scope::fleet;
  nobody_named_.teams.clear();
  nobody_named_.others_granted = demand_of(all_.others, policy);
  for (std::size_t i = 0; i < all_.teams.size(); ++i) {
    const team_demand& team = all_.teams[i];
    places_.emplace(team.team, i);
    nobody_named_.others.wanted += team.wanted;
    nobody_named_.others.served += team.served;
    nobody_named_.others.queued += team.queued;
    nobody_named_.others_granted += grants_[i].granted;
    nobody_named_.others_beyond += grants_[i].beyond ? team.served : 0.0;
  }
}

share_report share_answers::answer_to(const share_report& asked) const {
  share_report answer = nobody_named_;
  for (const team_demand& named : asked.teams) {
    const auto place = places_.find(named.team);
    if (place == places_.end())
      continue;
    const team_demand& team = all_.teams[place->second];
    const team_grant& grant = grants_[place->second];
    answer.teams.push_back({team.team, team.wanted, team.served, team.queued, 1.0});
    take(answer.others, team);
    take(answer.others_granted, grant.granted);
    take(answer.others_beyond, grant.beyond ? team.served : 0.0);
  }
  return answer;
}

} // namespace sedgechute
