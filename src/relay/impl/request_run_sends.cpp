#include "relay/impl/request_run.hpp"

#include "relay/impl/silence_rules.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

// Brittle endpoints whose arbiters are asked for room, per send.
constexpr int max_room_asks = 6;

/// \returns the number of incarnations that the request was not sent to
std::size_t count_others(const std::vector<endpoint_hash>& incarnations,
                         const std::vector<endpoint_hash>& sent_to) {
  return static_cast<std::size_t>(
      std::ranges::count_if(incarnations, [&](endpoint_hash incarnation) {
        return std::ranges::find(sent_to, incarnation) == sent_to.end();
      }));
}

std::string_view went_on(send_outcome second, bool first_ended) noexcept {
  if (first_ended)
    return "second";
  return second == send_outcome::caller_left ? "none" : "first";
}

} // namespace

std::optional<placement> request_run::choose_placement() {
  if (answer_.stream_begun() && !build_)
    return std::nullopt;
  auto place = find_placement(avoid_);
  if (!place && sent_to_.empty() && !lacks_paths())
    throw error{error_kind::no_capacity, admitted_.service, "no endpoint is ready or has room",
                full_retry_after()};
  return place;
}

std::optional<placement> request_run::find_placement(std::vector<endpoint_hash> avoid) {
  const auto& generation = admitted_.terms.generation;
  placement_request request{admitted_.service,
                            generation ? &*generation : nullptr,
                            std::move(avoid),
                            admitted_.residency(),
                            build_,
                            refused_by_brittle_};
  endpoint_directory& endpoints = relay_.parts_.endpoints;
  for (int asks = 0; asks < max_room_asks; ++asks) {
    auto place = endpoints.place(request);
    if (!place || !place->brittle)
      return place;
    const auto refused = ask_for_room(*place);
    if (!refused)
      return place;
    endpoints.cancel(*place, *refused);
    request.avoid.push_back(place->incarnation);
  }
  return std::nullopt;
}

std::optional<time_ms> request_run::ask_for_room(const placement& place) {
  const request_relay::parts& parts = relay_.parts_;
  return parts.room.ask ? parts.room.ask(place)
                        : parts.endpoints.arbitrate(parts.endpoints.ask_for(place, 0));
}

void request_run::end_grant(const placement& place, send_outcome end) {
  const request_relay::parts& parts = relay_.parts_;
  const bool refused = end == send_outcome::not_run;
  if (!place.brittle && !parts.endpoints.is_brittle(place.endpoint))
    return;
  if (parts.room.end)
    parts.room.end(place, refused);
  else
    parts.endpoints.end_grant({place.incarnation, place.grant, refused});
}

// A send that is taken over by a later one has ended before its exchange returns.
send_outcome request_run::send_once(placement& place) {
  open_send one{place, now()};
  open_sends_.push_back(&one);
  watch_other_sends();
  send_outcome end = send_to(one);
  if (end == send_outcome::superseded && concluded_)
    end = *std::exchange(concluded_, std::nullopt);
  end_send(one, end);
  open_sends_.pop_back();
  watch_other_sends();
  return end;
}

void request_run::end_send(open_send& one, send_outcome end) {
  if (std::exchange(one.ended, true))
    return;
  if (one.run) {
    one.run->written = one.progress.written;
    one.run->unframed = one.progress.unframed;
    relay_.parts_.contents.note_end(*one.run, end, now());
  }
  one.place.unframed = one.progress.unframed;
  relay_.parts_.endpoints.release(one.place, end, one.progress.prompt_read);
  end_grant(one.place, end);
  record_send(records_, admitted_, {one.place, end, one.number, one.began});
}

// Of the open sends, all but the last wait for endpoints that are silent.
void request_run::watch_other_sends() {
  std::vector<caller_watch::alternative> silent;
  for (const open_send* one : open_sends_)
    if (one != open_sends_.back() && !one->ended)
      silent.push_back({one->link->descriptor(), !one->progress.head_read});
  watch_.set_alternatives(std::move(silent));
}

void request_run::end_other_sends() {
  for (open_send* one : open_sends_) {
    if (one == open_sends_.back() || one->ended)
      continue;
    const bool broke_off = one->link->closed_by_peer();
    one->link->abort_now();
    end_send(*one, broke_off ? send_outcome::failed : send_outcome::stalled);
  }
  watch_other_sends();
}

