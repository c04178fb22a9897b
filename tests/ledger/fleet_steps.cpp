// Applies each kind of step to the model, and checks the invariants.

#include "fleet_model.hpp"

#include <algorithm>
#include <array>

namespace sedgechute::ledger {

namespace {

constexpr std::array<token_count, 6> bounds{20, 60, 150, 400, 900, 3000};
constexpr time_ms tick_span{30};
constexpr time_ms long_span{4000000};

} // namespace

void fleet_model::apply(const step& s) {
  advance_checkpoint();
  const auto count = static_cast<std::uint32_t>(hosts_.size());
  const std::uint32_t index = s.a % count;
  fake_host& h = hosts_[index];
  const std::size_t message = network_.empty() ? 0 : s.b % network_.size();
  const std::size_t record = appends_.empty() ? 0 : s.b % appends_.size();
  switch (s.kind) {
  case step_kind::pass_time:
  case step_kind::long_wait:
    now_ += s.kind == step_kind::pass_time ? tick_span * (1 + s.b % 8) : long_span;
    if (!h.paused)
      h.budgets->tick(now_);
    break;
  case step_kind::run:
    run_round();
    break;
  case step_kind::deliver:
  case step_kind::repeat:
    if (!network_.empty())
      deliver(message, s.kind == step_kind::repeat);
    break;
  case step_kind::drop:
    if (!network_.empty())
      network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(message));
    break;
  case step_kind::append:
  case step_kind::repeat_append:
    if (!appends_.empty())
      append(record, s.kind == step_kind::repeat_append);
    break;
  case step_kind::lose_append:
    if (!appends_.empty())
      appends_.erase(appends_.begin() + static_cast<std::ptrdiff_t>(record));
    break;
  case step_kind::copy_late:
    if (!network_.empty())
      copy_late(message);
    break;
  case step_kind::hold_append:
    if (!appends_.empty()) {
      late_appends_.push_back(std::move(appends_[record]));
      appends_.erase(appends_.begin() + static_cast<std::ptrdiff_t>(record));
    }
    break;
  case step_kind::late_message:
    if (!late_messages_.empty())
      deliver_late(s.b % late_messages_.size());
    break;
  case step_kind::late_append:
    if (!late_appends_.empty())
      append_late(s.b % late_appends_.size());
    break;
  case step_kind::read:
    read_log(index, 1 + s.b % 4);
    break;
  case step_kind::see_members:
    if (!h.paused)
      see_members(index);
    break;
  case step_kind::request:
    if (!h.paused && !h.draining)
      start_request(index, s.b % options_.teams, bounds[s.b / 7 % bounds.size()]);
    break;
  case step_kind::retry:
    if (const std::size_t key = claims_.empty() ? 0 : s.b % claims_.size();
        !claims_.empty() && !claims_[key].finished && !h.paused && !h.draining)
      start_attempt(index, static_cast<std::uint32_t>(key));
    break;
  case step_kind::settle:
    if (running_request* const r = running(s.b))
      end_request(*r, s.a % 5 == 0 ? r->bound * 2 : static_cast<token_count>(s.a) % (r->bound + 1));
    break;
  case step_kind::no_usage:
    if (running_request* const r = running(s.b))
      end_request(*r, std::nullopt);
    break;
  case step_kind::shrink:
    if (running_request* const r = running(s.b); r != nullptr && is_only_attempt(*r)) {
      r->bound = static_cast<token_count>(s.a) % (r->bound + 1);
      hosts_[r->host].budgets->shrink(now_, r->ticket, r->bound);
      collect(r->host);
    }
    break;
  case step_kind::withdraw:
    if (running_request* const r = running(s.b); r != nullptr && hosts_[r->host].id == r->entry) {
      r->over = true;
      hosts_[r->host].budgets->withdraw(now_, r->ticket);
      collect(r->host);
    }
    break;
  case step_kind::top_up:
    set_contract(s.b % options_.teams, expected_[s.b % options_.teams].contract + 1 + s.a % 2000);
    break;
  case step_kind::reduce_contract:
    set_contract(s.b % options_.teams, expected_[s.b % options_.teams].contract * (s.a % 4) / 4);
    break;
  case step_kind::crash:
    start_host(index);
    see_members(index);
    break;
  case step_kind::pause:
    h.paused = !h.paused;
    break;
  case step_kind::cut_hosts:
    if (const std::uint32_t other = s.b % count; other != index) {
      const std::size_t cut =
          std::size_t{std::min(index, other)} * options_.hosts + std::max(index, other);
      cuts_[cut] = !cuts_[cut];
    }
    break;
  case step_kind::cut_data_centre:
    for (std::uint32_t i = 0; i < count; ++i)
      for (std::uint32_t j = i + 1; j < count; ++j)
        if ((hosts_[i].data_centre == h.data_centre) != (hosts_[j].data_centre == h.data_centre))
          cuts_[std::size_t{i} * options_.hosts + j] = s.b % 2 == 0;
    break;
  case step_kind::cut_log:
    h.log_cut = !h.log_cut;
    break;
  case step_kind::log_outage:
    log_down_ = !log_down_;
    break;
  case step_kind::checkpoint:
    if (!h.paused && h.read_upto >= first_retained_)
      start_checkpoint(index);
    break;
  case step_kind::trim:
    if (!checkpoint_.empty())
      first_retained_ = std::max(first_retained_, checkpoint_.front().offset + 1);
    break;
  case step_kind::release:
    release(s.b);
    break;
  case step_kind::drain:
    if (!h.paused) {
      h.draining = true;
      h.budgets->drain(now_);
    }
    break;
  }
  if (!h.paused)
    collect(index);
}

