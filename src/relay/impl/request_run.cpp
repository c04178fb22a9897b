#include "relay/impl/request_run.hpp"

#include "relay/impl/forwarded_request.hpp"
#include "relay/impl/request_content.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// Failed connects to endpoints per request. Where other hosts may reach the endpoints, a caller
// waits for fewer.
constexpr int max_unreachable = 3;
constexpr int max_unreachable_before_forward = 2;

forward_result result_of(send_outcome end) noexcept {
  switch (end) {
  case send_outcome::not_run:
  case send_outcome::withheld:
    return forward_result::refused;
  case send_outcome::unreachable:
  case send_outcome::silent:
  case send_outcome::failed:
  case send_outcome::stalled:
  case send_outcome::timed_out:
    return forward_result::unreachable;
  case send_outcome::superseded:
  case send_outcome::caller_left:
  case send_outcome::host_stopped:
    return forward_result::abandoned;
  case send_outcome::answered:
  case send_outcome::own_error:
    break;
  }
  return forward_result::served;
}

} // namespace

request_run::request_run(request_relay& relay, incoming_request& in)
    : relay_{relay}, in_{in}, watch_{in.caller.descriptor(), relay.stop_.cut_descriptor()},
      answer_{in.caller, relay.stop_}, records_{relay.parts_.log, relay.parts_.figures,
                                                relay.parts_.time} {
  ++relay_.open_;
  relay_.forwarded_open_ += in_.forwarded ? 1 : 0;
}

request_run::~request_run() {
  if (reserved_ > 0)
    relay_.parts_.budgets.settle(admitted_.team->name.str(), reserved_, used());
  relay_.forwarded_open_ -= in_.forwarded ? 1 : 0;
  --relay_.open_;
}

connection_action request_run::run() {
  try {
    check_capacity();
    const config_ptr in_force = relay_.parts_.config();
    check_version(in_force);
    admit(in_.head, in_.received, relay_.parts_.dialect, in_force, admitted_);
    if (in_.forwarded)
      admitted_.deadline = std::min(admitted_.deadline, in_.received + in_.forwarded->time_left);
    in_.preparing.assign_team(admitted_.team_name());
    relay_.note_patience(admitted_);
    admitted_.content = content_of(in_.head, in_.body, admitted_.team_name());
    if (admitted_.terms.generation)
      admitted_.parts = shared_parts(*admitted_.terms.generation, admitted_.service);
    check_content();
    check_time_left();
    check_overload();
    if (may_forward() &&
        relay_.parts_.endpoints.paths_to(admitted_.service) == endpoint_directory::paths::none)
      return end_forwarded(forward());
    find_build();
    if (build_ && may_forward() &&
        relay_.parts_.endpoints.paths_to(admitted_.service, build_) ==
            endpoint_directory::paths::none)
      return end_forwarded(forward());
    reserved_ =
        reserve_tokens(relay_.parts_.budgets, admitted_, relay_.options_.budget_retry_after);
    return run_sends();
  } catch (const error& reason) {
    return refuse(reason);
  }
}

void request_run::check_capacity() const {
  if (relay_.open_ > relay_.options_.max_open)
    throw relay_.too_many_open();
  if (in_.forwarded && relay_.forwarded_open_ > relay_.options_.max_forwarded)
    throw error{error_kind::no_capacity, "host", "too many forwarded requests are open",
                relay_.options_.overload_retry_after};
}

// A request that was handled by another version than the one in force at the host that the caller
// has chosen would show that host's callers a change too early or too late.
void request_run::check_version(const config_ptr& in_force) const {
  if (in_.forwarded && in_force && in_force->version != in_.forwarded->version)
    throw error{error_kind::no_capacity, "host",
                "has configuration version " + std::to_string(in_force->version)};
}

// Refuses early, before the request costs more. Once the balancer has seen that the host is busy,
// it sends the caller's next connection to another one.
void request_run::check_overload() {
  request_admission& admission = relay_.admission_;
  if (in_.checked.counted)
    return;
  if (in_.checked.screened || !relay_.may_shed()) {
    admission.note_accepted(admitted_);
    return;
  }
  if (!relay_.sheds(admitted_))
    return;
  last_on_connection_ = true;
  relay_.note_refused(admitted_, refusal_cause::overload);
  throw request_relay::processor_used_up(admission.is_selective(admitted_.config)
                                             ? admission.retry_after(admitted_, relay_.draw())
                                             : relay_.options_.pressure_retry.soon);
}

