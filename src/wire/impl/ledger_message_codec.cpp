// Messages between budget hosts.

#include "wire/impl/ledger_field.hpp"

namespace sedgechute {

namespace {

using ledger_field::checker;
using ledger_field::to_wire_enum;

const checker check{error_kind::malformed_request, "ledger_message"};

void put(const ledger::open_chunk& in, wire::ledger_message& out) {
  wire::ledger_open_chunk& body = *out.mutable_open_chunk();
  body.set_epoch(in.epoch);
  body.set_term(in.term);
  body.set_upto(in.upto);
}

void put(const ledger::chunk_opened& in, wire::ledger_message& out) {
  wire::ledger_chunk_opened& body = *out.mutable_chunk_opened();
  body.set_epoch(in.epoch);
  body.set_term(in.term);
  body.set_upto(in.upto);
}

void put(const ledger::chunk_refused& in, wire::ledger_message& out) {
  wire::ledger_chunk_refused& body = *out.mutable_chunk_refused();
  body.set_epoch(in.epoch);
  body.set_term(in.term);
}

void put(const ledger::reserve_request& in, wire::ledger_message& out) {
  wire::ledger_reserve_request& body = *out.mutable_reserve_request();
  body.set_ticket(in.ticket);
  body.set_team(in.team.str());
  body.set_key(in.key.str());
  body.set_bound(in.bound);
  body.set_wait_ms(in.wait.count());
}

void put(const ledger::reserve_reply& in, wire::ledger_message& out) {
  wire::ledger_reserve_reply& body = *out.mutable_reserve_reply();
  body.set_ticket(in.ticket);
  body.set_verdict(to_wire_enum<wire::ledger_reserve_verdict>(in.verdict));
  body.set_epoch(in.epoch);
  body.set_bound(in.bound);
}

void put(const ledger::settle_request& in, wire::ledger_message& out) {
  wire::ledger_settle_request& body = *out.mutable_settle_request();
  body.set_ticket(in.ticket);
  body.set_team(in.team.str());
  body.set_key(in.key.str());
  body.set_kind(to_wire_enum<wire::ledger_settle_kind>(in.kind));
  body.set_tokens(in.tokens);
}

void put(const ledger::settle_reply& in, wire::ledger_message& out) {
  out.mutable_settle_reply()->set_ticket(in.ticket);
}

void put(const ledger::reservation_probe& in, wire::ledger_message& out) {
  wire::ledger_reservation_probe& body = *out.mutable_reservation_probe();
  body.set_ticket(in.ticket);
  body.set_team(in.team.str());
  body.set_key(in.key.str());
}

void put(const ledger::token_request& in, wire::ledger_message& out) {
  wire::ledger_token_request& body = *out.mutable_token_request();
  body.set_team(in.team.str());
  body.set_round(in.round);
  body.set_to(in.to);
  body.set_tokens(in.tokens);
}

void put(const ledger::token_transfer& in, wire::ledger_message& out) {
  wire::ledger_token_transfer& body = *out.mutable_token_transfer();
  body.set_team(in.team.str());
  body.set_from(in.from);
  body.set_sequence(in.sequence);
  body.set_to(in.to);
  body.set_tokens(in.tokens);
}

void put(const ledger::transfer_ack& in, wire::ledger_message& out) {
  wire::ledger_transfer_ack& body = *out.mutable_transfer_ack();
  body.set_from(in.from);
  body.set_sequence(in.sequence);
}

void put(const ledger::transfer_declined& in, wire::ledger_message& out) {
  wire::ledger_transfer_declined& body = *out.mutable_transfer_declined();
  body.set_from(in.from);
  body.set_sequence(in.sequence);
}

void put(const ledger::token_refusal& in, wire::ledger_message& out) {
  wire::ledger_token_refusal& body = *out.mutable_token_refusal();
  body.set_team(in.team.str());
  body.set_round(in.round);
  body.set_epoch(in.epoch);
  body.set_spent(in.spent);
}

void put(const ledger::hold_budget& in, wire::ledger_message& out) {
  out.mutable_hold_budget()->set_team(in.team.str());
}

team_id team_of(const std::string& text) {
  return team_id{check.name(text, "team")};
}

request_id key_of(const std::string& text) {
  return request_id{check.name(text, "key")};
}

time_ms wait_of(std::int64_t wait_ms) {
  constexpr std::int64_t longest_ms = 3600000;
  if (wait_ms < 0 || wait_ms > longest_ms)
    check.reject("wait_ms", "not a time to wait");
  return time_ms{wait_ms};
}

ledger::ledger_message get(const wire::ledger_reserve_request& in) {
  return ledger::reserve_request{in.ticket(), team_of(in.team()), key_of(in.key()),
                                 check.tokens(in.bound(), "bound"), wait_of(in.wait_ms())};
}

ledger::ledger_message get(const wire::ledger_reserve_reply& in) {
  return ledger::reserve_reply{in.ticket(),
                               check.enumerator<ledger::reserve_verdict>(in.verdict(), "verdict"),
                               in.epoch(), check.tokens(in.bound(), "bound")};
}

ledger::ledger_message get(const wire::ledger_settle_request& in) {
  return ledger::settle_request{in.ticket(), team_of(in.team()), key_of(in.key()),
                                check.enumerator<ledger::settle_kind>(in.kind(), "kind"),
                                check.tokens(in.tokens(), "tokens")};
}

} // namespace

wire::ledger_message to_wire(const ledger::ledger_message& message) {
  wire::ledger_message out;
  std::visit([&](const auto& body) { put(body, out); }, message);
  return out;
}

ledger::ledger_message from_wire(const wire::ledger_message& message) {
  switch (message.body_case()) {
  case wire::ledger_message::kOpenChunk: {
    const wire::ledger_open_chunk& in = message.open_chunk();
    return ledger::open_chunk{in.epoch(), in.term(), check.tokens(in.upto(), "upto")};
  }
  case wire::ledger_message::kChunkOpened: {
    const wire::ledger_chunk_opened& in = message.chunk_opened();
    return ledger::chunk_opened{in.epoch(), in.term(), check.tokens(in.upto(), "upto")};
  }
  case wire::ledger_message::kChunkRefused: {
    const wire::ledger_chunk_refused& in = message.chunk_refused();
    return ledger::chunk_refused{in.epoch(), in.term()};
  }
  case wire::ledger_message::kReserveRequest:
    return get(message.reserve_request());
  case wire::ledger_message::kReserveReply:
    return get(message.reserve_reply());
  case wire::ledger_message::kSettleRequest:
    return get(message.settle_request());
  case wire::ledger_message::kSettleReply:
    return ledger::settle_reply{message.settle_reply().ticket()};
  case wire::ledger_message::kReservationProbe: {
    const wire::ledger_reservation_probe& in = message.reservation_probe();
    return ledger::reservation_probe{in.ticket(), team_of(in.team()), key_of(in.key())};
  }
  case wire::ledger_message::kTokenRequest: {
    const wire::ledger_token_request& in = message.token_request();
    return ledger::token_request{team_of(in.team()), in.round(), in.to(),
                                 check.tokens(in.tokens(), "tokens")};
  }
  case wire::ledger_message::kTokenTransfer: {
    const wire::ledger_token_transfer& in = message.token_transfer();
    return ledger::token_transfer{team_of(in.team()), in.from(), in.sequence(), in.to(),
                                  check.tokens(in.tokens(), "tokens")};
  }
  case wire::ledger_message::kTransferAck:
    return ledger::transfer_ack{message.transfer_ack().from(), message.transfer_ack().sequence()};
  case wire::ledger_message::kTransferDeclined:
    return ledger::transfer_declined{message.transfer_declined().from(),
                                     message.transfer_declined().sequence()};
  case wire::ledger_message::kTokenRefusal: {
    const wire::ledger_token_refusal& in = message.token_refusal();
    return ledger::token_refusal{team_of(in.team()), in.round(), in.epoch(),
                                 check.tokens(in.spent(), "spent")};
  }
  case wire::ledger_message::kHoldBudget:
    return ledger::hold_budget{team_of(message.hold_budget().team())};
  case wire::ledger_message::BODY_NOT_SET:
    break;
  }
  check.reject("body", "missing or of a kind that this release does not know");
}

} // namespace sedgechute
