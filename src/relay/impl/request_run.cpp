#include "relay/impl/request_run.hpp"

#include "relay/impl/endpoint_exchange.hpp"

namespace sedgechute {

request_run::request_run(request_relay& relay, incoming_request& in)
    : relay_{relay}, in_{in}, watch_{in.caller.descriptor(), relay.stop_.cut_descriptor()},
      answer_{in.caller, relay.stop_}, records_{relay.parts_.log, relay.parts_.figures,
                                                relay.parts_.time} {
  ++relay_.open_;
}

request_run::~request_run() {
  if (reserved_ > 0)
    relay_.parts_.budgets.settle(admitted_.team->name.str(), reserved_, used());
  --relay_.open_;
}

after_answer request_run::go() {
  try {
    check_room();
    admit(in_.head, in_.received, relay_.parts_.dialect, relay_.parts_.config(), admitted_);
    in_.preparing.belong_to(admitted_.team_name());
    check_time_left();
    check_processor();
    reserved_ =
        reserve_tokens(relay_.parts_.budgets, admitted_, relay_.options_.budget_retry_after);
    return run_sends();
  } catch (const error& reason) {
    return refuse(reason);
  }
}

void request_run::check_room() const {
  if (relay_.open_ > relay_.options_.most_open)
    throw relay_.too_many_open();
}

// Refused before it costs more. Once the balancer has seen the host busy, the caller's next
// connection is dealt to another one.
void request_run::check_processor() {
  if (in_.screened || !relay_.sheds())
    return;
  last_on_connection_ = true;
  throw request_relay::processor_used_up(relay_.options_.pressure_retry.soon);
}

// A connection that its caller keeps brings requests until the process is gone.
void request_run::check_time_left() const {
  if (!relay_.stop_.begun())
    return;
  const run_forecast run = relay_.forecast(admitted_.on_route->name, admitted_.deadline - now());
  if (!relay_.stop_.may_take(run))
    throw error{error_kind::stopping, "host",
                "too little of its grace is left for a run of up to " +
                    std::to_string(run.surely.count()) + " ms",
                relay_.options_.stop_retry_after};
}

// Some of the time until here may have passed with the request unread or waiting for tokens. On a
// host that has more to do than its processor carries, callers give up meanwhile, and a send would
// only add work for nobody.
after_answer request_run::run_sends() {
  send_outcome end = send_outcome::not_run;
  do {
    if (watch_.left_by_now())
      return give_up(send_outcome::caller_left);
    if (!may_have_run_)
      check_time_left(); // an endpoint that refused it, or took no connection, has cost some
    const auto place = find_place();
    if (!place)
      break;
    end = send_once(*place);
    if (end == send_outcome::answered)
      return note_answered();
  } while (may_send_again(end));
  return give_up(end);
}

after_answer request_run::note_answered() {
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
    return now() < admitted_.deadline && relay_.may_repeat(admitted_.service);
  }
  return false;
}

send_progress request_run::progress() const noexcept {
  return {.sends = static_cast<int>(sent_to_.size()),
          .unreachable = unreachable_,
          .may_have_run = may_have_run_,
          .events = answer_.events().events(),
          .stream_begun = answer_.stream_begun(),
          .caller_failed = answer_.caller_failed(),
          .cut = answer_.cut()};
}

std::optional<placement> request_run::find_place() {
  const auto& generation = admitted_.terms.generation;
  auto place = relay_.parts_.endpoints.place(
      {admitted_.service, generation ? &*generation : nullptr, avoid_});
  if (!place && sent_to_.empty())
    throw error{error_kind::no_capacity, admitted_.service, "no endpoint is ready",
                relay_.options_.full_retry_after};
  return place;
}

send_outcome request_run::send_once(const placement& place) {
  const time_ms began = now();
  bool prompt_read = false;
  const send_outcome end = send_to(place, prompt_read);
  relay_.parts_.endpoints.release(place, end, prompt_read);
  record_send(records_, admitted_, {place, end, sent_to_.size(), began});
  return end;
}

