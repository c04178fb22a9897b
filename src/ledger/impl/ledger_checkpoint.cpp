// Checkpoints of the replayed state, from which a reader starts when the oldest records are no
// longer in the log.

#include "ledger/impl/ledger_state.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace sedgechute::ledger {

namespace {

std::uint64_t mix_tokens(std::uint64_t hash, token_count value) {
  return mix_hash(hash, static_cast<std::uint64_t>(value));
}

std::uint64_t hash_of(const incarnation& host) {
  return mix_hash(stable_hash(host.host.str()), host.number);
}

std::uint64_t hash_of(const delegation& d) {
  std::uint64_t hash = mix_hash(d.epoch, d.term);
  hash = mix_hash(hash, d.version);
  hash = mix_hash(hash, static_cast<std::uint64_t>(d.state));
  hash = mix_hash(hash, d.reclaim_applied ? 1 : 0);
  for (const token_count value :
       {d.granted, d.opened, d.received, d.spent, d.returned, d.lost, d.sent, d.moved, d.gone})
    hash = mix_tokens(hash, value);
  hash = mix_hash(hash, d.moved_upto);
  for (const std::uint32_t sequence : d.moved_after)
    hash = mix_hash(hash, sequence);
  return hash;
}

[[noreturn]] void throw_invalid(const std::string& why) {
  throw error{error_kind::invalid_document, "ledger checkpoint", why};
}

} // namespace

// Row hashes are summed rather than chained because hosts that started from different checkpoints
// may have interned the same names in another order.
std::uint64_t ledger_state::digest() const {
  std::uint64_t sum = 0;
  for (name_index team = 0; team < teams_.size(); ++team) {
    const team_row& row = teams_[team];
    if (row.contract == 0 && row.spent == 0 && row.first_epoch == 0 && row.orphaned == 0)
      continue;
    std::uint64_t hash = stable_hash(team_names_.name(team));
    for (const token_count value :
         {row.contract, row.spent, row.outstanding, row.written_off, row.orphaned})
      hash = mix_tokens(hash, value);
    sum += hash;
  }
  for (const auto& [epoch, d] : delegations_)
    sum += epoch_digest(d);
  for (const auto& [offset, id] : recent_)
    sum += mix_hash(offset, mix_hash(id.high, id.low));
  return sum;
}

// Part of the sum in `digest` for one team of a cut.
std::uint64_t ledger_state::row_digest(const ledger_snapshot::team_row& row,
                                       std::span<const delegation> delegations) const {
  token_count outstanding = 0;
  token_count written_off = row.orphaned;
  std::uint64_t sum = 0;
  for (const delegation& d : delegations) {
    outstanding += d.outstanding();
    written_off += d.written_off();
    sum += epoch_digest(d);
  }
  if (row.contract == 0 && row.spent == 0 && delegations.empty() && row.orphaned == 0)
    return 0;
  std::uint64_t hash = stable_hash(row.team.str());
  for (const token_count value : {row.contract, row.spent, outstanding, written_off, row.orphaned})
    hash = mix_tokens(hash, value);
  return sum + hash;
}

std::uint64_t ledger_state::epoch_digest(const delegation& d) const {
  std::uint64_t hash = mix_hash(hash_of(d), stable_hash(team_names_.name(d.team)));
  hash = mix_hash(hash, hash_of(hosts_[d.holder]));
  hash = mix_hash(hash, d.witness == no_name ? 0 : hash_of(hosts_[d.witness]));
  return mix_hash(hash, stable_hash(data_centres_.name(d.data_centre)));
}

ledger_snapshot ledger_state::snapshot() const {
  ledger_snapshot result;
  result.offset = offset_;
  result.digest = digest();
  result.teams.reserve(teams_.size());
  for (name_index team = 0; team < teams_.size(); ++team) {
    const team_row& row = teams_[team];
    result.teams.push_back({team_name(team), row.contract, row.spent, row.orphaned});
  }
  for (name_index index = 0; index < data_centres_.size(); ++index)
    result.data_centres.push_back(data_centre(index));
  // Only hosts that a delegation refers to are stored: hundreds of incarnations start and end each
  // day.
  std::vector<name_index> places(hosts_.size(), no_name);
  const auto place_of = [&](name_index host) {
    if (host == no_name)
      return no_name;
    if (places[host] == no_name) {
      places[host] = static_cast<name_index>(result.hosts.size());
      result.hosts.push_back(hosts_[host]);
    }
    return places[host];
  };
  for (const auto& [epoch, d] : delegations_) {
    delegation given = d;
    given.holder = place_of(d.holder);
    given.witness = place_of(d.witness);
    result.delegations.push_back(std::move(given));
  }
  std::sort(result.delegations.begin(), result.delegations.end(),
            [](const delegation& a, const delegation& b) { return a.epoch < b.epoch; });
  result.recent.assign(recent_.begin(), recent_.end());
  return result;
}

