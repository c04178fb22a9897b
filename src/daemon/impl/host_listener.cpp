#include "daemon/impl/host_listener.hpp"

#include "daemon/impl/burn_rows.hpp"
#include "wire/wire.hpp"

namespace sedgechute {

namespace {

constexpr int most_states_sent = 4;

} // namespace

void host_listener::on_envelope(const wire::envelope& message) {
  // A message meant for an earlier life of this host speaks of what that life held.
  if (message.to_number() != self_.number)
    return;
  const incarnation from{host_id{message.from_host()}, message.from_number()};
  try {
    hand_over(message, from);
  } catch (const error& failure) {
    to_.lines.write(severity::warning, "peer_message_dropped", {},
                    {{log_field::peer, from.host.str()}, {log_field::reason, failure.what()}});
  }
}

void host_listener::on_impostor(const std::string& claimed) {
  to_.numbers.add(metric::peer_messages_refused, {"impostor"});
  to_.lines.write(severity::warning, "peer_impostor", {}, {{log_field::peer, claimed}});
}

void host_listener::hand_over(const wire::envelope& message, const incarnation& from) {
  switch (message.body_case()) {
  case wire::envelope::kAppend:
    return to_.log.append_for_peer(
        from, {message.append().records().begin(), message.append().records().end()});
  case wire::envelope::kAppendFailed:
    return to_.log.on_append_failed(from);
  case wire::envelope::kLedger:
    return to_.budgets.on_message(from, self_, from_wire(message.ledger()));
  case wire::envelope::kClaims:
    return to_.claims.on_messages(from, from_wire(message.claims(), from, self_));
  case wire::envelope::kRouting:
    return to_.shares.on_message(from_wire(message.routing()));
  case wire::envelope::kLoads:
    return to_.loads.on_peer_loads(message.loads());
  case wire::envelope::BODY_NOT_SET:
    return;
  }
}

wire::records_reply host_listener::records_after(std::uint64_t after, std::size_t most) {
  return to_.state.records_after(after, most);
}

// Each cut keeps what changes while it is read, so a slow reader costs memory here. Many hosts that
// start at once ask others instead.
bool host_listener::state(const std::function<bool(std::string)>& send) {
  const bool few = ++sending_state_ <= most_states_sent;
  bool whole = false;
  if (few && to_.state.position() != 0 && !to_.state.incomplete()) {
    try {
      const auto cut = to_.state.cut();
      bool sent = true;
      while (sent && !cut->finished())
        sent = send(*cut->next());
      whole = sent;
    } catch (const error&) {
      whole = false; // this host went to another state meanwhile
    }
  }
  --sending_state_;
  return whole;
}

wire::burn_reply host_listener::burn() {
  return to_wire(to_.burn.rows(wall_time()));
}

std::shared_ptr<answer_record> host_listener::answer(const team_id& team, const std::string& key) {
  return to_.answers.find(team, key);
}

} // namespace sedgechute