send_outcome request_run::send_to(const placement& place, bool& prompt_read) {
  connect_result reached = reach(place);
  if (!reached.link)
    return without_connection(reached.status);
  if (!relay_.stop_.taking()) { // since it was looked at, an endpoint was chosen and connected to
    relay_.connections_.give_back(place.endpoint, place.life, std::move(reached.link));
    return send_outcome::host_stopped;
  }
  if (sent_to_.empty())
    relay_.note_first_send(admitted_.service);
  sent_to_.push_back(place.endpoint);
  avoid_.push_back(place.incarnation);
  const bool may_have_run_before = may_have_run_;
  may_have_run_ = true; // from the first byte on, until the endpoint says otherwise
  in_.preparing.end();
  const send_outcome end = exchange(place, std::move(reached.link), prompt_read);
  if (end == send_outcome::not_run)
    may_have_run_ = may_have_run_before;
  return end;
}

send_outcome request_run::without_connection(io_status why) noexcept {
  if (why == io_status::caller_left)
    return send_outcome::caller_left;
  if (why == io_status::interrupted)
    return send_outcome::host_stopped;
  ++unreachable_;
  return why == io_status::timed_out ? send_outcome::silent : send_outcome::unreachable;
}

// An endpoint that takes no connection would hold its request beyond the time that the exit has for
// the last answers: the wait ends at the cut.
connect_result request_run::reach(const placement& place) {
  const time_ms most_idle = runs_once(*admitted_.on_route) ? relay_.options_.most_idle_run_once
                                                           : relay_.options_.most_idle;
  auto idle = relay_.connections_.take(place.endpoint, place.life, most_idle);
  if (idle)
    return {std::move(idle), io_status::ok};
  return connect_to(place.address, relay_.options_.connect_timeout, relay_.parts_.time, &watch_);
}

send_outcome request_run::exchange(const placement& place, std::unique_ptr<connection> link,
                                   bool& prompt_read) {
  const request_relay::parts& parts = relay_.parts_;
  const relay_options& options = relay_.options_;
  endpoint_exchange one{
      {parts.dialect, parts.endpoints, parts.time, admitted_, place, watch_, answer_},
      {options.longest_silence, options.most_reply_head, options.most_buffered_body},
      *link,
      static_cast<int>(sent_to_.size())};
  const send_outcome end = one.go(endpoint_request(
      in_.head, in_.body, admitted_, place, answer_.events().last_id(), parts.dialect, now()));
  prompt_read = one.prompt_read();
  if (one.reusable())
    relay_.connections_.give_back(place.endpoint, place.life, std::move(link));
  else
    link->abort();
  return end;
}

after_answer request_run::give_up(send_outcome end) {
  const run_end how =
      end_of_run(end, progress(), admitted_.service, relay_.options_.full_retry_after);
  switch (how.answer) {
  case final_answer::none:
    log_end(0, how.reason);
    return after_answer::abort;
  case final_answer::cut_stream:
    log_end(answer_.status(), how.reason);
    return after_answer::abort;
  case final_answer::endpoints_error:
    return deliver_error(how.reason);
  case final_answer::refusal:
    break;
  }
  return refuse(*how.refusal);
}

after_answer request_run::deliver_error(std::string_view reason) {
  if (!answer_.deliver_kept()) {
    log_end(0, answer_.cut() ? "cut_by_stop" : "caller_gone");
    return after_answer::abort;
  }
  log_end(answer_.status(), reason);
  return done();
}

after_answer request_run::refuse(const error& reason) {
  told_end_ = ends_connection();
  const std::string text =
      refusal_text(relay_.parts_.dialect, reason, admitted_.terms.id, told_end_);
  log_end(answer_for(reason.kind()).http_status, reason.what());
  return answer_.write(text) ? done() : after_answer::abort;
}

bool request_run::ends_connection() const noexcept {
  return last_on_connection_ || relay_.stop_.begun();
}

// The header of a stream may have gone before the signal to stop, without a word of the
// connection's end. Its caller's next request would come here all the same, and be refused. One
// that has come already gets an answer, which says what the first did not: dropped, it may have run
// as far as its caller can tell.
after_answer request_run::done() const noexcept {
  if (!ends_connection())
    return after_answer::next_request;
  const bool told = told_end_ || answer_.told_end();
  return told || in_.caller.quiet() ? after_answer::close : after_answer::next_request;
}

std::uint64_t request_run::used() const noexcept {
  return tokens_used(admitted_, reserved_, may_have_run_, answer_.events().events());
}

void request_run::log_end(int status, std::string_view reason) {
  record_end(records_, admitted_,
             {in_, answer_, status, reason, sent_to_.size(),
              sent_to_.empty() ? std::string_view{} : std::string_view{sent_to_.back().str()},
              reserved_, used()});
}

} // namespace sedgechute
