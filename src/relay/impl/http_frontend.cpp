#include "relay/impl/http_frontend.hpp"

#include <utility>

namespace sedgechute {

namespace {

constexpr int reads_at_once = 16; // of one connection, before others have their turn

// Under load, larger bodies are refused by their header, others when they are whole: their
// connection can be kept then.
constexpr std::size_t max_waited_body = 128 * 1024;

constexpr std::size_t forwarded_field_bytes = 128; // of the field that hosts add

} // namespace

/// A connection with a request that a thread is to serve.
struct http_frontend::job {
  job(http_frontend& of, std::unique_ptr<caller_connection> from, preparing_requests::guard counted,
      load_check done)
      : caller{std::move(from)}, preparing{std::move(counted)}, checked{done},
        unanswered{of.unanswered_}, busy{of.busy_} {}

  std::unique_ptr<caller_connection> caller;
  preparing_requests::guard preparing;
  load_check checked; ///< of the first request
  in_flight_count unanswered;
  in_flight_count busy;
};

enum class http_frontend::arrival {
  whole,    ///< the request can be served
  arriving, ///< more bytes are needed
  refused,  ///< the refusal has been written, and another request may follow
  closed,   ///< the connection has been closed or is being closed
};

http_frontend::http_frontend(request_relay& relay, const wire_dialect& dialect,
                             std::function<caller_limits()> limits,
                             const http_frontend_options& options,
                             const Poco::Net::ServerSocket& socket, const clock& time,
                             structured_log& log)
    : relay_{relay}, dialect_{dialect}, limits_{std::move(limits)}, options_{options}, time_{time},
      log_{log}, threads_{options.threads}, poll_{
                                                socket,
                                                relay.stop(),
                                                [this] { return limits_().idle_timeout; },
                                                relay.memory(),
                                                relay.figures(),
                                                options.connections,
                                                time,
                                                log,
                                                [this](std::unique_ptr<caller_connection> caller) {
                                                  dispatch(std::move(caller));
                                                }} {}

http_frontend::~http_frontend() {
  poll_.stop();
  threads_.stop();
}

void http_frontend::start() {
  poll_.start();
}

arrival_terms http_frontend::terms(bool on_polling_thread) {
  arrival_terms terms{.limits = limits_(),
                      .body_timeout = options_.body_timeout,
                      .framing_per_byte = options_.framing_per_byte};
  if (options_.from_hosts) {
    terms.limits.header_bytes += forwarded_field_bytes;
    ++terms.max_fields;
  }
  if (on_polling_thread)
    terms.evict = [this] { return poll_.evict(eviction_scope::unfinished_requests); };
  return terms;
}

namespace {

error reason_of(const caller_connection& caller) {
  const char* part = caller.request->head ? "body" : "header";
  if (caller.ended_by == arrival_end::stopped)
    return {error_kind::stopping, part, "was incomplete when the host's grace period ended"};
  if (caller.ended_by == arrival_end::evicted || caller.ended_by == arrival_end::dropped)
    return {error_kind::slow_caller, part, "has stopped arriving, and others need its memory"};
  return {error_kind::slow_caller, part, "did not arrive in time"};
}

} // namespace

void http_frontend::dispatch(std::unique_ptr<caller_connection> caller) {
  if (caller->ended_by != arrival_end::none) {
    const error reason = reason_of(*caller);
    return refuse_arrival(std::move(caller), reason);
  }
  preparing_requests::guard guard;
  bool screened = false;
  for (arrival seen = arrival::refused; seen == arrival::refused;) {
    seen = receive(caller, true);
    if (seen == arrival::closed)
      return;
    if (seen == arrival::whole && !relay_.stop().begun()) {
      screened = true;
      seen = screen(*caller, guard);
    }
    if (seen == arrival::closed)
      return; // closed with `caller`
    if (seen == arrival::arriving || (seen == arrival::refused && caller->link.buffered().empty()))
      return poll_.wait_for_request(std::move(caller));
  }
  relay_.note_request(false);
  const load_check done{.screened = screened, .counted = guard.begun()};
  if (!guard.begun())
    guard = relay_.preparing().begin({});
  run(std::make_shared<job>(*this, std::move(caller), std::move(guard), done));
}

arrival_state http_frontend::read_arrived(caller_connection& caller, const arrival_terms& terms,
                                          io_status& status) {
  for (int reads = 0;; ++reads) {
    const arrival_state state = take_arrived(*caller.request, caller.link, terms);
    if (state != arrival_state::arriving || reads == reads_at_once)
      return state;
    status = caller.link.fill(time_.now());
    if (status != io_status::ok)
      return state;
  }
}

http_frontend::arrival http_frontend::receive(std::unique_ptr<caller_connection>& caller,
                                              bool on_polling_thread) {
  const arrival_terms terms = this->terms(on_polling_thread);
  if (!caller->request) {
    const time_ms now = time_.now();
    caller->request = std::make_unique<arriving_request>(relay_.memory(), now, unanswered_, busy_);
    caller->request->deadline = now + terms.limits.header_timeout;
    caller->shed = !relay_.stop().begun() && relay_.may_shed();
  }
  try {
    io_status status = io_status::ok;
    arrival_state state = read_arrived(*caller, terms, status);
    if (state == arrival_state::header_arrived) {
      if (!admit_body(*caller)) {
        poll_.close_gracefully(std::move(caller));
        return arrival::closed;
      }
      state = read_arrived(*caller, terms, status);
    }
    if (state == arrival_state::whole) {
      caller->link.trim();
      if (caller->request->large_buffer)
        caller->link.set_receive_buffer(caller->receive_bytes);
      return arrival::whole;
    }
    if (state == arrival_state::no_room) {
      refuse_for_memory(std::move(caller));
      return arrival::closed;
    }
    if (status == io_status::ended && caller->request->head)
      throw error{error_kind::malformed_request, "body", "is incomplete"};
    if (status != io_status::ok && status != io_status::timed_out) {
      caller.reset();
      return arrival::closed;
    }
    return arrival::arriving;
  } catch (const error& reason) {
    refuse_arrival(std::move(caller), reason);
    return arrival::closed;
  }
}

bool http_frontend::admit_body(caller_connection& caller) {
  arriving_request& request = *caller.request;
  const bool stated = request.framing.body == body_framing::stated;
  const bool large = !stated || request.framing.bytes > max_waited_body;
  const bool loaded = caller.shed || !relay_.has_capacity();
  if (relay_.memory().limits().bounded() && large && loaded && !relay_.stop().begun()) {
    const request_relay::screening decision = relay_.screen(*request.head, caller.shed, true);
    if (!decision.taken) {
      note_refused();
      relay_.note_request(true);
      caller.unread = unread_bytes(request, limits_());
      (void)caller.link.write_all(decision.refusal, time_.now());
      return false;
    }
  }
  const receive_bounds& receive = options_.connections.receive;
  if (stated && request.framing.bytes >= receive.admitted_bytes) {
    caller.link.set_receive_buffer(receive.admitted_bytes);
    request.large_buffer = true;
  }
  if (request.head->fields.has("Expect"))
    (void)caller.link.write_all("HTTP/1.1 100 Continue\r\n\r\n", time_.now());
  return true;
}

http_frontend::arrival http_frontend::screen(caller_connection& caller,
                                             preparing_requests::guard& guard) {
  if (!caller.shed && relay_.has_capacity())
    return arrival::whole;
  request_relay::screening decision = relay_.screen(*caller.request->head, caller.shed, false);
  guard = std::move(decision.guard);
  if (decision.taken)
    return arrival::whole;
  ++caller.requests;
  note_refused();
  caller.request.reset();
  caller.since = time_.now();
  relay_.note_request(true);
  const bool written = caller.link.write_all(decision.refusal, time_.now()) == io_status::ok;
  return written && !decision.ends_connection ? arrival::refused : arrival::closed;
}

// At most one log line per interval: one per refusal would cost more than the refusals do.
void http_frontend::note_refused() {
  constexpr time_ms interval{1000};
  const std::scoped_lock lock{refused_mutex_};
  ++refused_;
  if (time_.now() - refused_told_ < interval)
    return;
  refused_told_ = time_.now();
  log_.write(severity::warning, "requests_turned_away", {},
             {{log_field::count, std::exchange(refused_, 0)}});
}

void http_frontend::run(const std::shared_ptr<job>& work) {
  if (!threads_.run([this, work] { serve(*work); }))
    refuse(*work);
}

void http_frontend::refuse(job& work) {
  const error reason{error_kind::no_capacity, "host", "no thread is free"};
  note_refused();
  if (work.caller->link.write_all(refusal_text(dialect_, reason, "", true), time_.now()) ==
      io_status::ok)
    poll_.close_gracefully(std::move(work.caller));
}

void http_frontend::serve(job& work) {
  try {
    caller_connection& caller = *work.caller;
    if (caller.requests == 0) {
      caller.socket.setNoDelay(true);
      enable_dead_peer_detection(caller.socket);
    }
    arrival next = arrival::whole;
    while (next == arrival::whole) {
      const connection_action then =
          answer_one(caller, std::move(work.preparing), std::exchange(work.checked, {}));
      if (then == connection_action::abort) {
        caller.link.abort();
        return;
      }
      if (then == connection_action::close) {
        poll_.close_gracefully(std::move(work.caller));
        return;
      }
      caller.since = time_.now();
      next = caller.link.buffered().empty() ? arrival::arriving : receive(work.caller, false);
    }
    if (next == arrival::arriving)
      poll_.wait_for_request(std::move(work.caller));
  } catch (const std::exception& failure) {
    log_.write(severity::warning, "caller_connection_failed", {},
               {{log_field::reason, std::string_view{failure.what()}}});
  }
}

connection_action http_frontend::answer_one(caller_connection& caller,
                                            preparing_requests::guard guard, load_check checked) {
  const std::unique_ptr<arriving_request> arrived = std::move(caller.request);
  const time_ms began = arrived->progress.began();
  ++caller.requests;
  try {
    incoming_request request{
        std::move(*arrived->head), std::move(arrived->body), began,   caller.link,
        caller.requests,           began - caller.since,     checked, std::move(guard)};
    if (options_.from_hosts)
      request.forwarded = take_forwarded_terms(request.head.fields);
    request.held = std::move(arrived->held);
    return relay_.serve(request);
  } catch (const error& reason) {
    log_.write(severity::info, "request_unreadable", {},
               {{log_field::reason, std::string_view{reason.what()}}});
    (void)caller.link.write_all(refusal_text(dialect_, reason, "", true),
                                time_.now() + options_.connections.closing_timeout);
  }
  return connection_action::close;
}

void http_frontend::refuse_arrival(std::unique_ptr<caller_connection> caller, const error& reason) {
  relay_.figures().add(metric::unfinished_refusals, {name_of(reason.kind()), reason.where()});
  log_.write(severity::info, "request_unreadable", {},
             {{log_field::reason, std::string_view{reason.what()}}});
  if (caller->request->head)
    caller->unread = unread_bytes(*caller->request, limits_());
  if (caller->link.write_all(refusal_text(dialect_, reason, "", true), time_.now()) ==
          io_status::ok &&
      caller->ended_by != arrival_end::dropped)
    poll_.close_gracefully(std::move(caller));
}

void http_frontend::refuse_for_memory(std::unique_ptr<caller_connection> caller) {
  if (!caller->request->head) // nothing is known of the request
    return refuse_arrival(std::move(caller), {error_kind::no_capacity, "host",
                                              "unfinished requests take up its memory"});
  caller->unread = unread_bytes(*caller->request, limits_());
  if (caller->link.write_all(relay_.refuse_for_memory(*caller->request->head), time_.now()) ==
      io_status::ok)
    poll_.close_gracefully(std::move(caller));
}

} // namespace sedgechute