send_outcome request_run::send_to(open_send& one) {
  placement& place = one.place;
  connect_result reached = open_connection(place);
  if (!reached.link)
    return connect_failure(reached.status);
  if (!relay_.stop_.taking()) { // the cut may have come during the connect
    relay_.connections_.give_back(place.endpoint, place.local_incarnation, std::move(reached.link));
    return send_outcome::host_stopped;
  }
  if (!relay_.parts_.endpoints.note_sent(place)) {
    relay_.connections_.give_back(place.endpoint, place.local_incarnation, std::move(reached.link));
    return send_outcome::withheld;
  }
  if (sent_to_.empty())
    relay_.note_first_send(admitted_.service);
  sent_to_.push_back(place.endpoint);
  avoid_.push_back(place.incarnation);
  one.number = sent_to_.size();
  ++possible_runs_; // until the endpoint replies that it did not run the request
  in_.preparing.end();
  one.run =
      content_run{admitted_.content, place.endpoint, place.incarnation, now(), admitted_.parts};
  const send_outcome end = exchange(one, std::move(reached.link));
  if (end == send_outcome::not_run) {
    --possible_runs_;
    note_refused(place);
  }
  return end;
}

send_outcome request_run::connect_failure(io_status why) noexcept {
  if (why == io_status::caller_left)
    return send_outcome::caller_left;
  if (why == io_status::interrupted)
    return send_outcome::host_stopped;
  if (why == io_status::superseded)
    return send_outcome::superseded;
  ++unreachable_;
  return why == io_status::timed_out ? send_outcome::silent : send_outcome::unreachable;
}

// The connect is interrupted at the cut. Otherwise a silent endpoint could hold the request beyond
// the time that is left for the last answers before the exit.
connect_result request_run::open_connection(placement& place) {
  const time_ms max_idle =
      runs_once(*admitted_.on_route) ? relay_.options_.max_idle_run_once : relay_.options_.max_idle;
  // Only a connection that carries no other request tells whose reply without an id it is.
  auto idle = admitted_.terms.id.empty()
                  ? nullptr
                  : relay_.connections_.take(place.endpoint, place.local_incarnation, max_idle);
  place.reused = idle != nullptr;
  if (idle)
    return {std::move(idle), io_status::ok};
  return connect_to(place.address, relay_.options_.connect_timeout, relay_.parts_.time, &watch_);
}

void request_run::note_refused(const placement& place) {
  if (!relay_.parts_.endpoints.is_brittle(place.endpoint))
    return;
  refused_by_brittle_ = true;
  relay_.parts_.figures.add(metric::brittle_refusals, {});
}

send_outcome request_run::exchange(open_send& one, std::unique_ptr<connection> link) {
  const request_relay::parts& parts = relay_.parts_;
  const relay_options& options = relay_.options_;
  const placement& place = one.place;
  one.link = link.get();
  endpoint_exchange run{
      {parts.dialect, parts.endpoints, parts.time, admitted_, place, watch_, answer_, one.progress,
       [&] { note_begun(place); }, [&] { end_other_sends(); }, [&] { note_written(one); },
       [&] { return relay_.event_delay(*admitted_.on_route); },
       [&](const endpoint_silence& silence) { return consider_silence(one, silence); },
       open_sends_.size() > 1 ? std::function<void()>{[&] { end_other_sends(); }}
                              : std::function<void()>{}},
      {.max_reply_head = options.max_reply_head,
       .max_buffered_body = options.max_buffered_body,
       .max_event = options.max_event,
       .max_stream = options.max_stream,
       .memory = &relay_.memory_},
      *link,
      static_cast<int>(sent_to_.size())};
  const send_outcome end =
      run.run(endpoint_request(in_.head, in_.body.size(), admitted_, place,
                               answer_.events().last_id(), parts.dialect, now()),
              in_.body);
  if (run.delayed_reads() > 0)
    parts.figures.add(metric::delayed_event_reads, {}, static_cast<double>(run.delayed_reads()));
  if (run.reusable())
    relay_.connections_.give_back(place.endpoint, place.local_incarnation, std::move(link));
  else
    link->abort();
  return end;
}

