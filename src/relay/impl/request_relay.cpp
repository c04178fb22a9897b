#include "relay/impl/request_relay.hpp"

#include "relay/impl/request_run.hpp"

namespace sedgechute {

request_relay::request_relay(parts joined, const relay_options& options)
    : parts_{std::move(joined)}, options_{options},
      connections_{parts_.time}, stop_{options.stop, parts_.time}, repeats_{options.retries} {}

after_answer request_relay::serve(incoming_request& request) {
  request_run run{*this, request};
  return run.go();
}

bool request_relay::may_repeat(const std::string& service) {
  const std::size_t hosts = parts_.hosts();
  const std::scoped_lock lock{mutex_};
  return repeats_.take_repeat(service, hosts, parts_.time.now());
}

void request_relay::note_first_send(const std::string& service) {
  const std::scoped_lock lock{mutex_};
  repeats_.note_request(service, parts_.time.now());
}

void request_relay::note_length(const std::string& kind, time_ms length) {
  const std::scoped_lock lock{mutex_};
  lengths_.note(kind, length);
}

// Before some requests of a kind have ended nothing is known of it, and it is taken.
run_forecast request_relay::forecast(const std::string& kind, time_ms most) const {
  constexpr std::size_t likely_percent = 90;
  const std::scoped_lock lock{mutex_};
  return {std::min(lengths_.within(kind, likely_percent).value_or(time_ms{0}), most), most};
}

std::string refusal_text(const wire_dialect& dialect, const error& reason,
                         const std::string& attempt, bool last_on_connection) {
  const error_answer& answer = answer_for(reason.kind());
  response_head head;
  head.status = answer.http_status;
  head.reason = name_of(reason.kind());
  std::optional<time_ms> retry_after = reason.retry_after();
  if (!retry_after && answer.retryable)
    retry_after = answer.retry_after;
  dialect.to_refusal(head.fields, attempt, retry_after);
  std::string body = "{\"error\":\"" + std::string{name_of(reason.kind())} + "\"}\n";
  head.fields.add("Content-Type", "application/json");
  head.fields.add("Content-Length", std::to_string(body.size()));
  if (last_on_connection)
    head.fields.add("Connection", "close");
  return to_text(head) + body;
}

} // namespace sedgechute
