#include "fleet_model.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute::ledger {

namespace {

constexpr time_ms round_span{60};

} // namespace

std::string to_text(const step& s) {
  return std::string{name_of(s.kind)} + ' ' + std::to_string(s.a) + ' ' + std::to_string(s.b);
}

fleet_model::fleet_model(const model_options& options, std::uint64_t seed)
    : options_{options}, random_{seed}, reference_{options.ledger} {
  cuts_.resize(std::size_t{options.hosts} * options.hosts);
  for (std::uint32_t team = 0; team < options.teams; ++team) {
    teams_.emplace_back("team-" + std::to_string(team));
    expected_.emplace_back();
    set_contract(team, options.bought);
  }
  hosts_.resize(options.hosts);
  for (std::uint32_t i = 0; i < options.hosts; ++i) {
    hosts_[i].data_centre = data_centre_id{"dc-" + std::to_string(i % options.data_centres)};
    hosts_[i].id.host = host_id{"host-" + std::to_string(i)};
    start_host(i);
  }
  for (std::uint32_t i = 0; i < options.hosts; ++i)
    see_members(i);
}

void fleet_model::start_host(std::uint32_t index) {
  fake_host& h = hosts_[index];
  ++h.id.number;
  h.paused = false;
  h.draining = false;
  h.read_upto = 0;
  h.incoming.clear();
  h.budgets = std::make_unique<budget_host>(h.id, h.data_centre, options_.ledger, random_());
}

void fleet_model::set_contract(std::uint32_t team, token_count bought) {
  log_.push_back({std::nullopt, teams_[team], bought});
  expected_[team].contract = bought;
  reference_.on_contract(log_.size(), teams_[team], bought);
}

bool fleet_model::connected(std::uint32_t a, std::uint32_t b) const {
  return a == b || !cuts_[std::size_t{std::min(a, b)} * options_.hosts + std::max(a, b)];
}

std::optional<std::uint32_t> fleet_model::host_named(const host_id& name) const {
  for (std::uint32_t i = 0; i < hosts_.size(); ++i)
    if (hosts_[i].id.host == name)
      return i;
  return std::nullopt;
}

void fleet_model::collect(std::uint32_t index) {
  fake_host& h = hosts_[index];
  budget_output out = h.budgets->take_output();
  for (outgoing_message& m : out.messages) {
    if (const auto* const t = std::get_if<token_transfer>(&m.body))
      transfers_[{t->from, t->sequence}] = t->tokens;
    network_.push_back({h.id, std::move(m)});
  }
  for (ledger_record& r : out.records)
    appends_.push_back(std::move(r));
  for (const budget_decision& d : out.decisions)
    on_decision(index, d);
  for (const bill& made : out.bills) {
    claim& c = claims_[std::stoul(made.key.str())];
    expected_[c.team].billed += made.tokens;
    billed_of_[made.epoch] += made.tokens;
    expected_[c.team].unbilled -= std::exchange(c.consumed, 0);
    if (++c.bills > 1) {
      ++found_.double_billed;
      report("request " + made.key.str() + " was billed twice");
    }
    if (made.tokens > c.bound)
      report("request " + made.key.str() + " was billed above its bound");
  }
}

void fleet_model::deliver(std::size_t index, bool keep) {
  const in_flight m = network_[index];
  const std::uint32_t from = *host_named(m.from.host);
  const std::uint32_t to = *host_named(m.message.to.host);
  if (hosts_[to].paused && connected(from, to))
    return;
  if (!keep) {
    network_[index] = std::move(network_.back());
    network_.pop_back();
  }
  if (!connected(from, to))
    return;
  hosts_[to].budgets->on_message(now_, m.from, m.message.to, m.message.body);
  collect(to);
}

// A delayed copy may arrive after all messages sent later, also after a wait beyond every timeout.
// Rounds don't deliver it.
void fleet_model::copy_late(std::size_t index) {
  late_messages_.push_back(network_[index]);
  deliver(index, false);
}

