#include "relay/impl/endpoint_exchange.hpp"

#include "gateway/impl/final_status.hpp"
#include "relay/impl/connection_source.hpp"
#include "relay/impl/send_rules.hpp"
#include "relay/impl/silence_rules.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <thread>
#include <utility>

namespace sedgechute {

namespace {

constexpr std::size_t read_block = 16 * 1024;

constexpr time_ms interruption_check_interval{20}; // while bytes keep coming

constexpr time_ms memory_check_interval{10}; // while the answers take up their memory

// Longest pause between two reads of an answer that counts as time in which it was written.
constexpr time_ms max_counted_pause{250};

constexpr int switching_protocols = 101; // an interim answer that no request here asks for

bool promises_not_run(int status) noexcept {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::size_t size_of(const event_groups& groups) noexcept {
  std::size_t bytes = 0;
  for (const std::string& one : groups)
    bytes += one.size();
  return bytes;
}

bool is_success(int status) noexcept {
  return status >= 200 && status < 300;
}

} // namespace

std::string endpoint_request(const request_head& head, std::size_t body_bytes,
                             const admitted_request& as, const placement& place,
                             std::optional<std::uint64_t> resume_behind,
                             const wire_dialect& dialect, time_ms now) {
  request_head sent = head;
  sent.fields.remove_hop_by_hop();
  sent.fields.remove("Content-Length");
  if (body_bytes > 0 || sent.method != "GET")
    sent.fields.set("Content-Length", std::to_string(body_bytes));
  endpoint_send send;
  send.endpoint = place.endpoint.str();
  send.team = as.team_name();
  send.time_left = as.deadline - now;
  send.resume_behind = resume_behind ? resume_behind : as.terms.last_event;
  send.fetch_from = place.fetch_from;
  if (as.terms.generation)
    send.urgency = urgency_of(*as.on_route);
  dialect.to_endpoint(sent.fields, send);
  return to_text(sent);
}

// A length that is malformed, or contradicts another one, is not a missing length: a body that the
// end of the connection cuts off would pass for a whole one.
std::optional<message_framing> reply_framing(const response_head& reply) {
  if (const std::string* coding = reply.fields.find("Transfer-Encoding")) {
    if (reply.fields.count("Transfer-Encoding") > 1 || !equal_without_case(*coding, "chunked"))
      return std::nullopt;
    return message_framing{body_framing::chunked, 0};
  }
  if (reply.fields.has("Content-Length")) {
    const auto length = reply.fields.number("Content-Length");
    const std::string& first = *reply.fields.find("Content-Length");
    const bool same = std::all_of(
        reply.fields.all().begin(), reply.fields.all().end(), [&](const header_field& field) {
          return !equal_without_case(field.name, "Content-Length") || field.value == first;
        });
    if (!length || !same)
      return std::nullopt;
    return message_framing{body_framing::stated, *length};
  }
  if (reply.status == 204 || reply.status == 304)
    return message_framing{body_framing::none, 0};
  return message_framing{body_framing::until_close, 0};
}

endpoint_exchange::endpoint_exchange(const parts& joined, const exchange_bounds& bounds,
                                     connection& link, int sends)
    : parts_{joined}, bounds_{bounds}, link_{link}, sends_{sends} {
  if (bounds_.memory != nullptr)
    held_ = bounds_.memory->begin(held_message::answer);
}

send_outcome endpoint_exchange::run(std::string_view head, std::string_view body) {
  link_used_ = link_.used();
  if (parts_.end_overlap)
    overlap_end_ = parts_.time.now() + max_overlap();
  const io_status status = link_.write_all(head, body, parts_.request.deadline, &parts_.watch);
  // An endpoint that refuses may close before it has read all; its refusal can still be read.
  if (status != io_status::ok && status != io_status::reset)
    return end_of(status);
  last_heard_ = parts_.time.now();
  next_check_ = parts_.on_silence ? last_heard_ + stall_after() : parts_.request.deadline;
  return read_reply();
}

time_ms endpoint_exchange::stall_after() const {
  const send_progress so_far{.sends = sends_, .events = parts_.answer.events().events()};
  return stall_timeout(*parts_.request.on_route, so_far, parts_.request.deadline - last_heard_);
}

void endpoint_exchange::note_heard() {
  last_heard_ = parts_.time.now();
  next_check_ = parts_.on_silence ? last_heard_ + stall_after() : parts_.request.deadline;
  if (parts_.place.heard)
    parts_.place.heard->note(last_heard_);
}

bool late_reading::may_go_on(time_ms now, time_ms deadline, std::size_t got) noexcept {
  if (now < deadline)
    return true;
  const bool allowed = got <= bytes_left;
  bytes_left -= std::min(got, bytes_left);
  return allowed;
}

// Where bytes keep coming no wait notices that the caller has left, that the host stops, or that
// the time is over.
io_status endpoint_exchange::check_interruption() {
  const std::size_t got = link_.buffered().size();
  if (link_.watch_polled()) {
    next_interruption_check_ = last_heard_ + interruption_check_interval;
  } else if (last_heard_ >= next_interruption_check_) {
    next_interruption_check_ = last_heard_ + interruption_check_interval;
    if (const io_status seen = parts_.watch.look(); seen != io_status::ok)
      return seen;
  }
  return late_.may_go_on(last_heard_, parts_.request.deadline, got) ? io_status::ok
                                                                    : io_status::timed_out;
}

time_ms endpoint_exchange::next_wake_up() const noexcept {
  const time_ms next = std::min(next_check_, parts_.request.deadline);
  return overlap_end_ ? std::min(next, *overlap_end_) : next;
}

void endpoint_exchange::end_overlap() {
  if (!overlap_end_ || parts_.time.now() < *overlap_end_)
    return;
  overlap_end_.reset();
  parts_.end_overlap();
}

// The silence of an endpoint does not end the exchange by itself: the endpoint may go on.
template <typename Read>
io_status endpoint_exchange::read_patiently(const Read& read) {
  for (;;) {
    const io_status status = read(next_wake_up());
    if (status == io_status::ok || status == io_status::timed_out)
      end_overlap();
    if (status == io_status::ok) {
      note_heard();
      if (const io_status looked = check_interruption(); looked != io_status::ok)
        return looked;
    }
    if (status != io_status::timed_out || parts_.time.now() >= parts_.request.deadline)
      return status;
    if (parts_.time.now() < next_check_)
      continue;
    const auto pause = parts_.on_silence({last_heard_, stall_after()});
    if (!pause)
      return io_status::superseded;
    next_check_ = parts_.time.now() + *pause;
  }
}

io_status endpoint_exchange::fill() {
  return read_patiently([this](time_ms until) { return link_.fill(until, &parts_.watch); });
}

// The endpoint is not silent meanwhile: nobody reads what it sends.
io_status endpoint_exchange::hold(std::size_t bytes) {
  bool waited = false;
  while (!held_.resize(bytes)) {
    waited = true;
    if (const io_status seen = parts_.watch.look(); seen != io_status::ok)
      return stopped_ = seen;
    if (parts_.time.now() >= parts_.request.deadline)
      return stopped_ = io_status::timed_out;
    end_overlap();
    std::this_thread::sleep_for(std::chrono::milliseconds{memory_check_interval.count()});
  }
  if (waited) {
    last_heard_ = parts_.time.now();
    next_check_ = parts_.on_silence ? last_heard_ + stall_after() : parts_.request.deadline;
  }
  return io_status::ok;
}

void endpoint_exchange::begin_answer() {
  if (std::exchange(answer_begun_, true))
    return;
  if (parts_.before_answer)
    parts_.before_answer();
  parts_.answer.take_head(reply_);
}

send_outcome endpoint_exchange::end_of(io_status status) const {
  if (status == io_status::caller_left)
    return send_outcome::caller_left;
  if (status == io_status::interrupted)
    return send_outcome::host_stopped;
  if (status == io_status::superseded)
    return send_outcome::superseded;
  return status == io_status::timed_out ? send_outcome::timed_out : send_outcome::failed;
}

io_status endpoint_exchange::read_final_head() {
  std::string text;
  std::size_t read = 0;
  do {
    const io_status status = read_patiently([&](time_ms until) {
      return link_.read_head(text, bounds_.max_reply_head, until, &parts_.watch);
    });
    if (status != io_status::ok)
      return status;
    read += text.size();
    const auto parsed = parse_response_head(text);
    if (!parsed || parsed->status == switching_protocols || read > bounds_.max_reply_head)
      return io_status::reset;
    reply_ = *parsed;
  } while (!is_final_status(reply_.status));
  return io_status::ok;
}

// An endpoint may send a second reply to an earlier request, late, where the reply to the next one
// on the connection is expected. A reply without an id comes from an endpoint that echoes none or
// from another program at the address. It can be told from replies to other requests only on a
// connection that has carried no other.
bool endpoint_exchange::is_reply(const reply_terms& terms) const {
  return terms.echoed_id.empty() ? !link_used_ : terms.echoed_id == parts_.request.terms.id;
}

// Without the field that marks an endpoint's answer, the reply may come from another program at
// the address. A status of refusal without the field that promises that nothing ran leaves open
// whether the request has run.
bool endpoint_exchange::is_answer(const reply_terms& terms) const {
  return terms.whole && !promises_not_run(reply_.status);
}

void endpoint_exchange::note_terms(const reply_terms& terms) {
  endpoint_directory& endpoints = parts_.endpoints;
  if (terms.misdirected) {
    endpoints.note_leaving(parts_.place);
  } else {
    endpoints.note_limit(parts_.place, terms);
    endpoints.note_brittle(parts_.place, terms);
    if (terms.leaving && (terms.whole || terms.not_run))
      endpoints.note_says_leaving(parts_.place);
  }
  if (may_ask_for_pause(terms, reply_.status, parts_.request.terms.id))
    endpoints.note_pause(parts_.place, terms);
}

// The load is the endpoint's, whichever request the reply belongs to. Nothing else counts in a
// reply to another request, and this one may have run.
send_outcome endpoint_exchange::read_reply() {
  const io_status status = read_final_head();
  if (status != io_status::ok)
    return end_of(status);
  parts_.progress.head_read = true;
  const auto framing = reply_framing(reply_);
  framing_ = framing.value_or(message_framing{body_framing::until_close, 0});
  parts_.progress.unframed = framing_.body == body_framing::until_close;
  const reply_terms terms = parts_.dialect.read_reply(reply_);
  if (terms.load)
    parts_.endpoints.note_load(parts_.place, *terms.load);
  if (terms.malformed_load)
    parts_.endpoints.note_malformed_load(parts_.place, *terms.malformed_load);
  if (!is_reply(terms))
    return send_outcome::failed;
  names_request_ = !terms.echoed_id.empty();
  if (framing && bounds_.with_host && !terms.whole)
    return take_host_refusal();
  note_terms(terms);
  if (terms.not_run)
    return send_outcome::not_run;
  if (!framing || !is_answer(terms))
    return send_outcome::failed;
  const bool events =
      parts_.request.on_route->kind == request_kind::stream && is_success(reply_.status);
  if (parts_.answer.stream_begun() && !events)
    return send_outcome::failed;
  return events ? take_stream() : take_answer();
}

// After a reply without an id, a reply to the next request could not be told from a second one.
bool endpoint_exchange::may_reuse() {
  const std::string* field = reply_.fields.find("Connection");
  const bool closes = field != nullptr && equal_without_case(*field, "close");
  return names_request_ && framing_.body != body_framing::until_close && !closes &&
         !reply_.old_version && link_.quiet();
}

// An endpoint that stops after the header closes the connection as one does after an empty answer.
bool endpoint_exchange::is_unproven(bool has_content) const noexcept {
  return framing_.body == body_framing::until_close && !has_content;
}

void endpoint_exchange::note_prompt_read() {
  if (std::exchange(parts_.progress.prompt_read, true))
    return;
  parts_.endpoints.note_prompt_read(parts_.place);
}

// A host that was frozen reads late what was written before, so a pause counts in part only.
void endpoint_exchange::note_written() {
  reply_progress& progress = parts_.progress;
  const time_ms now = parts_.time.now();
  if (progress.last_written)
    progress.written += std::min(now - *progress.last_written, max_counted_pause);
  progress.last_written = now;
  if (parts_.on_written)
    parts_.on_written();
}

body_state endpoint_exchange::read_body(body_decoder& body, std::string& bytes) {
  std::array<char, read_block> block; // NOLINT(cppcoreguidelines-pro-type-member-init)
  while (body.state() == body_state::open && bytes.size() <= bounds_.max_buffered_body) {
    const std::size_t got = body.read(block.data(), block.size());
    bytes.append(block.data(), got);
    if (got > 0)
      note_written();
    if (hold(bytes.size()) != io_status::ok)
      return body_state::slow;
  }
  return bytes.size() > bounds_.max_buffered_body ? body_state::open : body.state();
}

// Hosts promise with these statuses, and with errors of the caller, that nothing has run.
send_outcome endpoint_exchange::take_host_refusal() {
  if (is_success(reply_.status))
    return send_outcome::failed;
  connection_source source{link_, [this] { return fill(); }};
  body_decoder body{source, framing_};
  std::string bytes;
  const bool whole = read_body(body, bytes) == body_state::whole;
  begin_answer();
  parts_.answer.keep_body(whole ? std::move(bytes) : std::string{}, std::move(held_));
  if (promises_not_run(reply_.status))
    return send_outcome::not_run;
  return whole ? send_outcome::own_error : send_outcome::failed;
}

send_outcome endpoint_exchange::take_answer() {
  connection_source source{link_, [this] { return fill(); }};
  body_decoder body{source, framing_};
  std::string bytes;
  const body_state end = read_body(body, bytes);
  if (end == body_state::whole && is_success(reply_.status) && is_unproven(!bytes.empty()))
    return send_outcome::failed;
  if (end != body_state::whole)
    return end == body_state::slow ? end_of(stopped_ == io_status::ok ? source.last() : stopped_)
                                   : send_outcome::failed;
  note_prompt_read();
  reusable_ = may_reuse();
  if (!is_success(reply_.status)) {
    parts_.answer.take_head(reply_);
    parts_.answer.keep_body(std::move(bytes), std::move(held_));
    return send_outcome::own_error;
  }
  begin_answer();
  parts_.answer.note_ready();
  return parts_.answer.deliver(bytes) ? send_outcome::answered : send_outcome::caller_left;
}

// The bytes collect in the socket. A caller that leaves and a stop end the wait.
io_status endpoint_exchange::collect_events() {
  const time_ms delay = parts_.event_delay ? parts_.event_delay() : time_ms{};
  if (delay <= time_ms{} || !link_.buffered().empty())
    return io_status::ok;
  ++delayed_reads_;
  const time_ms until = std::min(parts_.time.now() + delay, next_wake_up());
  const io_status status = link_.wait_without_reading(until, parts_.watch);
  next_interruption_check_ = parts_.time.now() + interruption_check_interval;
  return status == io_status::timed_out ? io_status::ok : status;
}

io_status endpoint_exchange::forward(event_groups& whole, const event_splitter& events) {
  if (whole.empty())
    return io_status::ok;
  note_prompt_read();
  begin_answer();
  if (!parts_.answer.stream_begun() && parts_.before_first_event)
    parts_.before_first_event();
  parts_.answer.events() = events;
  if (!parts_.answer.forward_events(std::exchange(whole, {})))
    return io_status::caller_left;
  (void)held_.resize(events.unfinished_bytes());
  return io_status::ok;
}

// All whole events that have been read are forwarded before the next read, which may wait.
send_outcome endpoint_exchange::take_stream() {
  event_splitter events = parts_.answer.events();
  events.drop_unfinished();
  const std::uint64_t known_events = events.events();
  event_groups whole;
  connection_source source{link_, [&] {
                             const bool forwards = !whole.empty();
                             io_status status = forward(whole, events);
                             if (forwards && status == io_status::ok)
                               status = collect_events();
                             return status == io_status::ok ? fill() : status;
                           }};
  body_decoder body{source, framing_};
  std::array<char, read_block> block; // NOLINT(cppcoreguidelines-pro-type-member-init)
  std::size_t size = 0;
  bool within_bounds = true;
  while (within_bounds && body.state() == body_state::open) {
    const std::size_t got = body.read(block.data(), block.size());
    size += got;
    within_bounds = size <= bounds_.max_stream && events.unfinished_bytes() <= bounds_.max_event;
    events.feed({block.data(), got});
    const std::uint64_t before = events.events();
    if (std::string read = events.take_whole(); !read.empty())
      whole.push_back(std::move(read));
    if (events.events() > before)
      note_written();
    if (within_bounds && !held_.resize(size_of(whole) + events.unfinished_bytes())) {
      io_status held = forward(whole, events); // frees what waiting would keep
      if (held == io_status::ok)
        held = hold(events.unfinished_bytes());
      if (held != io_status::ok)
        return end_of(held);
    }
  }
  if (within_bounds && body.state() == body_state::slow)
    return end_of(source.last());
  if (const io_status forwarded = forward(whole, events); forwarded != io_status::ok)
    return end_of(forwarded);
  if (!within_bounds || body.state() != body_state::whole || events.inside_event() ||
      is_unproven(events.events() > known_events))
    return send_outcome::failed;
  reusable_ = may_reuse();
  begin_answer();
  return parts_.answer.end_stream() ? send_outcome::answered : send_outcome::caller_left;
}

} // namespace sedgechute
