#include "relay/impl/http_frontend.hpp"

#include "relay/impl/connection_source.hpp"
#include "relay/impl/request_preview.hpp"

#include <array>
#include <utility>

namespace sedgechute {

namespace {

constexpr std::size_t read_block = 16 * 1024;

// On a host with a memory limit, larger bodies are read by a thread into a buffer of their size:
// the growing buffer of a connection takes up to three times as much.
constexpr std::size_t max_waited_body = 128 * 1024;

constexpr std::size_t forwarded_field_bytes = 128; // of the field that hosts add

// Counts a request until its destruction.
class in_flight_count {
 public:
  explicit in_flight_count(std::atomic<std::size_t>& of) : count_{of} { ++count_; }
  in_flight_count(const in_flight_count&) = delete;
  in_flight_count& operator=(const in_flight_count&) = delete;
  ~in_flight_count() { --count_; }

 private:
  std::atomic<std::size_t>& count_;
};

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

enum class http_frontend::screen_result {
  serve,   ///< the request is accepted
  arrives, ///< the request is incomplete
  refused, ///< the refusal has been written
  ends,    ///< the connection must be closed
  drains,  ///< the same, after the rest of the refused body has been read
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

caller_limits http_frontend::limits() const {
  caller_limits limits = limits_();
  if (options_.from_hosts)
    limits.header_bytes += forwarded_field_bytes;
  return limits;
}

void http_frontend::dispatch(std::unique_ptr<caller_connection> caller) {
  preparing_requests::guard guard;
  bool screened = false;
  while (!screened && !relay_.stop().begun() && !caller->overdue) {
    if (!caller->arriving)
      caller->shed = relay_.may_shed();
    screened = !caller->shed && relay_.has_capacity();
    if (screened)
      break;
    switch (screen(*caller, guard)) {
    case screen_result::serve:
      screened = true;
      break;
    case screen_result::refused:
      if (!caller->link.buffered().empty())
        break;
      [[fallthrough]];
    case screen_result::arrives:
      poll_.wait_for_request(std::move(caller));
      return;
    case screen_result::ends:
      return; // closed with `caller`
    case screen_result::drains:
      poll_.close_gracefully(std::move(caller));
      return;
    }
  }
  caller->arriving = false;
  caller->overdue = false;
  relay_.note_request(false);
  const load_check done{.screened = screened, .counted = guard.begun()};
  if (!guard.begun())
    guard = relay_.preparing().begin({});
  run(std::make_shared<job>(*this, std::move(caller), std::move(guard), done));
}

http_frontend::screen_result http_frontend::screen(caller_connection& caller,
                                                   preparing_requests::guard& guard) {
  const caller_limits limits = this->limits();
  const std::size_t max_waited =
      relay_.memory().limits().bounded() ? max_waited_body : limits.body_bytes;
  const auto preview = [&] {
    return preview_request(caller.link.buffered(), limits.header_bytes, limits.body_bytes,
                           max_waited);
  };
  request_preview seen = preview();
  while (seen.state == preview_state::arriving) {
    if (seen.body_bytes > 0 && !caller.held.counts()) {
      caller.held = relay_.memory().begin(held_message::body);
      if (!caller.held.resize(seen.body_bytes)) {
        seen.state = preview_state::large; // a thread tries again, and refuses it
        break;
      }
    }
    const io_status status = caller.link.fill(time_.now());
    caller.arriving = status == io_status::timed_out;
    if (caller.arriving)
      return screen_result::arrives;
    if (status != io_status::ok)
      return screen_result::ends;
    seen = preview();
  }
  caller.arriving = false;
  if (seen.state == preview_state::other)
    return screen_result::serve;
  const bool large = seen.state == preview_state::large;
  request_relay::screening decision = relay_.screen(seen.head, caller.shed, large);
  guard = std::move(decision.guard);
  if (decision.taken)
    return screen_result::serve;
  ++caller.requests;
  note_refused();
  caller.held = {};
  if (large)
    caller.unread = seen.bytes - caller.link.buffered().size();
  caller.link.consume(large ? caller.link.buffered().size() : seen.bytes);
  relay_.note_request(true);
  const bool written = caller.link.write_all(decision.refusal, time_.now()) == io_status::ok;
  if (written && large)
    return screen_result::drains;
  return written && !decision.ends_connection ? screen_result::refused : screen_result::ends;
}

// At most one log line per interval: one per refusal would cost more than the refusals do.
void http_frontend::note_refused() {
  constexpr time_ms interval{1000};
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
    do {
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
    } while (!caller.link.buffered().empty());
    poll_.wait_for_request(std::move(work.caller));
  } catch (const std::exception& failure) {
    log_.write(severity::warning, "caller_connection_failed", {},
               {{log_field::reason, std::string_view{failure.what()}}});
  }
}

// At the cut of a stop a request that is still arriving is refused, so that its caller gets an
// answer before the process exits.
connection_action http_frontend::answer_one(caller_connection& caller,
                                            preparing_requests::guard guard, load_check checked) {
  const caller_limits limits = this->limits();
  const time_ms received = time_.now();
  const time_ms idle = received - caller.since;
  connection& link = caller.link;
  ++caller.requests;
  caller_watch until_cut{-1, relay_.stop().cut_descriptor()};
  try {
    std::string text;
    const io_status status =
        link.read_head(text, limits.header_bytes, received + limits.header_timeout, &until_cut);
    if (status == io_status::interrupted)
      throw error{error_kind::stopping, "header",
                  "was incomplete when the host's grace period ended"};
    if (status == io_status::timed_out)
      throw error{error_kind::slow_caller, "header", "did not arrive in time"};
    if (status != io_status::ok && link.buffered().size() > limits.header_bytes)
      throw error{error_kind::payload_too_large, "header", "is larger than allowed"};
    if (status != io_status::ok)
      return connection_action::close;
    const message_framing framing = check_request_header(
        text, {max_header_fields + (options_.from_hosts ? 1 : 0), limits.header_bytes});
    incoming_request request{parse_request_head(text), {},   received, link,
                             caller.requests,          idle, checked,  std::move(guard)};
    if (options_.from_hosts)
      request.forwarded = take_forwarded_terms(request.head.fields);
    request.held =
        caller.held.counts() ? std::move(caller.held) : relay_.memory().begin(held_message::body);
    if (!read_body(link, framing, limits, request, until_cut)) {
      const std::uint64_t size =
          framing.body == body_framing::stated ? framing.bytes : limits.body_bytes;
      return refuse_for_memory(caller, request.head, size);
    }
    return relay_.serve(request);
  } catch (const error& reason) {
    log_.write(severity::info, "request_unreadable", {},
               {{log_field::reason, std::string_view{reason.what()}}});
    (void)link.write_all(refusal_text(dialect_, reason, "", true),
                         time_.now() + options_.connections.closing_timeout);
  }
  return connection_action::close;
}

connection_action http_frontend::refuse_for_memory(caller_connection& caller,
                                                   const request_head& head, std::uint64_t most) {
  const std::size_t buffered = caller.link.buffered().size();
  caller.unread = most > buffered ? static_cast<std::size_t>(most) - buffered : 0;
  (void)caller.link.write_all(relay_.refuse_for_memory(head),
                              time_.now() + options_.connections.closing_timeout);
  return connection_action::close;
}

bool http_frontend::read_body(connection& link, const message_framing& framing,
                              const caller_limits& limits, incoming_request& request,
                              caller_watch& until_cut) const {
  const time_ms until = time_.now() + options_.body_timeout;
  if (framing.body == body_framing::stated && framing.bytes > limits.body_bytes)
    throw error{error_kind::payload_too_large, "body", "is larger than allowed"};
  if (framing.body == body_framing::stated) {
    const auto size = static_cast<std::size_t>(framing.bytes);
    if (!request.held.resize(size))
      return false;
    request.body.reserve(size);
  }
  if (framing.body != body_framing::none && request.head.fields.has("Expect") &&
      link.write_all("HTTP/1.1 100 Continue\r\n\r\n", until, &until_cut) != io_status::ok)
    throw error{error_kind::slow_caller, "body", "the caller does not read the interim response"};
  connection_source source{link, [&] { return link.fill(until, &until_cut); }};
  body_decoder body{source, framing};
  std::array<char, read_block> block; // NOLINT(cppcoreguidelines-pro-type-member-init)
  while (body.state() == body_state::open) {
    request.body.append(block.data(), body.read(block.data(), block.size()));
    if (request.body.size() > limits.body_bytes)
      throw error{error_kind::payload_too_large, "body", "is larger than allowed"};
    if (framing.body == body_framing::chunked && !request.held.resize(request.body.size()))
      return false;
  }
  if (body.state() == body_state::slow && source.last() == io_status::interrupted)
    throw error{error_kind::stopping, "body", "was incomplete when the host's grace period ended"};
  if (body.state() == body_state::slow)
    throw error{error_kind::slow_caller, "body", "did not arrive in time"};
  if (body.state() != body_state::whole)
    throw error{error_kind::malformed_request, "body", "is incomplete"};
  link.trim(); // the buffer of a body that was waited for is as large as the body
  return true;
}

} // namespace sedgechute
