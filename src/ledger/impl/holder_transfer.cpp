// Escrow transfers between holders: debited first, then sent until acknowledged. They need neither
// the log nor a clock; the tokens of a lost message are unusable until it is repeated.

#include "ledger/impl/holder_role.hpp"

#include <algorithm>

namespace sedgechute::ledger {

token_count holder_role::shortage(account& a) const {
  const slice* const s = a.live_slice();
  return s == nullptr ? 0 : a.waiting_tokens() - s->free() - unopened(*s);
}

void holder_role::request_from_peers(time_ms now, account& a) {
  const token_count missing = shortage(a);
  if (missing <= 0 || must_return_tokens(a))
    return;
  const time_ms resend = context_.options().message_resend;
  const bool log_helps = context_.state.totals(a.team).pool() > 0 || a.grant_sent;
  if (log_helps && !(a.grant_sent && now - a.grant_sent_at > resend * 2))
    return;
  token_request_round& round = a.round;
  const bool over =
      round.complete() && (round.tokens_received || now - round.started >= resend * 2);
  if (round.number == 0 || over) {
    round = {round.number + 1, now, now, {}, false};
    context_.state.for_each_of(a.team, [&](const delegation& d) {
      if (d.holder != context_.self_index() && d.state == delegation_state::live &&
          context_.live.is_live(d.holder))
        round.holders.push_back({d.epoch, false});
    });
  } else if (round.complete() || now - round.sent < resend) {
    return;
  }
  round.sent = now;
  const token_request request{context_.state.team_name(a.team), round.number, a.live_slice()->epoch,
                              missing + chunk_size(a)};
  for (token_request_round::queried_holder& asked : round.holders) {
    if (asked.answered)
      continue;
    const delegation* const d = context_.state.find(asked.epoch);
    // A lost holder cannot answer; verdict_for treats its tokens as out of reach.
    if (d == nullptr || !context_.live.is_live(d->holder))
      asked.answered = true;
    else
      context_.send(d->holder, request);
  }
}

void holder_role::on_message(time_ms now, name_index from, const token_request& message) {
  const name_index team = context_.state.find_team(message.team);
  const auto found = accounts_.find(team);
  if (found == accounts_.end()) {
    context_.send(from, token_refusal{message.team, message.round, 0, 0});
    return;
  }
  account& a = *found->second;
  std::erase_if(a.token_requests,
                [&](const pending_token_request& w) { return w.to == message.to; });
  const time_ms deadline = now + context_.options().message_resend * 4;
  a.token_requests.push_back({from, message.round, message.to, message.tokens, deadline});
  advance(now, a);
}

void holder_role::serve_token_requests(time_ms now, account& a) {
  for (auto next = a.token_requests.begin(); next != a.token_requests.end();) {
    slice* const s = a.live_slice();
    bool served = s != nullptr && serve_token_request(now, a, *s, *next);
    if (s == nullptr) {
      context_.send(next->from,
                    token_refusal{context_.state.team_name(a.team), next->round, 0, a.reserved()});
      served = true;
    }
    next = served ? a.token_requests.erase(next) : std::next(next);
  }
}

// Only tokens whose receipt is in the log are sent on. If tokens were passed on earlier, the next
// receiver's report would claim more of this epoch than the log shows, and two holders that sent
// each other tokens could cause each other's reports to be rejected permanently.
token_count holder_role::sendable(const slice& s) {
  token_count unreported = 0;
  for (const transfer_receipt& receipt : s.receipts)
    unreported += receipt.tokens;
  return std::max<token_count>(s.free() - unreported, 0);
}

// Two holders that are both short of tokens must not pass the same tokens back and forth: the one
// with the older epoch keeps its tokens.
bool holder_role::serve_token_request(time_ms now, account& a, slice& s,
                                      const pending_token_request& request) {
  const bool needed_here = !a.waiting.empty() && s.epoch < request.to;
  const token_count spare = needed_here ? 0 : sendable(s);
  const bool more_soon = unopened(s) > 0 || s.free() > sendable(s);
  if (!needed_here && spare < request.tokens && more_soon && now < request.deadline)
    return false;
  const token_count given = std::min(spare, request.tokens);
  if (given > 0)
    transfer(now, a, s, request, given);
  else
    context_.send(request.from,
                  token_refusal{context_.state.team_name(a.team), request.round, s.epoch, s.spent});
  return true;
}

void holder_role::transfer(time_ms now, account& a, slice& s, const pending_token_request& request,
                           token_count tokens) {
  if (!context_.is_injected(mutation::send_without_debit))
    s.sent += tokens;
  const std::uint32_t sequence = ++s.next_transfer;
  s.transfers.push_back({sequence, request.to, request.from, tokens, now});
  context_.send(request.from, token_transfer{context_.state.team_name(a.team), s.epoch, sequence,
                                             request.to, tokens});
}

// Near exhaustion each holder would have only part of the tokens that a request needs. So when
// little is left, all of it is sent to the holder with the oldest epoch, the collector, and
// requests are redirected to it.
const delegation* holder_role::collector(account& a) const {
  const slice* const s = a.live_slice();
  const ledger_options& options = context_.options();
  const auto soon = static_cast<token_count>(
      a.team_rate * static_cast<double>(options.collect_span.count()) / 1000.0);
  if (s == nullptr || max_remaining(a) >= a.largest_bound * options.collect_requests + soon)
    return nullptr;
  const delegation* oldest = nullptr;
  context_.state.for_each_of(a.team, [&](const delegation& d) {
    if (d.state == delegation_state::live && context_.live.is_available(d.holder) &&
        (oldest == nullptr || d.epoch < oldest->epoch))
      oldest = &d;
  });
  return oldest == nullptr || oldest->epoch >= s->epoch ? nullptr : oldest;
}

void holder_role::send_to_collector(time_ms now, account& a, const delegation& to) {
  for (const waiting_attempt& w : a.waiting)
    context_.reply(w.attempt, {0, reserve_verdict::elsewhere, to.epoch, 0});
  a.waiting.clear();
  slice* const s = a.live_slice();
  const token_count free = sendable(*s);
  if (free > 0)
    transfer(now, a, *s, {to.holder, 0, to.epoch, free, now}, free);
}

void holder_role::resend_transfers(time_ms now, account& a) {
  for (slice& s : a.slices) {
    for (pending_transfer& t : s.transfers) {
      if (now - t.sent_at < context_.options().message_resend * 2)
        continue;
      t.sent_at = now;
      context_.send(t.to_host, token_transfer{context_.state.team_name(a.team), s.epoch, t.sequence,
                                              t.to, t.tokens});
    }
  }
}

// A transfer is repeated until acknowledged, so its id ensures that it is credited once. A transfer
// to an epoch that is over was not credited and never will be, so its sender may take it back.
void holder_role::on_message(time_ms now, name_index from, const token_transfer& message) {
  // An epoch is erased from the state only after each of its transfers was reported, so a transfer
  // from an erased epoch is a copy as well.
  const bool gone =
      message.from <= context_.state.offset() && context_.state.find(message.from) == nullptr;
  const bool repeated = gone || credited_transfers_.contains({message.from, message.sequence});
  if (repeated && !context_.is_injected(mutation::forget_transfer_ids)) {
    context_.send(from, transfer_ack{message.from, message.sequence});
    return;
  }
  const name_index team = context_.state.find_team(message.team);
  slice* const s = slice_of(team, message.to);
  if (s == nullptr || s->state == slice_state::closing) {
    // An epoch whose grant this host has not read yet is not over: declining would let the sender
    // take the tokens back, and a copy of the transfer could be credited after the grant is read.
    const bool over = message.to <= context_.state.offset();
    if (over || context_.is_injected(mutation::decline_early))
      context_.send(from, transfer_declined{message.from, message.sequence});
    return;
  }
  prune_credited_transfers();
  credited_transfers_.emplace(message.from, message.sequence);
  s->received += message.tokens;
  s->receipts.push_back({message.from, message.sequence, message.tokens});
  context_.send(from, transfer_ack{message.from, message.sequence});
  account& a = *accounts_.at(team);
  a.round.tokens_received = true;
  a.round.mark_answered(message.from);
  advance(now, a);
}

// Drops the ids of transfers from epochs that are no longer in the state.
void holder_role::prune_credited_transfers() {
  constexpr std::size_t enough = 1024;
  if (credited_transfers_.size() < enough)
    return;
  absl::erase_if(credited_transfers_, [&](const auto& id) {
    return id.first <= context_.state.offset() && context_.state.find(id.first) == nullptr;
  });
}

void holder_role::on_message(time_ms, name_index, const transfer_ack& message) {
  const delegation* const d = context_.state.find(message.from);
  slice* const s = d == nullptr ? nullptr : slice_of(d->team, message.from);
  if (s != nullptr)
    std::erase_if(s->transfers,
                  [&](const pending_transfer& t) { return t.sequence == message.sequence; });
}

void holder_role::on_message(time_ms now, name_index, const transfer_declined& message) {
  const delegation* const d = context_.state.find(message.from);
  slice* const s = d == nullptr ? nullptr : slice_of(d->team, message.from);
  if (s == nullptr || s->state == slice_state::closing)
    return;
  const auto found =
      std::find_if(s->transfers.begin(), s->transfers.end(),
                   [&](const pending_transfer& t) { return t.sequence == message.sequence; });
  if (found == s->transfers.end())
    return;
  s->sent -= found->tokens;
  s->transfers.erase(found);
  advance(now, *accounts_.at(d->team));
}

void holder_role::record_peer_spend(account& a, const token_refusal& message) {
  std::erase_if(a.peer_spends, [&](const peer_spend& t) {
    return t.epoch == message.epoch || context_.state.find(t.epoch) == nullptr;
  });
  if (message.epoch != 0)
    a.peer_spends.push_back({message.epoch, message.spent});
}

void holder_role::on_message(time_ms now, name_index from, const token_refusal& message) {
  const name_index team = context_.state.find_team(message.team);
  const auto found = accounts_.find(team);
  if (found == accounts_.end() || found->second->round.number != message.round)
    return;
  account& a = *found->second;
  epoch_number epoch = message.epoch;
  context_.state.for_each_of(team, [&](const delegation& d) {
    if (epoch == 0 && d.holder == from && d.state == delegation_state::live)
      epoch = d.epoch;
  });
  a.round.mark_answered(epoch);
  record_peer_spend(a, message);
  advance(now, a);
}

} // namespace sedgechute::ledger