std::optional<content_refusal> request_run::crash_refusal() {
  const auto refusal = relay_.parts_.contents.refusal(admitted_.content, admitted_.parts, now());
  if (refusal && refusal->part && begins_trial())
    return std::nullopt;
  return refusal;
}

bool request_run::begins_trial() {
  if (possible_runs_ > 0)
    return false;
  if (!on_trial_) {
    on_trial_ = relay_.parts_.contents.begin_trial(admitted_.content, admitted_.parts, now());
    if (on_trial_)
      relay_.parts_.figures.add(metric::part_trials, {});
  }
  return on_trial_;
}

void request_run::check_content() {
  const auto refusal = crash_refusal();
  if (refusal)
    throw error{refusal->quarantined ? error_kind::quarantined : error_kind::no_capacity,
                refusal->part ? "part " + content_text(*refusal->part)
                              : "content " + content_text(admitted_.content),
                "the endpoints that ran it crashed", refusal->remaining};
}

// Requests keep arriving on persistent connections until the process exits.
void request_run::check_time_left() const {
  if (!relay_.stop_.begun())
    return;
  const run_forecast run = relay_.forecast(admitted_.on_route->name, admitted_.deadline - now());
  if (!relay_.stop_.may_take(run))
    throw error{error_kind::stopping, "host",
                "the rest of the grace period is too short for a request of up to " +
                    std::to_string(run.surely.count()) + " ms",
                relay_.options_.stop_retry_after};
}

void request_run::find_build() {
  if (admitted_.on_route->kind != request_kind::stream || !admitted_.terms.last_event)
    return;
  const time_ms began = now();
  const stream_build_port& builds = relay_.parts_.builds;
  stream_build recorded;
  if (admitted_.terms.resumes && builds.find)
    recorded = builds.find(stream_key_of(admitted_.team_name(), *admitted_.terms.resumes));
  const resume_decision made = decide_resume(
      recorded, [this] { return find_sole_build(); },
      [this](build_hash build) { return is_served(build); });
  relay_.parts_.figures.add(metric::stream_resumes, {name_of(made.result)});
  relay_.parts_.log.write(severity::info, "stream_resumed",
                          {admitted_.terms.id, admitted_.team_name()},
                          {{log_field::kind, name_of(made.result)},
                           {log_field::service, admitted_.service},
                           {log_field::duration_ms, now() - began}});
  if (!made.build)
    throw error{error_kind::build_gone, admitted_.service,
                made.result == resume_result::gone
                    ? "no endpoint of the build that began the stream is left"
                    : "it is not known which build began the stream"};
  build_ = made.build;
}

// An endpoint of another build may have registered since the list was last read.
std::optional<build_hash> request_run::find_sole_build() const {
  const request_relay::parts& parts = relay_.parts_;
  const auto age =
      max_stream_age(*admitted_.on_route, admitted_.terms.patience,
                     relay_.longest_patience(admitted_.on_route->name, admitted_.team_name()));
  if (!age || admitted_.on_route->services.size() != 1)
    return std::nullopt;
  const time_ms since = in_.received - *age;
  const auto sole = parts.endpoints.sole_build(admitted_.service, since);
  if (!sole || !parts.builds.refresh_endpoints || !parts.builds.refresh_endpoints())
    return std::nullopt;
  return parts.endpoints.sole_build(admitted_.service, since);
}

bool request_run::is_served(build_hash build) {
  const auto service = relay_.parts_.endpoints.service_of(build);
  const auto& services = admitted_.on_route->services;
  if (!service || std::none_of(services.begin(), services.end(), [&](const weighted_service& one) {
        return one.service == *service;
      }))
    return false;
  admitted_.service = *service;
  return true;
}

const std::string& request_run::stream_origin() const noexcept {
  const request_terms& terms = admitted_.terms;
  return terms.last_event && terms.resumes ? *terms.resumes : terms.id;
}

// A stream that is taken up is recorded once more: some hosts that held its record may have
// stopped.
void request_run::note_begun(const placement& place) {
  if (!build_)
    build_ = place.build;
  const bool origin_known = !admitted_.terms.last_event || admitted_.terms.resumes;
  if (!build_ || !origin_known || stream_origin().empty() || !relay_.parts_.builds.record)
    return;
  relay_.parts_.builds.record({stream_key_of(admitted_.team_name(), stream_origin()),
                               {stream_build::state::known, *build_},
                               admitted_.deadline - now() + taken_up_after_deadline});
}

