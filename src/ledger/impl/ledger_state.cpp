#include "ledger/impl/ledger_state.hpp"

#include <algorithm>

namespace sedgechute::ledger {

ledger_state::ledger_state(const ledger_options& options)
    : repeat_window_{options.repeat_window}, fault_{options.fault} {}

void ledger_state::on_contract(log_offset offset, const team_id& team, token_count bought) {
  offset_ = std::max(offset_, offset);
  const name_index index = intern_team(team);
  save_image(index);
  teams_[index].contract = std::max<token_count>(bought, 0);
  touched_.assign(1, index);
}

record_verdict ledger_state::on_record(log_offset offset, const ledger_record& record) {
  touched_.clear();
  if (offset <= offset_)
    return record_verdict::repeated;
  if (!cuts_.empty())
    for (const name_index team : teams_of(record))
      save_image(team);
  offset_ = offset;
  forget_old_ids(offset);
  return std::visit([&](const auto& body) { return apply(offset, record.id, body); }, record.body);
}

name_index ledger_state::find_team(const team_id& team) const {
  return team_names_.find(team.str());
}

name_index ledger_state::intern_team(const team_id& team) {
  const name_index index = team_names_.intern(team.str());
  if (index == teams_.size())
    teams_.emplace_back();
  return index;
}

team_id ledger_state::team_name(name_index team) const {
  return team_id{std::string{team_names_.name(team)}};
}

team_totals ledger_state::totals(name_index team) const {
  const team_row& row = teams_[team];
  return {row.contract, row.spent, row.outstanding, row.written_off};
}

token_count ledger_state::written_off() const noexcept {
  token_count sum{0};
  for (const team_row& row : teams_)
    sum += row.written_off;
  return sum;
}

token_count ledger_state::orphaned(name_index team) const {
  return teams_[team].orphaned;
}

const delegation* ledger_state::find(epoch_number epoch) const {
  const auto found = delegations_.find(epoch);
  return found == delegations_.end() ? nullptr : &found->second;
}

delegation* ledger_state::find_mutable(epoch_number epoch) {
  const auto found = delegations_.find(epoch);
  return found == delegations_.end() ? nullptr : &found->second;
}

name_index ledger_state::intern_host(const incarnation& host) {
  const auto [place, added] =
      host_indices_.try_emplace(host, static_cast<name_index>(hosts_.size()));
  if (added)
    hosts_.push_back(host);
  return place->second;
}

name_index ledger_state::intern_data_centre(const data_centre_id& data_centre) {
  return data_centres_.intern(data_centre.str());
}

data_centre_id ledger_state::data_centre(name_index index) const {
  return data_centre_id{std::string{data_centres_.name(index)}};
}

void ledger_state::touch(name_index team) {
  if (std::find(touched_.begin(), touched_.end(), team) == touched_.end())
    touched_.push_back(team);
}

// Each change of an epoch stands between subtract_from_totals and add_to_totals, so that a team's
// sums cannot drift from its epochs.
void ledger_state::subtract_from_totals(const delegation& d) {
  team_row& row = teams_[d.team];
  row.outstanding -= d.outstanding();
  row.written_off -= d.written_off();
  row.spent -= d.spent;
}

void ledger_state::add_to_totals(const delegation& d) {
  team_row& row = teams_[d.team];
  row.outstanding += d.outstanding();
  row.written_off += d.written_off();
  row.spent += d.spent;
  touch(d.team);
}

// Spent tokens of an ended epoch stay in the team's sum; only the delegation is erased.
void ledger_state::erase_if_finished(epoch_number epoch) {
  const auto found = delegations_.find(epoch);
  const delegation& d = found->second;
  if (d.state == delegation_state::live || d.remainder() != 0)
    return;
  team_row& row = teams_[d.team];
  if (row.first_epoch == epoch) {
    row.first_epoch = d.next_of_team;
  } else {
    epoch_number before = row.first_epoch;
    while (delegations_.at(before).next_of_team != epoch)
      before = delegations_.at(before).next_of_team;
    delegations_.at(before).next_of_team = d.next_of_team;
  }
  delegations_.erase(found);
}

// An append whose answer was lost is repeated under the same id, so a grant may be in the log
// twice. Applying the second copy would delegate the tokens twice for one request.
bool ledger_state::remember_id(log_offset offset, const record_id& id) {
  if (!recent_ids_.insert(id).second)
    return fault_ == mutation::forget_record_ids;
  recent_.push_back({offset, id});
  return true;
}

void ledger_state::forget_old_ids(log_offset offset) {
  while (!recent_.empty() && recent_.front().offset + repeat_window_ < offset) {
    recent_ids_.erase(recent_.front().id);
    recent_.pop_front();
  }
}

} // namespace sedgechute::ledger