void fleet_model::deliver_late(std::size_t index) {
  network_.push_back(std::move(late_messages_[index]));
  late_messages_[index] = std::move(late_messages_.back());
  late_messages_.pop_back();
  deliver(network_.size() - 1, false);
}

void fleet_model::append_late(std::size_t index) {
  appends_.push_back(std::move(late_appends_[index]));
  late_appends_[index] = std::move(late_appends_.back());
  late_appends_.pop_back();
  append(appends_.size() - 1, false);
}

void fleet_model::append(std::size_t index, bool keep) {
  if (log_down_)
    return;
  const ledger_record record = appends_[index];
  std::vector<token_count> before;
  for (const team_id& team : teams_)
    before.push_back(reference_.totals(reference_.find_team(team)).committed());
  if (!keep) {
    appends_[index] = std::move(appends_.back());
    appends_.pop_back();
  }
  log_.push_back({record, {}, 0});
  const record_verdict verdict = reference_.on_record(log_.size(), record);
  const bool once = std::holds_alternative<grant>(record.body) ||
                    std::holds_alternative<sedgechute::ledger::release>(record.body);
  if (once && verdict == record_verdict::applied && !applied_.insert(record.id).second)
    report("a repeated record was applied twice");
  for (std::uint32_t team = 0; team < teams_.size(); ++team) {
    const token_count after = reference_.totals(reference_.find_team(teams_[team])).committed();
    if (after > std::max(before[team], expected_[team].contract))
      report("a record committed more of " + teams_[team].str() + " than was bought");
  }
}

void fleet_model::read_log(std::uint32_t index, std::size_t most) {
  fake_host& h = hosts_[index];
  if (h.paused || h.log_cut || log_down_)
    return;
  if (!h.incoming.empty() || h.read_upto + 1 < first_retained_)
    return restore_next_part(h);
  for (; most > 0 && h.read_upto < log_.size(); --most) {
    const log_entry& entry = log_[h.read_upto++];
    if (entry.record)
      h.budgets->on_record(now_, h.read_upto, *entry.record);
    else
      h.budgets->on_contract(now_, h.read_upto, entry.team, entry.bought);
  }
  collect(index);
}

void fleet_model::see_members(std::uint32_t index) {
  std::vector<live_host> live;
  for (std::uint32_t i = 0; i < hosts_.size(); ++i)
    if (i == index || (!hosts_[i].paused && connected(index, i)))
      live.push_back({hosts_[i].id, hosts_[i].data_centre, hosts_[i].draining});
  hosts_[index].budgets->on_members(now_, live);
}

std::size_t fleet_model::start_request(std::uint32_t host, std::uint32_t team, token_count bound) {
  claims_.push_back({team, bound, std::nullopt, false, 0, {}, 0});
  start_attempt(host, static_cast<std::uint32_t>(claims_.size() - 1));
  return requests_.size() - 1;
}

void fleet_model::start_attempt(std::uint32_t host, std::uint32_t key) {
  const claim& c = claims_[key];
  running_request r;
  r.host = host;
  r.entry = hosts_[host].id;
  r.team = c.team;
  r.key = key;
  r.bound = c.bound;
  r.since = now_;
  const budget_decision decision = hosts_[host].budgets->reserve(
      now_, {teams_[c.team], request_id{std::to_string(key)}, c.bound, c.holder});
  r.ticket = decision.ticket;
  requests_.push_back(r);
  if (decision.outcome != budget_outcome::pending)
    on_decision(host, decision);
  collect(host);
}