// The request may have waited to be read or for tokens. On an overloaded host callers give up
// meanwhile, and sending their requests would only add load.
connection_action request_run::run_sends() {
  send_outcome end = send_outcome::not_run;
  do {
    if (watch_.has_left())
      return give_up(send_outcome::caller_left);
    if (possible_runs_ == 0) {
      check_content();
      check_time_left(); // earlier refusals and failed connects have taken time
    } else if (crash_refusal()) {
      break;
    }
    auto place = choose_placement();
    if (!place)
      break;
    end = send_once(*place);
    if (end == send_outcome::answered)
      return note_answered();
  } while (may_send_again(end));
  const bool not_sent = end == send_outcome::unreachable || end == send_outcome::silent ||
                        end == send_outcome::not_run || end == send_outcome::withheld;
  if (not_sent && may_forward())
    return end_forwarded(forward());
  return give_up(end);
}

bool request_run::may_forward() const {
  return !in_.forwarded && sent_to_.empty() && relay_.has_other_hosts();
}

bool request_run::lacks_paths() const {
  using paths = endpoint_directory::paths;
  const paths known = relay_.parts_.endpoints.paths_to(admitted_.service, build_);
  return may_forward() && (known == paths::none || known == paths::some);
}

// Hosts that cannot serve one build may serve the others.
std::string request_run::forward_subject() const {
  return build_ ? admitted_.service + "/" + std::to_string(*build_) : admitted_.service;
}

// The other host reserves the tokens and counts the sends, so that neither is counted twice. It
// does not forward the request again.
send_outcome request_run::forward() {
  if (reserved_ > 0)
    relay_.parts_.budgets.settle(admitted_.team->name.str(), std::exchange(reserved_, 0), 0);
  std::vector<std::string> tried;
  const std::string subject = forward_subject();
  const data_residency residency = admitted_.residency();
  const auto allowed = [&](const forward_target& host) {
    return std::find(tried.begin(), tried.end(), host.host) == tried.end() &&
           (host.region == relay_.parts_.region || allows(residency, host.region));
  };
  send_outcome end = send_outcome::unreachable;
  for (int i = 0; i < relay_.options_.max_hosts_tried; ++i) {
    if (watch_.has_left())
      return send_outcome::caller_left;
    if (now() >= admitted_.deadline)
      return send_outcome::timed_out;
    check_time_left();
    const auto to = relay_.choose_host(subject, allowed);
    if (!to)
      break;
    tried.push_back(to->host);
    end = forward_to(*to);
    relay_.note_forwarded(to->host, subject, result_of(end));
    if (end != send_outcome::not_run && end != send_outcome::unreachable &&
        end != send_outcome::silent)
      break;
  }
  return end;
}

// Each request has a connection of its own: one that another request left may be broken, and then
// it would be unknown whether this request has run.
send_outcome request_run::forward_to(const forward_target& to) {
  const time_ms began = now();
  connect_result reached =
      connect_to(to.address, relay_.options_.connect_timeout, relay_.parts_.time, &watch_);
  send_outcome end = send_outcome::host_stopped;
  if (!reached.link)
    end = connect_failure(reached.status);
  else if (relay_.stop_.taking())
    end = exchange_with_host(to, std::move(reached.link));
  relay_.parts_.log.write(severity::info, "request_forwarded",
                          {admitted_.terms.id, admitted_.team_name()},
                          {{log_field::peer, to.host},
                           {log_field::kind, name_of(end)},
                           {log_field::duration_ms, now() - began}});
  return end;
}

send_outcome request_run::exchange_with_host(const forward_target& to,
                                             std::unique_ptr<connection> link) {
  const request_relay::parts& parts = relay_.parts_;
  const relay_options& options = relay_.options_;
  placement place; // its results are ignored, as the directory knows no such endpoint
  place.endpoint = endpoint_id{to.host};
  reply_progress progress;
  endpoint_exchange one{
      {parts.dialect, parts.endpoints, parts.time, admitted_, place, watch_, answer_, progress},
      {.max_reply_head = options.max_reply_head,
       .max_buffered_body = options.max_buffered_body,
       .max_event = options.max_event,
       .max_stream = options.max_stream,
       .with_host = true},
      *link,
      admitted_.on_route->max_attempts};
  in_.preparing.end();
  ++possible_runs_;
  const send_outcome end = one.run(forwarded_request(
      in_.head, in_.body, {admitted_.config->version, admitted_.deadline - now()}));
  if (end == send_outcome::not_run) {
    --possible_runs_;
    refused_by_host_ = true;
  } else if (end != send_outcome::answered && end != send_outcome::own_error) {
    link->abort();
  }
  return end;
}