// Names stay interned, because a running host that restores after a gap in the log still holds
// their indices.
void ledger_state::restore(const ledger_snapshot& snapshot) {
  begin_restore();
  restore_part(snapshot);
  finish_restore();
}

void ledger_state::begin_restore() {
  restoring_.emplace();
  touched_.clear();
}

// A team's row and epochs are replaced together, so between two parts each team is in its state at
// the old offset or at the new one. Replay passes through both states.
std::vector<name_index> ledger_state::restore_part(const ledger_snapshot& part) {
  std::vector<name_index> teams;
  for (const ledger_snapshot::team_row& given : part.teams) {
    const name_index index = intern_team(given.team);
    teams.push_back(index);
    clear_team(index);
    team_row& row = teams_[index];
    row.contract = given.contract;
    row.spent = given.spent;
    row.orphaned = given.orphaned;
    row.written_off = given.orphaned;
    restoring_->given.resize(teams_.size());
    restoring_->given[index] = true;
  }
  std::vector<name_index> hosts;
  for (const incarnation& host : part.hosts)
    hosts.push_back(intern_host(host));
  std::vector<name_index> data_centres;
  for (const data_centre_id& data_centre : part.data_centres)
    data_centres.push_back(intern_data_centre(data_centre));
  for (const delegation& given : part.delegations)
    add_delegation(given, teams, hosts, data_centres);
  restoring_->recent.insert(restoring_->recent.end(), part.recent.begin(), part.recent.end());
  restoring_->offset = part.offset;
  restoring_->digest = part.digest;
  return teams;
}

void ledger_state::add_delegation(const delegation& given, const std::vector<name_index>& teams,
                                  const std::vector<name_index>& hosts,
                                  const std::vector<name_index>& data_centres) {
  const bool witnessed = given.witness != no_name;
  if (given.team >= teams.size() || given.holder >= hosts.size() ||
      (witnessed && given.witness >= hosts.size()) || given.data_centre >= data_centres.size())
    throw_invalid("epoch " + std::to_string(given.epoch) +
                  " refers to a name that is not in the checkpoint");
  delegation d = given;
  d.team = teams[given.team];
  d.holder = hosts[given.holder];
  d.witness = witnessed ? hosts[given.witness] : no_name;
  d.data_centre = data_centres[given.data_centre];
  team_row& row = teams_[d.team];
  d.next_of_team = row.first_epoch;
  if (!delegations_.try_emplace(d.epoch, d).second)
    throw_invalid("epoch " + std::to_string(given.epoch) + " is listed twice");
  row.first_epoch = d.epoch;
  row.outstanding += d.outstanding();
  row.written_off += d.written_off();
}

void ledger_state::clear_team(name_index team) {
  save_image(team);
  for (epoch_number epoch = teams_[team].first_epoch; epoch != 0;) {
    const auto found = delegations_.find(epoch);
    epoch = found->second.next_of_team;
    delegations_.erase(found);
  }
  teams_[team] = {};
}

void ledger_state::finish_restore() {
  const restore_progress done = *std::exchange(restoring_, std::nullopt);
  for (name_index team = 0; team < teams_.size(); ++team)
    if (team >= done.given.size() || !done.given[team])
      clear_team(team);
  offset_ = done.offset;
  recent_.assign(done.recent.begin(), done.recent.end());
  recent_ids_.clear();
  for (const ledger_snapshot::recent_id& given : recent_)
    recent_ids_.insert(given.id);
  if (digest() != done.digest)
    throw_invalid("the digest of the restored state differs from the stated digest");
}

} // namespace sedgechute::ledger
