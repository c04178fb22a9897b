#include "ledger/impl/host_context.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute::ledger {

host_context::host_context(incarnation self, const data_centre_id& data_centre,
                           const ledger_options& options, std::uint64_t seed)
    : state{options}, random{seed}, options_{options}, self_{std::move(self)},
      self_index_{state.intern_host(self_)}, data_centre_{state.intern_data_centre(data_centre)} {}

void host_context::send(name_index to, ledger_message body) {
  out.messages.push_back({state.host(to), std::move(body)});
}

void host_context::reply(const attempt_id& attempt, reserve_reply answer) {
  answer.ticket = attempt.ticket;
  if (attempt.entry == self_index_)
    local_replies.push_back(answer);
  else
    send(attempt.entry, answer);
}

record_id host_context::append(time_ms now, record_body body) {
  const record_id id = random_id();
  out.records.push_back({id, body});
  unconfirmed_.push_back({{id, std::move(body)}, now});
  return id;
}

record_id host_context::append_once(record_body body) {
  const record_id id = random_id();
  out.records.push_back({id, std::move(body)});
  return id;
}

bool host_context::confirm_append(const record_id& id) {
  const auto found = std::find_if(unconfirmed_.begin(), unconfirmed_.end(),
                                  [&](const unconfirmed_append& u) { return u.record.id == id; });
  if (found == unconfirmed_.end())
    return false;
  unconfirmed_.erase(found);
  return true;
}

void host_context::cancel_append(const record_id& id) {
  static_cast<void>(confirm_append(id));
}

// An append may take effect although its answer is lost, so a record is repeated until it is read
// back; replay drops the copies.
void host_context::resend_appends(time_ms now) {
  for (unconfirmed_append& u : unconfirmed_) {
    if (now - u.sent < options_.append_resend)
      continue;
    u.sent = now;
    out.records.push_back(u.record);
  }
}

record_id host_context::random_id() {
  const std::uint64_t high = random();
  return {high, random()};
}

} // namespace sedgechute::ledger