// A shared reservation must not shrink below the tokens that an attempt of a dead entry host may
// have used.
bool fleet_model::is_only_attempt(const running_request& r) const {
  const auto same_key = [&](const running_request& other) { return other.key == r.key; };
  return hosts_[r.host].id == r.entry && claims_[r.key].consumed == 0 &&
         std::count_if(requests_.begin(), requests_.end(), same_key) == 1;
}

// Tokens of an epoch that an operator must leave written off: those used, possibly used, or sent to
// another holder, if the log does not show it.
token_count fleet_model::unproven(const delegation& d) const {
  token_count used = 0;
  if (const auto found = billed_of_.find(d.epoch); found != billed_of_.end())
    used += found->second;
  for (const claim& c : claims_)
    if (c.bills == 0 && c.epochs.contains(d.epoch))
      used += c.bound;
  token_count sent = 0;
  for (const auto& [id, tokens] : transfers_)
    if (id.first == d.epoch)
      sent += tokens;
  return std::max<token_count>(used - d.spent, 0) + std::max<token_count>(sent - d.moved, 0);
}

void fleet_model::release(std::uint32_t choice) {
  std::vector<const delegation*> lost;
  reference_.for_each([&](const delegation& d) {
    const std::optional<std::uint32_t> host = host_named(reference_.host(d.holder).host);
    const bool destroyed = hosts_[*host].id != reference_.host(d.holder);
    if (destroyed && d.state != delegation_state::live && d.remainder() > unproven(d))
      lost.push_back(&d);
  });
  if (lost.empty())
    return;
  std::sort(lost.begin(), lost.end(), [](auto* a, auto* b) { return a->epoch < b->epoch; });
  const delegation& d = *lost[choice % lost.size()];
  const std::uint32_t by = choice % options_.hosts;
  if (hosts_[by].paused)
    return;
  hosts_[by].budgets->release(now_,
                              {reference_.team_name(d.team), d.epoch, d.remainder() - unproven(d),
                               d.remainder(), release_proof::usage_statement, "model", 0});
  collect(by);
}

// The witness of the newest term must know all opened tokens, because it may reclaim the rest.
void fleet_model::check_slice(const slice& s) {
  if (s.free() < 0 || s.reserved < 0 || s.lost < 0 || s.opened > s.granted)
    report("a slice of epoch " + std::to_string(s.epoch) + " is negative");
  const delegation* const d = reference_.find(s.epoch);
  if (d == nullptr || d->state != delegation_state::live || d->witness == no_name ||
      s.state != slice_state::live)
    return;
  const incarnation& witness = reference_.host(d->witness);
  const fake_host& w = hosts_[*host_named(witness.host)];
  if (w.id != witness)
    return;
  token_count known = d->opened;
  const auto signed_part = w.budgets->witness().countersigned(s.epoch);
  if (signed_part && signed_part->term >= d->term)
    known = std::max(known, signed_part->opened);
  if (s.opened > known)
    report("epoch " + std::to_string(s.epoch) +
           " is opened beyond what its witness has countersigned");
}

