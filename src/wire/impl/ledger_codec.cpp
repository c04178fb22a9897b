// Records and checkpoints of the budgets.

#include "wire/impl/ledger_codec.hpp"

#include "wire/impl/ledger_field.hpp"

#include <utility>

namespace sedgechute {

namespace {

using ledger_field::checker;
using ledger_field::set_host;
using ledger_field::to_wire_enum;

const checker check{error_kind::invalid_document, "ledger_record"};
const checker check_snapshot{error_kind::invalid_document, "ledger_snapshot"};

void put(const ledger::grant& in, wire::ledger_record& out) {
  wire::ledger_grant& body = *out.mutable_grant();
  body.set_team(in.team.str());
  body.set_extends(in.extends);
  set_host(*body.mutable_holder(), in.holder);
  if (!in.witness.host.empty())
    set_host(*body.mutable_witness(), in.witness);
  body.set_data_centre(in.data_centre.str());
  body.set_tokens(in.tokens);
  body.set_chunk(in.chunk);
  body.set_basis(in.basis);
}

void put(const ledger::report& in, wire::ledger_record& out) {
  wire::ledger_report& body = *out.mutable_report();
  for (const ledger::epoch_report& item : in.epochs) {
    wire::ledger_epoch_report& epoch = *body.add_epochs();
    epoch.set_epoch(item.epoch);
    epoch.set_version(item.version);
    epoch.set_spent(item.spent);
    epoch.set_returned(item.returned);
    epoch.set_lost(item.lost);
    epoch.set_sent(item.sent);
    epoch.set_closing(item.closing);
    for (const ledger::transfer_receipt& receipt : item.received) {
      wire::ledger_receipt& received = *epoch.add_received();
      received.set_from(receipt.from);
      received.set_sequence(receipt.sequence);
      received.set_tokens(receipt.tokens);
    }
  }
}

void put(const ledger::reclaim_batch& in, wire::ledger_record& out) {
  wire::ledger_reclaim_batch& body = *out.mutable_reclaim();
  for (const ledger::reclaim& item : in.epochs) {
    wire::ledger_reclaim& epoch = *body.add_epochs();
    epoch.set_epoch(item.epoch);
    epoch.set_term(item.term);
    epoch.set_opened(item.opened);
  }
}

void put(const ledger::abandon& in, wire::ledger_record& out) {
  out.mutable_abandon()->set_epoch(in.epoch);
}

void put(const ledger::replace_witness& in, wire::ledger_record& out) {
  wire::ledger_replace_witness& body = *out.mutable_replace_witness();
  body.set_epoch(in.epoch);
  body.set_term(in.term);
  if (!in.witness.host.empty())
    set_host(*body.mutable_witness(), in.witness);
  body.set_opened(in.opened);
}

void put(const ledger::release& in, wire::ledger_record& out) {
  wire::ledger_release& body = *out.mutable_release();
  body.set_team(in.team.str());
  body.set_epoch(in.epoch);
  body.set_tokens(in.tokens);
  body.set_proof(to_wire_enum<wire::ledger_release_proof>(in.proof));
  body.set_statement(in.statement);
  body.set_of(in.of);
  body.set_basis(in.basis);
}

ledger::grant get(const wire::ledger_grant& in) {
  ledger::grant out;
  out.team = team_id{check.name(in.team(), "team")};
  out.extends = in.extends();
  out.holder = check.host(in.holder(), "holder");
  if (in.has_witness())
    out.witness = check.host(in.witness(), "witness");
  out.data_centre = data_centre_id{check.name(in.data_centre(), "data_centre")};
  out.tokens = check.tokens(in.tokens(), "tokens");
  out.chunk = check.tokens(in.chunk(), "chunk");
  out.basis = in.basis();
  return out;
}

ledger::epoch_report get(const wire::ledger_epoch_report& in) {
  ledger::epoch_report out;
  out.epoch = in.epoch();
  out.version = in.version();
  out.spent = check.tokens(in.spent(), "spent");
  out.returned = check.tokens(in.returned(), "returned");
  out.lost = check.tokens(in.lost(), "lost");
  out.sent = check.tokens(in.sent(), "sent");
  out.closing = in.closing();
  for (const wire::ledger_receipt& receipt : in.received())
    out.received.push_back(
        {receipt.from(), receipt.sequence(), check.tokens(receipt.tokens(), "received")});
  return out;
}

ledger::report get(const wire::ledger_report& in) {
  ledger::report out;
  for (const wire::ledger_epoch_report& epoch : in.epochs())
    out.epochs.push_back(get(epoch));
  return out;
}

ledger::reclaim_batch get(const wire::ledger_reclaim_batch& in) {
  ledger::reclaim_batch out;
  for (const wire::ledger_reclaim& epoch : in.epochs())
    out.epochs.push_back({epoch.epoch(), epoch.term(), check.tokens(epoch.opened(), "opened")});
  return out;
}

ledger::replace_witness get(const wire::ledger_replace_witness& in) {
  ledger::replace_witness out;
  out.epoch = in.epoch();
  out.term = in.term();
  if (in.has_witness())
    out.witness = check.host(in.witness(), "witness");
  out.opened = check.tokens(in.opened(), "opened");
  return out;
}

ledger::release get(const wire::ledger_release& in) {
  constexpr std::size_t longest_statement = 4096;
  if (in.statement().size() > longest_statement)
    check.reject("statement", "longer than 4096 bytes");
  ledger::release out;
  out.team = team_id{check.name(in.team(), "team")};
  out.epoch = in.epoch();
  out.tokens = check.tokens(in.tokens(), "tokens");
  out.proof = check.enumerator<ledger::release_proof>(in.proof(), "proof");
  out.statement = in.statement();
  out.of = check.tokens(in.of(), "of");
  out.basis = in.basis();
  return out;
}

void put(const ledger::delegation& in, wire::ledger_delegation& out) {
  out.set_epoch(in.epoch);
  out.set_team(in.team);
  out.set_holder(in.holder);
  out.set_witness(in.witness == ledger::no_name ? 0 : in.witness + 1);
  out.set_data_centre(in.data_centre);
  out.set_state(static_cast<std::uint32_t>(in.state));
  out.set_reclaim_applied(in.reclaim_applied);
  out.set_term(in.term);
  out.set_version(in.version);
  out.set_granted(in.granted);
  out.set_opened(in.opened);
  out.set_received(in.received);
  out.set_spent(in.spent);
  out.set_returned(in.returned);
  out.set_lost(in.lost);
  out.set_sent(in.sent);
  out.set_moved(in.moved);
  out.set_gone(in.gone);
  out.set_moved_upto(in.moved_upto);
  for (const std::uint32_t sequence : in.moved_after)
    out.add_moved_after(sequence);
}

ledger::delegation get(const wire::ledger_delegation& in) {
  const checker& c = check_snapshot;
  ledger::delegation out;
  out.epoch = in.epoch();
  out.team = in.team();
  out.holder = in.holder();
  out.witness = in.witness() == 0 ? ledger::no_name : in.witness() - 1;
  out.data_centre = in.data_centre();
  out.state = c.enumerator<ledger::delegation_state>(static_cast<int>(in.state() & 0xffU) + 1,
                                                     "delegations.state");
  out.reclaim_applied = in.reclaim_applied();
  out.term = in.term();
  out.version = in.version();
  out.granted = c.tokens(in.granted(), "delegations.granted");
  out.opened = c.tokens(in.opened(), "delegations.opened");
  out.received = c.tokens(in.received(), "delegations.received");
  out.spent = c.tokens(in.spent(), "delegations.spent");
  out.returned = c.tokens(in.returned(), "delegations.returned");
  out.lost = c.tokens(in.lost(), "delegations.lost");
  out.sent = c.tokens(in.sent(), "delegations.sent");
  out.moved = c.tokens(in.moved(), "delegations.moved");
  out.gone = c.tokens(in.gone(), "delegations.gone");
  out.moved_upto = in.moved_upto();
  out.moved_after.assign(in.moved_after().begin(), in.moved_after().end());
  return out;
}

} // namespace

wire::ledger_record to_wire(const ledger::ledger_record& record) {
  wire::ledger_record out;
  out.mutable_id()->set_high(record.id.high);
  out.mutable_id()->set_low(record.id.low);
  std::visit([&](const auto& body) { put(body, out); }, record.body);
  return out;
}

ledger::ledger_record from_wire(const wire::ledger_record& record) {
  if (!record.has_id())
    check.reject("id", "missing");
  ledger::ledger_record out;
  out.id = {record.id().high(), record.id().low()};
  switch (record.body_case()) {
  case wire::ledger_record::kGrant:
    out.body = get(record.grant());
    return out;
  case wire::ledger_record::kReport:
    out.body = get(record.report());
    return out;
  case wire::ledger_record::kReclaim:
    out.body = get(record.reclaim());
    return out;
  case wire::ledger_record::kAbandon:
    out.body = ledger::abandon{record.abandon().epoch()};
    return out;
  case wire::ledger_record::kReplaceWitness:
    out.body = get(record.replace_witness());
    return out;
  case wire::ledger_record::kRelease:
    out.body = get(record.release());
    return out;
  case wire::ledger_record::BODY_NOT_SET:
    break;
  }
  check.reject("body", "missing or of a kind that this release does not know");
}

wire::ledger_snapshot to_wire(const ledger::ledger_snapshot& snapshot) {
  wire::ledger_snapshot out;
  out.set_offset(snapshot.offset);
  out.set_digest(snapshot.digest);
  for (const ledger::ledger_snapshot::team_row& row : snapshot.teams) {
    out.add_team(row.team.str());
    out.add_contract(row.contract);
    out.add_spent(row.spent);
    out.add_orphaned(row.orphaned);
  }
  for (const incarnation& host : snapshot.hosts)
    set_host(*out.add_hosts(), host);
  for (const data_centre_id& data_centre : snapshot.data_centres)
    out.add_data_centres(data_centre.str());
  for (const ledger::delegation& d : snapshot.delegations)
    put(d, *out.add_delegations());
  for (const ledger::ledger_snapshot::recent_id& recent : snapshot.recent) {
    out.add_recent_offset(recent.offset);
    out.add_recent_high(recent.id.high);
    out.add_recent_low(recent.id.low);
  }
  return out;
}

ledger::ledger_snapshot from_wire(const wire::ledger_snapshot& snapshot) {
  const checker& c = check_snapshot;
  const int teams = snapshot.team_size();
  if (snapshot.contract_size() != teams || snapshot.spent_size() != teams ||
      snapshot.orphaned_size() != teams)
    c.reject("team", "columns differ in length");
  const int recent = snapshot.recent_offset_size();
  if (snapshot.recent_high_size() != recent || snapshot.recent_low_size() != recent)
    c.reject("recent", "columns differ in length");
  ledger::ledger_snapshot out;
  out.offset = snapshot.offset();
  out.digest = snapshot.digest();
  out.teams.reserve(static_cast<std::size_t>(teams));
  for (int i = 0; i < teams; ++i)
    out.teams.push_back(
        {team_id{c.name(snapshot.team(i), "team")}, c.tokens(snapshot.contract(i), "contract"),
         c.tokens(snapshot.spent(i), "spent"), c.tokens(snapshot.orphaned(i), "orphaned")});
  for (const wire::ledger_host& host : snapshot.hosts())
    out.hosts.push_back(c.host(host, "hosts"));
  for (const std::string& data_centre : snapshot.data_centres())
    out.data_centres.emplace_back(c.name(data_centre, "data_centres"));
  for (const wire::ledger_delegation& d : snapshot.delegations())
    out.delegations.push_back(get(d));
  for (int i = 0; i < recent; ++i)
    out.recent.push_back(
        {snapshot.recent_offset(i), {snapshot.recent_high(i), snapshot.recent_low(i)}});
  return out;
}

} // namespace sedgechute
