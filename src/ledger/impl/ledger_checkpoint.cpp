// Checkpoints of the replayed state: a reader that starts after the oldest records are gone begins
// with one.

#include "ledger/impl/ledger_state.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace sedgechute::ledger {

namespace {

std::uint64_t mixed(std::uint64_t hash, token_count value) {
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
    hash = mixed(hash, value);
  hash = mix_hash(hash, d.moved_upto);
  for (const std::uint32_t sequence : d.moved_after)
    hash = mix_hash(hash, sequence);
  return hash;
}

[[noreturn]] void refuse(const std::string& why) {
  throw error{error_kind::invalid_document, "ledger checkpoint", why};
}

} // namespace

// Rows are summed rather than chained: two hosts that began at different checkpoints may have
// interned the same names in another order.
std::uint64_t ledger_state::digest() const {
  std::uint64_t sum = 0;
  for (name_index team = 0; team < teams_.size(); ++team) {
    const team_row& row = teams_[team];
    std::uint64_t hash = stable_hash(team_names_.name(team));
    for (const token_count value :
         {row.contract, row.spent, row.outstanding, row.written_off, row.orphaned})
      hash = mixed(hash, value);
    if (row.contract != 0 || row.spent != 0 || row.first_epoch != 0 || row.orphaned != 0)
      sum += hash;
  }
  for (const auto& [epoch, d] : delegations_) {
    std::uint64_t hash = mix_hash(hash_of(d), stable_hash(team_names_.name(d.team)));
    hash = mix_hash(hash, hash_of(hosts_[d.holder]));
    hash = mix_hash(hash, d.witness == no_name ? 0 : hash_of(hosts_[d.witness]));
    sum += mix_hash(hash, stable_hash(data_centres_.name(d.data_centre)));
  }
  for (const auto& [offset, id] : recent_)
    sum += mix_hash(offset, mix_hash(id.high, id.low));
  return sum;
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
  // Hosts of the past are left out: hundreds of incarnations come and go each day.
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

// Names stay interned, because a running host that lost its place in the stream keeps indices of
// them.
void ledger_state::restore(const ledger_snapshot& snapshot) {
  for (team_row& row : teams_)
    row = {};
  delegations_.clear();
  recent_.clear();
  recent_ids_.clear();
  touched_.clear();
  offset_ = snapshot.offset;

  std::vector<name_index> teams;
  for (const ledger_snapshot::team_row& given : snapshot.teams) {
    teams.push_back(intern_team(given.team));
    team_row& row = teams_[teams.back()];
    row.contract = given.contract;
    row.spent = given.spent;
    row.orphaned = given.orphaned;
    row.written_off = given.orphaned;
  }
  std::vector<name_index> hosts;
  for (const incarnation& host : snapshot.hosts)
    hosts.push_back(intern_host(host));
  std::vector<name_index> data_centres;
  for (const data_centre_id& data_centre : snapshot.data_centres)
    data_centres.push_back(intern_data_centre(data_centre));

  for (const delegation& given : snapshot.delegations) {
    const bool witnessed = given.witness != no_name;
    if (given.team >= teams.size() || given.holder >= hosts.size() ||
        (witnessed && given.witness >= hosts.size()) || given.data_centre >= data_centres.size())
      refuse("epoch " + std::to_string(given.epoch) + " refers to a name that is not given");
    delegation d = given;
    d.team = teams[given.team];
    d.holder = hosts[given.holder];
    d.witness = witnessed ? hosts[given.witness] : no_name;
    d.data_centre = data_centres[given.data_centre];
    team_row& row = teams_[d.team];
    d.next_of_team = row.first_epoch;
    row.first_epoch = d.epoch;
    row.outstanding += d.outstanding();
    row.written_off += d.written_off();
    if (!delegations_.emplace(d.epoch, std::move(d)).second)
      refuse("epoch " + std::to_string(given.epoch) + " is given twice");
  }
  for (const ledger_snapshot::recent_id& given : snapshot.recent) {
    recent_.push_back(given);
    recent_ids_.insert(given.id);
  }
  if (digest() != snapshot.digest)
    refuse("the rows do not have the digest that the checkpoint states");
}

} // namespace sedgechute::ledger
