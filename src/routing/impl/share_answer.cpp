#include "routing/impl/share_answer.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// Subtracting parts from a floating-point sum can leave a remainder slightly below zero.
void subtract(double& from, double part) noexcept {
  from = std::max(0.0, from - part);
}

void subtract(team_demand& from, const team_demand& part) noexcept {
  subtract(from.wanted, part.wanted);
  subtract(from.served, part.served);
  subtract(from.queued, part.queued);
}

} // namespace

share_answers::share_answers(share_report all, const share_policy& policy)
    : all_{std::move(all)}, grants_{divide_pool(all_, policy)} {
  unnamed_answer_ = all_;
  unnamed_answer_.scope = share_scope::fleet;
  unnamed_answer_.teams.clear();
  unnamed_answer_.others_granted = demand_of(all_.others, policy);
  for (std::size_t i = 0; i < all_.teams.size(); ++i) {
    const team_demand& team = all_.teams[i];
    places_.emplace(team.team, i);
    unnamed_answer_.others.wanted += team.wanted;
    unnamed_answer_.others.served += team.served;
    unnamed_answer_.others.queued += team.queued;
    unnamed_answer_.others_granted += grants_[i].granted;
    unnamed_answer_.others_beyond += grants_[i].beyond ? team.served : 0.0;
  }
}

share_report share_answers::answer_to(const share_report& asked) const {
  share_report answer = unnamed_answer_;
  for (const team_demand& named : asked.teams) {
    const auto place = places_.find(named.team);
    if (place == places_.end())
      continue;
    const team_demand& team = all_.teams[place->second];
    const team_grant& grant = grants_[place->second];
    answer.teams.push_back({team.team, team.wanted, team.served, team.queued, 1.0});
    subtract(answer.others, team);
    subtract(answer.others_granted, grant.granted);
    subtract(answer.others_beyond, grant.beyond ? team.served : 0.0);
  }
  return answer;
}

} // namespace sedgechute
