#include "ledger/impl/spend_history.hpp"

namespace sedgechute::ledger {

namespace {

constexpr time_ms sample_span{300000};

} // namespace

void spend_history::record_spent(time_ms now, name_index team, token_count spent) {
  if (spent == 0)
    return;
  const auto [place, added] = teams_.try_emplace(team);
  samples& s = place->second;
  if (added)
    s = {{now, spent}, {now, spent}, spent};
  s.latest = spent;
  if (now - s.newer.at < sample_span)
    return;
  s.older = s.newer;
  s.newer = {now, spent};
}

std::optional<time_ms> spend_history::exhausted_in(time_ms now, name_index team,
                                                   token_count left) const {
  const auto found = teams_.find(team);
  if (found == teams_.end())
    return std::nullopt;
  const samples& s = found->second;
  const token_count used = s.latest - s.older.spent;
  const time_ms span = now - s.older.at;
  if (used <= 0 || span <= time_ms{0})
    return std::nullopt;
  const double per_ms = static_cast<double>(used) / static_cast<double>(span.count());
  return time_ms{static_cast<std::int64_t>(static_cast<double>(left) / per_ms)};
}

} // namespace sedgechute::ledger
