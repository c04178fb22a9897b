#include "measured_fleet.hpp"

#include "wire/impl/ledger_codec.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace sedgechute::ledger {

namespace {

constexpr token_count min_bound = 200;
constexpr std::uint64_t extra_bound = 1800;
constexpr std::uint64_t max_extra_ms = 5000;
constexpr std::uint32_t central_host = 0;

} // namespace

measured_fleet::measured_fleet(fleet_shape shape, std::uint64_t seed)
    : shape_{std::move(shape)}, random_{seed}, reference_{shape_.ledger} {
  for (std::uint32_t i = 0; i < shape_.hosts; ++i) {
    fleet_host h;
    h.data_centre = i % static_cast<std::uint32_t>(shape_.data_centre_share.size());
    h.id = {host_id{"host-" + std::to_string(i)}, 1};
    h.budgets = std::make_unique<budget_host>(
        h.id, data_centre_id{"dc-" + std::to_string(h.data_centre)}, shape_.ledger, random_());
    indices_.emplace(h.id.host, i);
    hosts_.push_back(std::move(h));
  }
  due_.resize(shape_.teams.size());
  for (std::size_t t = 0; t < shape_.teams.size(); ++t) {
    const token_count bought = shape_.teams[t].bought;
    teams_.emplace_back("team-" + std::to_string(t));
    tallies_.push_back({bought, 0, 0, std::vector(shape_.hosts, bought / shape_.hosts), bought});
    reference_.on_contract(0, teams_.back(), bought);
    for (fleet_host& h : hosts_)
      h.budgets->on_contract(now_, 0, teams_.back(), bought);
  }
  see_members();
}

bool measured_fleet::connected(std::uint32_t a, std::uint32_t b) const {
  return (hosts_[a].data_centre == cut_) == (hosts_[b].data_centre == cut_);
}

std::uint32_t measured_fleet::index_of(const incarnation& host) const {
  return indices_.at(host.host);
}

void measured_fleet::see_members() {
  for (std::uint32_t i = 0; i < hosts_.size(); ++i) {
    std::vector<live_host> live;
    for (std::uint32_t j = 0; j < hosts_.size(); ++j)
      if (connected(i, j))
        live.push_back(
            {hosts_[j].id, data_centre_id{"dc-" + std::to_string(hosts_[j].data_centre)}});
    hosts_[i].budgets->on_members(now_, live);
  }
}

void measured_fleet::cut(std::uint32_t data_centre) {
  cut_ = data_centre;
  see_members();
}

void measured_fleet::collect(std::uint32_t host) {
  budget_output out = hosts_[host].budgets->take_output();
  messages_ += out.messages.size();
  for (const outgoing_message& m : out.messages) {
    message_bytes_ += to_wire(m.body).ByteSizeLong();
    chunk_openings_ += std::holds_alternative<open_chunk>(m.body) ? 1 : 0;
  }
  for (outgoing_message& m : out.messages)
    network_.push_back({hosts_[host].id, std::move(m)});
  // A host that is disconnected from the log loses the append; it repeats it later.
  if (hosts_[host].data_centre != cut_)
    std::move(out.records.begin(), out.records.end(), std::back_inserter(appends_));
  for (const budget_decision& d : out.decisions)
    decide(host, d);
}

std::uint32_t measured_fleet::draw_host() {
  double drawn = random_.unit();
  std::uint32_t data_centre = 0;
  while (data_centre + 1 < shape_.data_centre_share.size() &&
         drawn >= shape_.data_centre_share[data_centre])
    drawn -= shape_.data_centre_share[data_centre++];
  std::vector<std::uint32_t> there;
  for (std::uint32_t i = 0; i < hosts_.size(); ++i)
    if (hosts_[i].data_centre == data_centre)
      there.push_back(i);
  return there[random_.below(there.size())];
}

void measured_fleet::start_requests() {
  for (std::uint32_t team = 0; team < shape_.teams.size(); ++team) {
    due_[team] += shape_.teams[team].requests_per_s * static_cast<double>(shape_.round.count()) /
                  1000.0 * 2 * random_.unit();
    for (; due_[team] >= 1; --due_[team]) {
      open_request r;
      r.team = team;
      r.host = draw_host();
      r.bound = min_bound + static_cast<token_count>(random_.below(extra_bound));
      r.used = r.bound * static_cast<token_count>(20 + random_.below(60)) / 100;
      r.ends = now_ + time_ms{static_cast<std::int64_t>(500 + random_.below(max_extra_ms))};
      team_tally& b = tallies_[team];
      const bool covered = is_counted(b) && r.bound <= b.bought - b.spent - b.reserved;
      count_baselines(r, covered);
      ++delegated_.asked;
      const request_id key{std::to_string(next_key_++)};
      const budget_decision decision =
          hosts_[r.host].budgets->reserve(now_, {teams_[team], key, r.bound, std::nullopt});
      open_.emplace(std::pair{r.host, decision.ticket}, r);
      if (decision.outcome != budget_outcome::pending)
        decide(r.host, decision);
      collect(r.host);
    }
  }
}

// A refusal counts as false for each policy if the team's whole budget covered the request.
void measured_fleet::count_baselines(const open_request& r, bool covered) {
  team_tally& b = tallies_[r.team];
  const auto count = [&](request_counts& counts, bool granted) {
    ++counts.asked;
    counts.refused += granted ? 0 : 1;
    counts.refused_falsely += !granted && covered ? 1 : 0;
  };
  token_count& left = b.static_left[r.host];
  count(static_, left >= r.bound);
  if (left >= r.bound)
    left -= r.used;
  const bool reached = connected(r.host, central_host) && b.central_left >= r.bound;
  count(central_, reached);
  if (reached)
    b.central_left -= r.used;
}

