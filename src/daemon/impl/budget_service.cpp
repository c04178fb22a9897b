#include "daemon/impl/budget_service.hpp"

#include "wire/wire.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

using ledger::budget_decision;
using ledger::budget_outcome;

// Stands for a request whose earlier attempt was billed: it runs again for nothing.
constexpr std::uint64_t already_billed = 0;

} // namespace

budget_service::budget_service(const incarnation& self, const data_centre_id& here,
                               const ledger::ledger_options& options, const clock& time,
                               peer_links& peers, record_appender& log)
    : time_{time}, peers_{peers}, log_{log}, budgets_{self, here, options, self.number} {}

void budget_service::on_contract(std::uint64_t offset, const team_id& team, std::int64_t bought) {
  const std::scoped_lock lock{mutex_};
  budgets_.on_contract(time_.now(), offset, team, bought);
  publish();
}

void budget_service::on_record(std::uint64_t offset, const ledger::ledger_record& record) {
  const std::scoped_lock lock{mutex_};
  budgets_.on_record(time_.now(), offset, record);
  publish();
}

void budget_service::on_message(const incarnation& from, const incarnation& to,
                                const ledger::ledger_message& message) {
  const std::scoped_lock lock{mutex_};
  budgets_.on_message(time_.now(), from, to, message);
  publish();
}

void budget_service::on_view(const membership_view& view) {
  std::vector<ledger::live_host> hosts;
  for (const member& one : view.members)
    if (!one.leaving)
      hosts.push_back({one.who, one.data_centre});
  const std::scoped_lock lock{mutex_};
  budgets_.on_members(time_.now(), hosts);
  publish();
}

void budget_service::tick() {
  const std::scoped_lock lock{mutex_};
  budgets_.tick(time_.now());
  publish();
}

void budget_service::drain() {
  const std::scoped_lock lock{mutex_};
  budgets_.drain(time_.now());
  publish();
}

bool budget_service::drained() const {
  const std::scoped_lock lock{mutex_};
  return budgets_.drained();
}

std::int64_t budget_service::committed(const team_id& team) const {
  const auto known = describe(team);
  return known ? known->spent + known->outstanding + known->written_off : 0;
}

std::int64_t budget_service::written_off() const {
  const std::scoped_lock lock{mutex_};
  return budgets_.state().written_off();
}

std::optional<ledger::budget_description> budget_service::describe(const team_id& team) const {
  const std::scoped_lock lock{mutex_};
  return budgets_.describe(time_.now(), team);
}

void budget_service::release_written_off(const team_id& team, std::uint64_t epoch,
                                         std::int64_t tokens, ledger::release_proof proof,
                                         const std::string& statement) {
  const std::scoped_lock lock{mutex_};
  budgets_.release(time_.now(), team, epoch, tokens, proof, statement);
  publish();
}

ledger::cut_number budget_service::open_cut() {
  const std::scoped_lock lock{mutex_};
  return budgets_.open_cut();
}

std::optional<ledger::ledger_snapshot> budget_service::next_part(ledger::cut_number cut,
                                                                 std::size_t most_teams) {
  const std::scoped_lock lock{mutex_};
  return budgets_.next_part(cut, most_teams);
}

void budget_service::close_cut(ledger::cut_number cut) {
  const std::scoped_lock lock{mutex_};
  budgets_.close_cut(cut);
}

void budget_service::begin_restore() {
  const std::scoped_lock lock{mutex_};
  budgets_.begin_restore();
}

void budget_service::restore_part(const ledger::ledger_snapshot& part) {
  const std::scoped_lock lock{mutex_};
  budgets_.restore_part(time_.now(), part);
  publish();
}

void budget_service::finish_restore() {
  const std::scoped_lock lock{mutex_};
  budgets_.finish_restore(time_.now());
  publish();
}

token_reservation budget_service::reserve(const team_id& team, const std::string& key,
                                          std::uint64_t bound) {
  if (bound == 0)
    return {already_billed, team, 0};
  std::unique_lock lock{mutex_};
  budget_decision decision = budgets_.reserve(
      time_.now(), {team, request_id{key}, static_cast<std::int64_t>(bound), std::nullopt});
  if (decision.outcome == budget_outcome::pending)
    decision = wait_for(lock, decision.ticket);
  else
    publish();
  switch (decision.outcome) {
  case budget_outcome::granted:
    return {decision.ticket, team, static_cast<std::uint64_t>(decision.bound)};
  case budget_outcome::already_settled:
    return {already_billed, team, bound};
  case budget_outcome::exhausted:
    throw error{error_kind::budget_exhausted, "", "the request may cost " + std::to_string(bound)};
  case budget_outcome::unreachable:
  case budget_outcome::pending:
    break;
  }
  throw error{error_kind::budget_unreachable, "", ""};
}

budget_decision budget_service::wait_for(std::unique_lock<ordered_mutex>& lock,
                                         ledger::ticket_number ticket) {
  waiter self;
  waiting_.emplace(ticket, &self);
  publish();
  self.decided.wait(lock, [&] { return self.decision.has_value(); });
  waiting_.erase(ticket);
  return *self.decision;
}

void budget_service::settle(const token_reservation& reservation, std::uint64_t used) {
  if (reservation.number == already_billed)
    return;
  const std::scoped_lock lock{mutex_};
  // Nothing to bill means that another attempt under the key may still run and be billed.
  if (used == 0)
    budgets_.withdraw(time_.now(), reservation.number);
  else
    budgets_.settle(time_.now(), reservation.number, static_cast<std::int64_t>(used));
  publish();
}

std::uint64_t budget_service::remaining(const team_id& team) {
  const auto known = describe(team);
  if (!known)
    return 0;
  const std::int64_t left = known->bought - known->spent - known->written_off;
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, left));
}

void budget_service::publish() {
  ledger::budget_output output = budgets_.take_output();
  for (const ledger::outgoing_message& message : output.messages) {
    wire::envelope envelope;
    *envelope.mutable_ledger() = to_wire(message.body);
    peers_.send(message.to, std::move(envelope));
  }
  for (const ledger::ledger_record& record : output.records) {
    wire::log_record stored;
    *stored.mutable_ledger() = to_wire(record);
    log_.append(stored.SerializeAsString());
  }
  for (const budget_decision& decision : output.decisions) {
    const auto found = waiting_.find(decision.ticket);
    if (found == waiting_.end())
      continue;
    found->second->decision = decision;
    found->second->decided.notify_all();
  }
}

} // namespace sedgechute