// At any time, tokens billed and tokens that live hosts could still use must not exceed the tokens
// committed in the log, and those not the tokens bought. A violation is a possible overspend,
// detected before it happens.
void fleet_model::check_team(std::uint32_t team) {
  const name_index known = reference_.find_team(teams_[team]);
  const team_totals totals = reference_.totals(known);
  const expected_sums& t = expected_[team];
  if (totals.spent < 0 || totals.outstanding < 0 || totals.written_off < 0 || totals.pool() < 0)
    report("a sum of " + teams_[team].str() + " is negative");
  token_count outstanding = 0;
  token_count written_off = reference_.orphaned(known);
  reference_.for_each_of(known, [&](const delegation& d) {
    outstanding += d.outstanding();
    written_off += d.written_off();
  });
  if (outstanding != totals.outstanding || written_off != totals.written_off)
    report("the epochs of " + teams_[team].str() + " do not add up to its sums");
  token_count usable = 0;
  for (const fake_host& h : hosts_) {
    const name_index index = h.budgets->state().find_team(teams_[team]);
    const account* const a = index == no_name ? nullptr : h.budgets->holder().find(index);
    if (a == nullptr)
      continue;
    for (const slice& s : a->slices) {
      check_slice(s);
      if (s.state != slice_state::closing)
        usable += s.free() + s.reserved;
    }
  }
  const token_count used = t.billed + t.unbilled;
  if (std::max(t.billed + usable, used) <= totals.committed())
    return;
  found_.overspend_tokens = std::max(found_.overspend_tokens, used - totals.bought());
  report(teams_[team].str() + ": billed " + std::to_string(t.billed) + ", consumed unbilled " +
         std::to_string(t.unbilled) + " and usable " + std::to_string(usable) +
         " are more than the committed " + std::to_string(totals.committed()));
}

void fleet_model::check() {
  for (std::uint32_t team = 0; team < options_.teams; ++team)
    check_team(team);
}

void fleet_model::heal_and_check() {
  constexpr int rounds = 80;
  std::fill(cuts_.begin(), cuts_.end(), false);
  log_down_ = false;
  for (std::uint32_t i = 0; i < hosts_.size(); ++i) {
    hosts_[i].paused = false;
    hosts_[i].log_cut = false;
  }
  see_all_members();
  while (!late_messages_.empty())
    deliver_late(0);
  while (!late_appends_.empty())
    append_late(0);
  for (int i = 0; i < rounds; ++i)
    run_round();
  for (running_request& r : requests_) {
    if (!r.over && r.outcome == budget_outcome::pending && hosts_[r.host].id == r.entry) {
      ++found_.unresolved;
      report("request " + std::to_string(r.key) + " was never decided");
    }
    if (!r.over && r.outcome == budget_outcome::granted)
      end_request(r, r.bound / 2);
  }
  // Waits past the timeouts for lost entry hosts and idle slices, with rounds after each wait.
  for (int wait = 0; wait < 8; ++wait) {
    now_ += options_.ledger.orphan_wait + options_.ledger.settle_give_up;
    for (int i = 0; i < rounds / 8; ++i)
      run_round();
  }
  check();
  for (std::uint32_t team = 0; team < options_.teams; ++team) {
    const name_index known = reference_.find_team(teams_[team]);
    reference_.for_each_of(known, [&](const delegation& d) {
      if (d.state == delegation_state::live)
        report("epoch " + std::to_string(d.epoch) + " of " + teams_[team].str() +
               " is still live although no host uses it");
    });
  }
  const std::uint64_t digest = reference_.digest();
  for (const fake_host& h : hosts_)
    if (h.budgets->state().offset() != reference_.offset() || h.budgets->state().digest() != digest)
      report("host " + h.id.host.str() + " replayed the log to another state");
}

} // namespace sedgechute::ledger