// Refusals in the last thousandth of a budget do not count as false.
bool measured_fleet::is_counted(const team_tally& b) {
  return b.spent < b.bought - b.bought / 1000;
}

void measured_fleet::decide(std::uint32_t host, const budget_decision& decision) {
  const auto found = open_.find({host, decision.ticket});
  open_request& r = found->second;
  team_tally& b = tallies_[r.team];
  if (decision.outcome == budget_outcome::granted) {
    r.granted = true;
    b.reserved += r.bound;
    ends_.emplace(r.ends, found->first);
    return;
  }
  ++delegated_.refused;
  if (is_counted(b) && r.bound <= b.bought - b.spent - b.reserved)
    ++delegated_.refused_falsely;
  open_.erase(found);
}

void measured_fleet::end_requests() {
  while (!ends_.empty() && ends_.begin()->first <= now_) {
    const auto id = ends_.begin()->second;
    ends_.erase(ends_.begin());
    const auto found = open_.find(id);
    if (found == open_.end())
      continue;
    const open_request r = found->second;
    open_.erase(found);
    tallies_[r.team].reserved -= r.bound;
    tallies_[r.team].spent += r.used;
    hosts_[r.host].budgets->settle(now_, id.second, r.used);
    collect(r.host);
  }
}

void measured_fleet::round() {
  now_ += shape_.round;
  for (const in_flight_message& m : std::exchange(network_, {})) {
    const std::uint32_t from = index_of(m.from);
    const std::uint32_t to = index_of(m.message.to);
    if (!connected(from, to))
      continue;
    hosts_[to].budgets->on_message(now_, m.from, m.message.to, m.message.body);
    collect(to);
  }
  for (ledger_record& record : std::exchange(appends_, {})) {
    log_.push_back(std::move(record));
    reference_.on_record(log_.size(), log_.back());
  }
  end_requests();
  start_requests();
  for (std::uint32_t i = 0; i < hosts_.size(); ++i) {
    fleet_host& h = hosts_[i];
    while (h.data_centre != cut_ && h.read_upto < log_.size()) {
      const ledger_record& record = log_[h.read_upto++];
      h.budgets->on_record(now_, h.read_upto, record);
    }
    h.budgets->tick(now_);
    collect(i);
  }
}

void measured_fleet::run(time_ms span) {
  for (const time_ms end = now_ + span; now_ < end;)
    round();
}

void measured_fleet::run_until_spent(double share, time_ms most) {
  const auto spent = [&] {
    return std::all_of(tallies_.begin(), tallies_.end(), [&](const team_tally& b) {
      return static_cast<double>(b.spent) >= share * static_cast<double>(b.bought);
    });
  };
  for (const time_ms end = now_ + most; now_ < end && !spent();)
    round();
}

measured_fleet::crash_loss measured_fleet::crash_busiest() {
  const auto held = [&](const fleet_host& h) {
    std::size_t slices = 0;
    h.budgets->holder().for_each([&](const account& a) { slices += a.slices.size(); });
    return slices;
  };
  const auto victim =
      std::max_element(hosts_.begin(), hosts_.end(),
                       [&](const fleet_host& a, const fleet_host& b) { return held(a) < held(b); });
  const incarnation dead = victim->id;
  const auto index = static_cast<std::uint32_t>(victim - hosts_.begin());
  for (auto next = open_.begin(); next != open_.end();) {
    if (next->first.first == index && next->second.granted)
      tallies_[next->second.team].reserved -= next->second.bound;
    next = next->first.first == index ? open_.erase(next) : std::next(next);
  }
  ++victim->id.number;
  victim->read_upto = 0;
  victim->budgets = std::make_unique<budget_host>(
      victim->id, data_centre_id{"dc-" + std::to_string(victim->data_centre)}, shape_.ledger,
      random_());
  for (std::size_t t = 0; t < teams_.size(); ++t)
    victim->budgets->on_contract(now_, 0, teams_[t], tallies_[t].bought);
  see_members();
  crash_loss loss;
  reference_.for_each([&](const delegation& d) {
    if (reference_.host(d.holder) == dead)
      loss.without_witness = std::max(loss.without_witness,
                                      static_cast<double>(d.remainder()) /
                                          static_cast<double>(reference_.totals(d.team).bought()));
  });
  const time_ms crashed = now_;
  const auto still_live = [&] {
    bool live = false;
    reference_.for_each([&](const delegation& d) {
      live |= reference_.host(d.holder) == dead && d.state == delegation_state::live;
    });
    return live;
  };
  while (still_live() && now_ - crashed < time_ms{120000})
    round();
  loss.reclaimed_after = now_ - crashed;
  reference_.for_each([&](const delegation& d) {
    if (reference_.host(d.holder) != dead)
      return;
    const auto bought = static_cast<double>(reference_.totals(d.team).bought());
    loss.stranded_share =
        std::max(loss.stranded_share, static_cast<double>(d.written_off()) / bought);
  });
  return loss;
}

void measured_fleet::reset_counts() {
  delegated_ = {};
  static_ = {};
  central_ = {};
}

} // namespace sedgechute::ledger
