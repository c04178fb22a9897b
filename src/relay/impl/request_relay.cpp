#include "relay/impl/request_relay.hpp"

#include "relay/impl/request_run.hpp"

namespace sedgechute {

request_relay::request_relay(parts joined, const relay_options& options)
    : parts_{std::move(joined)}, options_{options},
      connections_{parts_.time}, stop_{options.stop, parts_.time}, retries_{options.retries},
      admission_{parts_.pressure, options.pressure_retry, parts_.time}, memory_{options.memory} {
  for (const auto result : {forward_result::served, forward_result::refused,
                            forward_result::unreachable, forward_result::abandoned})
    parts_.figures.add(metric::forwarded, {name_of(result)}, 0);
  for (const auto result : {resume_result::known, resume_result::sole_build, resume_result::unknown,
                            resume_result::gone})
    parts_.figures.add(metric::stream_resumes, {name_of(result)}, 0);
  for (const auto decision :
       {silence_decision::runs_once, silence_decision::no_time, silence_decision::all_silent,
        silence_decision::others_back, silence_decision::none_heard, silence_decision::no_retry,
        silence_decision::no_endpoint, silence_decision::send_beside})
    parts_.figures.add(metric::silent_endpoints, {name_of(decision)}, 0);
  parts_.figures.add(metric::delayed_event_reads, {}, 0);
  for (const auto cause : {refusal_cause::overload, refusal_cause::open_requests,
                           refusal_cause::preparing, refusal_cause::memory})
    parts_.figures.add(metric::load_refusals, {name_of(cause), "", ""}, 0);
  for (const std::string_view result : {"first", "second", "none"})
    parts_.figures.add(metric::silent_sends, {result}, 0);
}

connection_action request_relay::serve(incoming_request& request) {
  request_run run{*this, request};
  return run.run();
}

// A refusal by the header alone saves the thread, the reservation of tokens and the log line, which
// cost many times more. Requests that `admit` rejects are accepted here: a thread answers them with
// the proper error.
request_relay::screening request_relay::screen(const request_head& head, bool shed,
                                               bool last_on_connection) {
  admitted_request admitted;
  try {
    admit(head, parts_.time.now(), parts_.dialect, parts_.config(), admitted);
  } catch (const error&) {
    return {};
  }
  const std::string_view team = admitted.team_name();
  const auto cause = screen_cause(admitted, shed);
  if (!cause) {
    if (!shed)
      admission_.note_accepted(admitted);
    return {.guard = preparing_.begin(team)};
  }
  constexpr std::string_view status = "503";
  parts_.figures.add(metric::requests, {team, admitted.on_route->name, status});
  note_refused(admitted, *cause);
  const bool ends = last_on_connection || *cause == refusal_cause::overload ||
                    (parts_.pressure.busy_for && parts_.pressure.busy_for());
  const error reason = full() && !ends
                           ? too_many_open()
                           : processor_used_up(admission_.retry_after(admitted, draw()));
  return {.taken = false,
          .refusal = refusal_text(parts_.dialect, reason, admitted.terms.id, ends),
          .ends_connection = ends};
}

// Callers that were refused together come back at different times.
std::string request_relay::refuse_for_memory(const request_head& head) {
  const auto least = static_cast<double>(options_.overload_retry_after.count());
  const error reason{error_kind::no_capacity, "host",
                     "the bodies of open requests take up the memory of this host",
                     time_ms{static_cast<std::int64_t>(least * (1 + draw()))}};
  admitted_request admitted;
  try {
    admit(head, parts_.time.now(), parts_.dialect, parts_.config(), admitted);
  } catch (const error& other) {
    return refusal_text(parts_.dialect, other, admitted.terms.id, true);
  }
  parts_.figures.add(metric::requests, {admitted.team_name(), admitted.on_route->name, "503"});
  note_refused(admitted, refusal_cause::memory);
  return refusal_text(parts_.dialect, reason, admitted.terms.id, true);
}

std::optional<refusal_cause> request_relay::screen_cause(const admitted_request& request,
                                                         bool shed) {
  if (shed && admission_.sheds(request))
    return refusal_cause::overload;
  if (full())
    return refusal_cause::open_requests;
  if (exceeds_share(preparing_.load(request.team_name()), options_.max_preparing))
    return refusal_cause::preparing;
  return std::nullopt;
}

void request_relay::note_refused(const admitted_request& request, refusal_cause cause) {
  parts_.figures.add(metric::load_refusals,
                     {name_of(cause), request.on_route->name, request.team_name()});
  if (const auto count = admission_.note_refused())
    parts_.log.write(severity::warning, "load_refused", {request.terms.id, request.team_name()},
                     {{log_field::path, request.on_route->name},
                      {log_field::kind, name_of(cause)},
                      {log_field::count, *count},
                      {log_field::rate, std::to_string(admission_.refused_fraction())}});
}

error request_relay::too_many_open() const {
  return {error_kind::no_capacity, "host",
          std::to_string(options_.max_open) + " requests are already open on this host",
          options_.overload_retry_after};
}

error request_relay::processor_used_up(time_ms retry_after) {
  return {error_kind::no_capacity, "host", "the processor is overloaded", retry_after};
}

void request_relay::set_hosts(std::vector<forward_target> hosts) {
  const std::scoped_lock lock{mutex_};
  hosts_.set_hosts(std::move(hosts));
}

bool request_relay::has_other_hosts() const {
  const std::scoped_lock lock{mutex_};
  return !hosts_.empty();
}

std::optional<forward_target>
request_relay::choose_host(const std::string& service, const forward_targets::predicate& allowed) {
  const std::scoped_lock lock{mutex_};
  return hosts_.choose(service, allowed, random_, parts_.time.now());
}

void request_relay::note_forwarded(const std::string& host, const std::string& service,
                                   forward_result result) {
  parts_.figures.add(metric::forwarded, {name_of(result)});
  const std::scoped_lock lock{mutex_};
  hosts_.note_result(host, service, result, parts_.time.now());
}

double request_relay::draw() {
  const std::scoped_lock lock{mutex_};
  return random_.unit();
}

void request_relay::note_request(bool turned_away) const {
  if (parts_.pressure.note_request)
    parts_.pressure.note_request(turned_away);
}

bool request_relay::has_retry(const std::string& service) {
  const std::size_t hosts = parts_.hosts();
  const std::scoped_lock lock{mutex_};
  return retries_.has_retry(service, hosts, parts_.time.now());
}

bool request_relay::may_retry(const std::string& service) {
  const std::size_t hosts = parts_.hosts();
  const std::scoped_lock lock{mutex_};
  return retries_.take_retry(service, hosts, parts_.time.now());
}

void request_relay::note_first_send(const std::string& service) {
  const std::scoped_lock lock{mutex_};
  retries_.note_request(service, parts_.time.now());
}

void request_relay::note_patience(const std::string& route, std::string_view team,
                                  time_ms patience) {
  const std::scoped_lock lock{mutex_};
  patience_.note(route, team, patience);
}

std::optional<time_ms> request_relay::longest_patience(const std::string& route,
                                                       std::string_view team) const {
  const std::scoped_lock lock{mutex_};
  return patience_.longest(route, team);
}

time_ms request_relay::event_delay(const route& on) const {
  const auto& grouping = parts_.pressure.grouping;
  return grouping ? sedgechute::event_delay(grouping(), {options_.event_latency, on.longest_pause})
                  : time_ms{};
}

void request_relay::note_length(const std::string& kind, time_ms length) {
  const std::scoped_lock lock{mutex_};
  lengths_.note(kind, length);
}

// Until some requests of a kind have ended, its duration is unknown and taken as 0, so that it is
// accepted.
run_forecast request_relay::forecast(const std::string& kind, time_ms most) const {
  constexpr std::size_t likely_percent = 90;
  const std::scoped_lock lock{mutex_};
  return {std::min(lengths_.within(kind, likely_percent).value_or(time_ms{0}), most), most};
}

std::string refusal_text(const wire_dialect& dialect, const error& reason,
                         const std::string& attempt, bool last_on_connection) {
  const error_answer& answer = answer_for(reason.kind());
  response_head head;
  head.status = dialect.refusal_status(reason.kind());
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
