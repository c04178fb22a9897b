// Reads the state in parts. Two alternatives were rejected: delaying records until all parts are
// read would stall grants and published changes for as long as the reader takes, and parts with
// an offset each would require replay to judge every record team by team.

#include "ledger/impl/ledger_state.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <type_traits>

namespace sedgechute::ledger {

namespace {

/// \returns the position of a name in a part, to which it is added if it is new.
template <typename Name, typename Lookup>
name_index place_in(std::vector<Name>& names, absl::flat_hash_map<name_index, name_index>& places,
                    name_index index, Lookup&& name_of) {
  const auto [place, added] = places.try_emplace(index, static_cast<name_index>(names.size()));
  if (added)
    names.push_back(name_of(index));
  return place->second;
}

} // namespace

cut_number ledger_state::open_cut() {
  ledger_cut& cut = cuts_[++last_cut_];
  cut.offset = offset_;
  cut.teams = static_cast<name_index>(teams_.size());
  cut.recent.assign(recent_.begin(), recent_.end());
  for (const auto& [offset, id] : recent_)
    cut.digest += mix_hash(offset, mix_hash(id.high, id.low));
  return last_cut_;
}

void ledger_state::close_cut(cut_number cut) {
  cuts_.erase(cut);
}

ledger_cut::team_image ledger_state::image_of(name_index team) const {
  const team_row& row = teams_[team];
  ledger_cut::team_image image{{team_name(team), row.contract, row.spent, row.orphaned}, {}};
  for_each_of(team, [&](const delegation& d) { image.delegations.push_back(d); });
  return image;
}

// Called before each change of a team, so that a part read later still has the team's row as of the
// cut. Rows from before and after a record would restore to a state that no replay reaches: a
// transfer credited but not debited, or a granted amount that is still in the pool.
void ledger_state::save_image(name_index team) {
  if (fault_ == mutation::cut_without_images)
    return;
  for (auto& [number, cut] : cuts_)
    if (team >= cut.next && team < cut.teams && !cut.images.contains(team))
      cut.images.emplace(team, image_of(team));
}

std::vector<name_index> ledger_state::teams_of(const ledger_record& record) const {
  std::vector<name_index> teams;
  const auto add_epoch = [&](epoch_number epoch) {
    if (const delegation* const d = find(epoch))
      teams.push_back(d->team);
  };
  std::visit(
      [&](const auto& body) {
        using type = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<type, grant> || std::is_same_v<type, release>)
          teams.push_back(find_team(body.team));
        else if constexpr (std::is_same_v<type, report> || std::is_same_v<type, reclaim_batch>)
          for (const auto& item : body.epochs)
            add_epoch(item.epoch);
        else
          add_epoch(body.epoch);
      },
      record.body);
  return teams;
}

std::optional<ledger_snapshot> ledger_state::next_part(cut_number number, std::size_t most_teams) {
  ledger_cut& cut = cuts_.at(number);
  if (cut.finished)
    return std::nullopt;
  ledger_snapshot part;
  part.offset = cut.offset;
  part.recent = std::exchange(cut.recent, {});
  absl::flat_hash_map<name_index, name_index> hosts;
  absl::flat_hash_map<name_index, name_index> data_centres;
  const auto place_host = [&](name_index host) {
    return host == no_name
               ? no_name
               : place_in(part.hosts, hosts, host, [&](name_index i) { return hosts_[i]; });
  };
  for (; cut.next < cut.teams && part.teams.size() < most_teams; ++cut.next) {
    const auto kept = cut.images.find(cut.next);
    const ledger_cut::team_image image =
        kept == cut.images.end() ? image_of(cut.next) : std::move(kept->second);
    cut.images.erase(cut.next);
    cut.digest += row_digest(image.row, image.delegations);
    for (delegation d : image.delegations) {
      d.team = static_cast<name_index>(part.teams.size());
      d.holder = place_host(d.holder);
      d.witness = place_host(d.witness);
      d.data_centre = place_in(part.data_centres, data_centres, d.data_centre,
                               [&](name_index i) { return data_centre(i); });
      part.delegations.push_back(std::move(d));
    }
    part.teams.push_back(image.row);
  }
  std::sort(part.delegations.begin(), part.delegations.end(),
            [](const delegation& a, const delegation& b) { return a.epoch < b.epoch; });
  cut.finished = cut.next == cut.teams;
  part.digest = cut.finished ? cut.digest : 0;
  return part;
}

} // namespace sedgechute::ledger