connection_action request_run::end_forwarded(send_outcome end) {
  if (end == send_outcome::answered)
    return note_answered();
  if (refused_by_host_ && possible_runs_ == 0 && end != send_outcome::caller_left &&
      end != send_outcome::host_stopped)
    return deliver_error("refused by another host");
  return give_up(end);
}

connection_action request_run::note_answered() {
  relay_.note_length(admitted_.on_route->name, now() - in_.received);
  log_end(answer_.status(), "answered");
  return done();
}

bool request_run::may_send_again(send_outcome end) {
  switch (next_send_after(end, *admitted_.on_route, progress())) {
  case next_send::none:
    return false;
  case next_send::uncounted:
    return true;
  case next_send::counted:
    return now() < admitted_.deadline && relay_.may_retry(admitted_.service);
  }
  return false;
}

send_progress request_run::progress() const {
  return {.sends = static_cast<int>(sent_to_.size()),
          .unreachable = unreachable_,
          .max_unreachable = may_forward() ? max_unreachable_before_forward : max_unreachable,
          .may_have_run = possible_runs_ > 0,
          .events = answer_.events().events(),
          .stream_begun = answer_.stream_begun(),
          .caller_failed = answer_.caller_failed(),
          .cut = answer_.cut()};
}

// Callers that were refused together come back at different times.
time_ms request_run::full_retry_after() {
  const auto least = static_cast<double>(relay_.options_.full_retry_after.count());
  const double spread = least * relay_.draw();
  const auto pause_end = relay_.parts_.endpoints.first_pause_end(admitted_.service, build_);
  const auto wait = pause_end ? static_cast<double>((*pause_end - now()).count()) : 0.0;
  return time_ms{static_cast<std::int64_t>(std::max(wait, least) + spread)};
}

connection_action request_run::give_up(send_outcome end) {
  const run_end how = end_of_run(end, progress(), admitted_.service, full_retry_after());
  switch (how.answer) {
  case final_answer::none:
    log_end(0, how.reason);
    return connection_action::abort;
  case final_answer::cut_stream:
    log_end(answer_.status(), how.reason);
    return connection_action::abort;
  case final_answer::endpoints_error:
    return deliver_error(how.reason);
  case final_answer::refusal:
    break;
  }
  if (error_kept_ && end != send_outcome::host_stopped)
    return deliver_error("endpoint_error");
  return refuse(*how.refusal);
}

connection_action request_run::deliver_error(std::string_view reason) {
  if (!answer_.deliver_kept()) {
    log_end(0, answer_.cut() ? "cut_by_stop" : "caller_gone");
    return connection_action::abort;
  }
  log_end(answer_.status(), reason);
  return done();
}

connection_action request_run::refuse(const error& reason) {
  announced_close_ = ends_connection();
  const std::string text =
      refusal_text(relay_.parts_.dialect, reason, admitted_.terms.id, announced_close_);
  log_end(relay_.parts_.dialect.refusal_status(reason.kind()), reason.what());
  return answer_.write(text) ? done() : connection_action::abort;
}

bool request_run::ends_connection() const noexcept {
  return last_on_connection_ || relay_.stop_.begun();
}

// A stream's header may have been sent before the stop began, without `Connection: close`. Then the
// connection is closed if no further request has arrived, as the next one would only be refused. A
// request that has already arrived is answered, with `Connection: close`: if it were dropped, its
// caller could not tell whether it has run.
connection_action request_run::done() const noexcept {
  if (!ends_connection())
    return connection_action::next_request;
  const bool announced = announced_close_ || answer_.announced_close();
  return announced || in_.caller.quiet() ? connection_action::close
                                         : connection_action::next_request;
}

std::uint64_t request_run::used() const noexcept {
  return tokens_used(admitted_, reserved_, possible_runs_ > 0, answer_.events().events());
}

void request_run::log_end(int status, std::string_view reason) {
  record_end(records_, admitted_,
             {in_, answer_, status, reason, sent_to_.size(),
              sent_to_.empty() ? std::string_view{} : std::string_view{sent_to_.back().str()},
              reserved_, used()});
}

} // namespace sedgechute