void request_run::note_written(open_send& one) {
  if (one.run->parts.empty() || one.long_answer ||
      one.progress.written < relay_.parts_.contents.policy().harmless_after)
    return;
  one.long_answer = true;
  relay_.parts_.contents.note_long_answer(*one.run, now());
}

std::optional<time_ms> request_run::consider_silence(open_send& one,
                                                     const endpoint_silence& silence) {
  if (std::exchange(one.silent_since, silence.since) != silence.since) {
    one.noted.reset();
    one.others_back.reset();
  }
  const time_ms silent_for = now() - silence.since;
  endpoint_directory& endpoints = relay_.parts_.endpoints;
  const service_activity others =
      endpoints.activity(admitted_.service, now() - activity_window(silent_for));
  const silent_send state{.silent_for = silent_for,
                          .stall_after = silence.stall_after,
                          .unheard_after = unheard_timeout(admitted_.deadline - silence.since),
                          .time_left = admitted_.deadline - now(),
                          .may_run_again =
                              may_run_again(*admitted_.on_route, static_cast<int>(sent_to_.size())),
                          .all_were_silent = others_just_back(one),
                          .retry_left = relay_.has_retry(admitted_.service),
                          .heard = others.heard,
                          .unused = others.unused,
                          .silent = count_others(others.silent, avoid_)};
  silence_decision decision = decide_on_silence(state);
  std::optional<placement> place;
  if (decision == silence_decision::send_beside)
    place = place_beside(others, decision);
  if (decision == silence_decision::all_silent)
    one.others_back.reset();
  else if (decision == silence_decision::others_back && !one.others_back)
    one.others_back = now();
  note_silence(one, decision, silent_for, others);
  if (is_fault_of_one(decision) && !std::exchange(one.stalled, true))
    endpoints.note_stalled(one.place);
  if (place && !send_beside(one, *place))
    return std::nullopt;
  return decision == silence_decision::runs_once ? state.time_left : silence_check_interval();
}

bool request_run::others_just_back(const open_send& one) const noexcept {
  return one.noted == silence_decision::all_silent ||
         (one.noted == silence_decision::others_back && one.others_back &&
          now() - *one.others_back < others_back_wait());
}

// The retry is taken last, as it cannot be given back.
std::optional<placement> request_run::place_beside(const service_activity& others,
                                                   silence_decision& decision) {
  decision = silence_decision::no_endpoint;
  if (!relay_.stop_.taking() || unreachable_ >= progress().max_unreachable || crash_refusal() ||
      (answer_.stream_begun() && !build_))
    return std::nullopt;
  std::vector<endpoint_hash> avoid = avoid_;
  avoid.insert(avoid.end(), others.silent.begin(), others.silent.end());
  auto place = find_placement(std::move(avoid));
  if (!place)
    return std::nullopt;
  if (!relay_.may_retry(admitted_.service)) {
    relay_.parts_.endpoints.release(*place, send_outcome::superseded, false);
    end_grant(*place, send_outcome::superseded);
    decision = silence_decision::no_retry;
    return std::nullopt;
  }
  decision = silence_decision::send_beside;
  return place;
}

bool request_run::send_beside(open_send& one, placement& place) {
  const send_outcome end = send_once(place);
  relay_.parts_.figures.add(metric::silent_sends, {went_on(end, one.ended)});
  const bool concluded = one.ended || end == send_outcome::caller_left;
  error_kept_ = error_kept_ || end == send_outcome::own_error;
  if (concluded)
    concluded_ = end;
  return !concluded;
}

void request_run::note_silence(open_send& one, silence_decision decision, time_ms silent_for,
                               const service_activity& others) {
  if (std::exchange(one.noted, decision) == decision && decision != silence_decision::send_beside)
    return;
  relay_.parts_.figures.add(metric::silent_endpoints, {name_of(decision)});
  relay_.parts_.log.write(severity::info, "endpoint_silent",
                          {admitted_.terms.id, admitted_.team_name(), one.place.endpoint.str()},
                          {{log_field::kind, name_of(decision)},
                           {log_field::service, admitted_.service},
                           {log_field::count, others.heard},
                           {log_field::open, others.silent.size()},
                           {log_field::free, others.unused},
                           {log_field::duration_ms, silent_for}});
}

} // namespace sedgechute
