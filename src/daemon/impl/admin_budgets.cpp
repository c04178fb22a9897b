#include "daemon/impl/admin_api.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>

#include <algorithm>

namespace sedgechute {

namespace {

using Poco::JSON::Object;

Object describe(const ledger::budget_description& budget, std::uint64_t revision) {
  Object json;
  json.set("team", budget.team.str());
  json.set("revision", revision);
  json.set("offset", budget.offset);
  json.set("contract", budget.contract);
  json.set("bought", budget.bought);
  json.set("spent", budget.spent);
  json.set("reserved", budget.reserved_here);
  json.set("pool", budget.pool);
  json.set("outstanding", budget.outstanding);
  json.set("written_off", budget.written_off);
  if (budget.exhausted_in)
    json.set("exhausted_in_ms", budget.exhausted_in->count());
  Poco::JSON::Array slices;
  for (const ledger::slice_description& slice : budget.slices) {
    Object entry;
    entry.set("epoch", slice.epoch);
    entry.set("holder", slice.holder.host.str());
    entry.set("data_centre", slice.data_centre.str());
    entry.set("tokens", slice.delegated);
    entry.set("spent", slice.spent);
    entry.set("outstanding", slice.outstanding);
    entry.set("state", std::string{name_of(slice.state)});
    slices.add(entry);
  }
  json.set("delegations", slices);
  Poco::JSON::Array losses;
  for (const ledger::write_off_description& loss : budget.write_offs) {
    Object entry;
    entry.set("epoch", loss.epoch);
    entry.set("holder", loss.holder.host.str());
    entry.set("reason", std::string{name_of(loss.reason)});
    entry.set("tokens", loss.tokens);
    losses.add(entry);
  }
  json.set("write_offs", losses);
  return json;
}

ledger::budget_description known_budget(admin_context& host, const team_id& team) {
  const auto budget = host.budgets.describe(team);
  if (!budget)
    throw error{error_kind::key_unknown, team.str(), "no contract of this team is in force"};
  return *budget;
}

/// `budgets/{team}[/release]`
class budgets_api final : public admin_api {
 public:
  void handle(const admin_call& call, admin_context& host) const override {
    const team_id team{segment(call, 1)};
    if (call.method == "POST" && call.path.size() > 2 && call.path[2] == "release")
      return release(call, host, team);
    const auto revision = host.documents.revision_of(document_kind::contract, team.str());
    send_json(call, 200, describe(known_budget(host, team), revision));
  }

 private:
  // Tokens written off may have been used. They go back only on an operator's word that the holder
  // is destroyed, and never while the fleet still hears of that holder.
  static void release(const admin_call& call, admin_context& host, const team_id& team) {
    const Object::Ptr wanted = read_json(call, host.time);
    const auto epoch = wanted->optValue<Poco::UInt64>("epoch", 0);
    const auto reason = wanted->optValue<std::string>("reason", "");
    if (reason.empty())
      throw error{error_kind::invalid_parameter, "/reason", "say how the holder's end is known"};
    const ledger::budget_description budget = known_budget(host, team);
    std::int64_t tokens = 0;
    for (const ledger::write_off_description& loss : budget.write_offs) {
      if (loss.epoch != epoch)
        continue;
      refuse_if_alive(host, loss.holder);
      tokens += loss.tokens;
    }
    if (tokens == 0)
      throw error{error_kind::key_unknown, "/epoch", "nothing of this epoch is written off"};
    host.budgets.release_written_off(team, epoch, tokens, ledger::release_proof::holder_destroyed,
                                     call.operator_name + ": " + reason);
    Object body;
    body.set("epoch", epoch);
    body.set("tokens", tokens);
    send_json(call, 200, body);
  }

  static void refuse_if_alive(admin_context& host, const incarnation& holder) {
    const membership_view view = host.members();
    const bool alive = std::any_of(view.members.begin(), view.members.end(),
                                   [&](const member& one) { return one.who == holder; });
    if (alive)
      throw error{error_kind::publish_conflict, holder.host.str(), "the holder is alive"};
  }
};

const registry<admin_api>::entry registered{"budgets",
                                            [] { return std::make_unique<budgets_api>(); }};

} // namespace
} // namespace sedgechute