void fleet_model::on_decision(std::uint32_t host, const budget_decision& decision) {
  const auto found = std::find_if(requests_.begin(), requests_.end(), [&](const auto& r) {
    return r.entry == hosts_[host].id && r.ticket == decision.ticket && !r.over;
  });
  if (found == requests_.end()) {
    report("an unknown ticket was decided");
    return;
  }
  running_request& r = *found;
  if (r.outcome != budget_outcome::pending)
    report("a ticket was decided twice");
  r.outcome = decision.outcome;
  r.holder = decision.holder;
  r.epoch = decision.epoch;
  r.over = decision.outcome != budget_outcome::granted;
  if (r.over)
    return;
  r.bound = decision.bound;
  claim_key(host, static_cast<std::size_t>(found - requests_.begin()));
}

// The order is reservation, claim of the key, dispatch. A key whose answer is complete is not run
// again. An attempt beside a running one is denied, or takes over from an entry host that has died
// or was fenced, whose attempt is then not billed.
void fleet_model::claim_key(std::uint32_t host, std::size_t request) {
  running_request& r = requests_[request];
  claim& c = claims_[r.key];
  bool denied = c.finished;
  for (running_request& other : requests_) {
    const bool same = &other == &r || other.key != r.key || other.over ||
                      other.outcome != budget_outcome::granted;
    if (same || hosts_[other.host].id != other.entry)
      continue;
    if (other.epoch == r.epoch || random_.below(2) == 0) {
      denied = true;
      continue;
    }
    other.over = true;
    hosts_[other.host].budgets->disown(now_, other.ticket);
  }
  if (!denied) {
    c.holder = r.holder;
    c.epochs.insert(r.epoch);
    return;
  }
  r.over = true;
  hosts_[host].budgets->withdraw(now_, r.ticket);
}

budget_outcome fleet_model::outcome(std::size_t request) const {
  return requests_[request].outcome;
}

std::uint32_t fleet_model::holder_of(std::size_t request) const {
  return *host_named(requests_[request].holder.host);
}

team_totals fleet_model::totals(std::uint32_t team) const {
  return reference_.totals(reference_.find_team(teams_[team]));
}

void fleet_model::see_all_members() {
  for (std::uint32_t i = 0; i < hosts_.size(); ++i)
    see_members(i);
}

// A request whose entry host has died still consumes tokens at its endpoint. They count as unbilled
// until an attempt that took over is billed instead.
void fleet_model::end_request(running_request& r, std::optional<token_count> used) {
  claim& c = claims_[r.key];
  r.over = true;
  if (hosts_[r.host].id != r.entry) {
    const token_count more = std::min(used.value_or(r.bound), r.bound) - c.consumed;
    if (c.bills == 0 && more > 0) {
      c.consumed += more;
      expected_[r.team].unbilled += more;
    }
    return;
  }
  // The answer is recorded as complete before it is billed, so no attempt starts after a bill.
  c.finished = true;
  hosts_[r.host].budgets->settle(now_, r.ticket, used);
  collect(r.host);
}

void fleet_model::finish_request(std::size_t request, std::optional<token_count> used) {
  end_request(requests_[request], used);
}

fleet_model::running_request* fleet_model::running(std::uint32_t choice) {
  std::erase_if(requests_, [](const running_request& r) { return r.over; });
  if (requests_.empty())
    return nullptr;
  running_request& r = requests_[choice % requests_.size()];
  return r.outcome == budget_outcome::granted && !hosts_[r.host].paused ? &r : nullptr;
}

void fleet_model::report(const std::string& what) {
  if (found_.first.empty())
    found_.first = what;
}

void fleet_model::run_round() {
  now_ += round_span;
  advance_checkpoint();
  for (std::size_t left = network_.size(); left > 0 && !network_.empty(); --left)
    deliver(0, false);
  for (std::size_t left = appends_.size(); left > 0; --left)
    append(0, false);
  for (std::uint32_t i = 0; i < hosts_.size(); ++i) {
    read_log(i, log_.size());
    if (hosts_[i].paused)
      continue;
    hosts_[i].budgets->tick(now_);
    collect(i);
  }
}

} // namespace sedgechute::ledger
