#include "relay/impl/request_run.hpp"

#include "relay/impl/connection_source.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace sedgechute {

namespace {

constexpr int most_unreachable = 3; // endpoints tried in a row that take no connection
constexpr std::size_t read_block = 16 * 1024;

// A stall is several times what an undisturbed answer takes: engines at full load are up to three
// times slower, and a run given up is lost work.
constexpr std::int64_t targets_before_stall = 3;
constexpr std::int64_t pauses_before_stall = 5;
constexpr time_ms least_stall{600};

constexpr time_ms default_patience{30000};  // for a caller that names none
constexpr time_ms most_caller_write{10000}; // a caller that reads nothing for so long has gone

bool is_promise_of_no_run(int status) noexcept {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool is_success(int status) noexcept {
  return status >= 200 && status < 300;
}

// Engines admit the more urgent first. Who must have the first event sooner goes before: a short
// prompt that waits behind a long one is late, the long one hardly notices the short one.
int urgency_of(const route& of) noexcept {
  constexpr std::int64_t ms_a_step = 200;
  constexpr std::int64_t least_urgent = 8;
  return static_cast<int>(
      std::clamp<std::int64_t>(of.latency_target.count() / ms_a_step, 0, least_urgent));
}

double seconds(time_ms span) noexcept {
  constexpr double ms_a_second = 1000;
  return static_cast<double>(span.count()) / ms_a_second;
}

std::string chunk_of(std::string_view bytes) {
  std::array<char, 20> size{};
  const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string chunk{size.data(), static_cast<std::size_t>(length)};
  chunk.append(bytes).append("\r\n");
  return chunk;
}

} // namespace

request_run::request_run(request_relay& relay, incoming_request& in)
    : relay_{relay}, in_{in}, watch_{in.caller.descriptor(), relay.stop_.cut_descriptor()},
      stop_watch_{-1, relay.stop_.cut_descriptor()} {
  ++relay_.open_;
}

request_run::~request_run() {
  settle_tokens();
  --relay_.open_;
}

after_answer request_run::go() {
  try {
    admit();
    reserve_tokens();
    return run_sends();
  } catch (const error& reason) {
    return refuse(reason);
  }
}

void request_run::admit() {
  if (relay_.open_ > relay_.options_.most_open)
    throw error{error_kind::no_capacity, "host",
                std::to_string(relay_.options_.most_open) + " requests are open here",
                relay_.options_.overload_retry_after};
  terms_ = relay_.parts_.dialect.read_request(in_.head.fields);
  config_ = relay_.parts_.config();
  if (!config_)
    throw error{error_kind::not_ready, "configuration", "none is known yet"};
  find_route();
  if (config_->keys_required && !route_->open_to_all)
    find_team();
  choose_service();
  const time_ms patience = terms_.patience.value_or(default_patience);
  deadline_ = in_.received + std::min(patience, route_->timeout);
  check_time_left();
}

// A connection that its caller keeps brings requests until the process is gone.
void request_run::check_time_left() const {
  if (!relay_.stop_.begun())
    return;
  const run_forecast run = relay_.forecast(route_->name, deadline_ - now());
  if (!relay_.stop_.may_take(run))
    throw error{error_kind::stopping, "host",
                "too little of its grace is left for a run of up to " +
                    std::to_string(run.surely.count()) + " ms",
                relay_.options_.stop_retry_after};
}

void request_run::find_route() {
  const std::string* host = in_.head.fields.find("Host");
  if (host == nullptr)
    throw error{error_kind::malformed_request, "Host", "is missing"};
  route_ = config_->find_route(*host, in_.head.path());
  if (route_ == nullptr)
    throw error{error_kind::unknown_path, *host,
                "no route matches in version " + std::to_string(config_->version)};
}

void request_run::find_team() {
  team_ = config_->find_team(terms_.bearer);
  if (team_ == nullptr)
    throw error{error_kind::unauthenticated, "key",
                "nobody holds it in version " + std::to_string(config_->version)};
}

// Drawn by the request's id: each host would choose the same service for it.
void request_run::choose_service() {
  std::uint64_t total = 0;
  for (const weighted_service& one : route_->services)
    total += one.weight;
  std::uint64_t drawn = total == 0 ? 0 : stable_hash(terms_.id) % total;
  for (const weighted_service& one : route_->services) {
    service_ = one.service;
    if (drawn < one.weight)
      break;
    drawn -= one.weight;
  }
  if (const service_traits* traits = config_->find_service(service_))
    event_tokens_ = std::max<std::uint64_t>(traits->tokens_per_event, 1);
}

void request_run::reserve_tokens() {
  if (!terms_.generation || team_ == nullptr || !team_->prepaid)
    return;
  const std::uint64_t bound = terms_.generation->bound();
  switch (relay_.parts_.budgets.reserve(team_->name.str(), bound, terms_.id)) {
  case reserve_outcome::reserved:
    reserved_ = bound;
    return;
  case reserve_outcome::exhausted:
    throw error{error_kind::budget_exhausted, team_->name.str(),
                "what is left does not cover " + std::to_string(bound) + " tokens"};
  case reserve_outcome::short_here:
    throw error{error_kind::budget_unreachable, team_->name.str(),
                "this host holds too few tokens now", relay_.options_.budget_retry_after};
  }
}

// A prompt counts as read once the request may have run; of the answer, what the caller got.
void request_run::settle_tokens() noexcept {
  if (reserved_ > 0)
    relay_.parts_.budgets.settle(team_->name.str(), reserved_, tokens_used());
}

std::uint64_t request_run::tokens_used() const noexcept {
  if (reserved_ == 0 || !may_have_run_)
    return 0;
  return terms_.generation->prompt_tokens + events_.events() * event_tokens_;
}

// The header of a stream may have gone before the signal to stop, without a word of the
// connection's end. Its caller's next request would come here all the same, and be refused.
after_answer request_run::done() const noexcept {
  return in_.last_on_connection || relay_.stop_.begun() ? after_answer::close
                                                        : after_answer::next_request;
}

bool request_run::runs_once() const noexcept {
  return route_->kind == request_kind::unsafe ||
         (route_->kind == request_kind::stream && !route_->resumable);
}

// Some of the time until here may have passed with the request unread or waiting for tokens. On a
// host that has more to do than its processor carries, callers give up meanwhile, and a send would
// only add work for nobody.
after_answer request_run::run_sends() {
  for (;;) {
    const send_outcome end = watch_.left_by_now() ? send_outcome::caller_left : send_once();
    if (end == send_outcome::answered)
      return done();
    if (!may_go_on(end))
      return give_up(end);
  }
}

bool request_run::may_run_again() const noexcept {
  return !runs_once() && static_cast<int>(sent_to_.size()) < route_->most_attempts;
}

// An endpoint that accepts a request and says nothing looks like a slow one. Where the request may
// be run again, waiting for it beyond several times what an answer takes only makes it later.
time_ms request_run::patience_with_endpoint() const {
  if (!may_run_again())
    return relay_.options_.longest_silence;
  if (events_.events() > 0)
    return std::max(route_->longest_pause * pauses_before_stall, least_stall);
  return std::max(route_->latency_target * targets_before_stall, least_stall);
}

time_ms request_run::reply_deadline() const {
  return std::min(deadline_, now() + patience_with_endpoint());
}

bool request_run::may_go_on(send_outcome end) {
  if (caller_failed_ || end == send_outcome::caller_left || end == send_outcome::timed_out ||
      end == send_outcome::host_stopped)
    return false;
  if (end == send_outcome::unreachable || end == send_outcome::silent)
    return ++unreachable_ < most_unreachable;
  if (end != send_outcome::not_run && !may_run_again())
    return false;
  if (end == send_outcome::own_error && route_->kind != request_kind::safe)
    return false;
  if (static_cast<int>(sent_to_.size()) >= route_->most_attempts)
    return false;
  return now() < deadline_ && relay_.may_repeat(service_);
}

after_answer request_run::give_up(send_outcome end) {
  if (end == send_outcome::caller_left || caller_failed_) {
    log_end(0, "caller_gone");
    return after_answer::abort;
  }
  if (stream_begun_) {
    log_end(reply_.status, end == send_outcome::host_stopped ? "cut_by_stop" : "stream_cut");
    return after_answer::abort;
  }
  if (end == send_outcome::own_error) {
    if (!deliver_reply(reply_body_))
      return after_answer::abort;
    log_end(reply_.status, "endpoint_error");
    return done();
  }
  if (end == send_outcome::host_stopped)
    return refuse({error_kind::outcome_unknown, "host", "it stops, and the request may have run"});
  if (!may_have_run_) {
    const error_kind kind =
        end == send_outcome::timed_out ? error_kind::deadline_unreachable : error_kind::no_capacity;
    return refuse(
        {kind, service_, "no endpoint took the request", relay_.options_.full_retry_after});
  }
  const error_kind kind =
      end == send_outcome::timed_out ? error_kind::outcome_unknown : error_kind::endpoint_failed;
  return refuse({kind, service_, "the request may have run"});
}

send_outcome request_run::send_once() {
  placement_request wanted{service_, terms_.generation ? &*terms_.generation : nullptr, sent_to_};
  auto place = relay_.parts_.endpoints.place(wanted);
  if (!place) {
    if (sent_to_.empty())
      throw error{error_kind::no_capacity, service_, "no endpoint is ready",
                  relay_.options_.full_retry_after};
    return send_outcome::not_run;
  }
  const time_ms began = now();
  prompt_read_ = false;
  const send_outcome end = exchange(*place);
  relay_.parts_.endpoints.release(*place, end, prompt_read_);
  log_send(*place, end, began);
  return end;
}

send_outcome request_run::exchange(const placement& place) {
  connect_result reached = reach(place);
  if (!reached.link)
    return reached.silent ? send_outcome::silent : send_outcome::unreachable;
  std::unique_ptr<connection> link = std::move(reached.link);
  if (sent_to_.empty())
    relay_.note_first_send(service_);
  sent_to_.push_back(place.endpoint);
  const bool may_have_run_before = may_have_run_;
  may_have_run_ = true; // from the first byte on, until the endpoint says otherwise
  reply_reusable_ = false;
  io_status status = link->write_all(endpoint_request(place), deadline_, &watch_);
  send_outcome end = end_of(status);
  if (status == io_status::ok || status == io_status::reset)
    end = read_reply(place, *link);
  if (end == send_outcome::not_run)
    may_have_run_ = may_have_run_before;
  if (reply_reusable_)
    relay_.connections_.give_back(place.endpoint, std::move(link));
  else
    link->abort();
  return end;
}

connect_result request_run::reach(const placement& place) const {
  const time_ms most_idle =
      runs_once() ? relay_.options_.most_idle_run_once : relay_.options_.most_idle;
  auto idle = relay_.connections_.take(place.endpoint, most_idle);
  if (idle)
    return {std::move(idle), false};
  return connect_to(place.address, relay_.options_.connect_timeout, relay_.parts_.time);
}

std::string request_run::endpoint_request(const placement& place) {
  request_head head = in_.head;
  head.fields.remove_hop_by_hop();
  head.fields.remove("Content-Length");
  if (!in_.body.empty() || in_.head.method != "GET")
    head.fields.set("Content-Length", std::to_string(in_.body.size()));
  endpoint_send send;
  send.endpoint = place.endpoint.str();
  send.team = team_ != nullptr ? team_->name.str() : "";
  send.time_left = deadline_ - now();
  send.resume_behind = events_.last_id() ? events_.last_id() : terms_.last_event;
  send.fetch_from = place.fetch_from;
  if (terms_.generation)
    send.urgency = urgency_of(*route_);
  relay_.parts_.dialect.to_endpoint(head.fields, send);
  return to_text(head) + in_.body;
}

send_outcome request_run::end_of(io_status status) const {
  if (status == io_status::caller_left)
    return send_outcome::caller_left;
  if (status == io_status::interrupted)
    return send_outcome::host_stopped;
  if (status != io_status::timed_out)
    return send_outcome::failed;
  return now() < deadline_ ? send_outcome::stalled : send_outcome::timed_out;
}

send_outcome request_run::read_reply(const placement& place, connection& link) {
  std::string text;
  response_head head;
  do {
    const io_status status =
        link.read_head(text, relay_.options_.most_reply_head, reply_deadline(), &watch_);
    if (status != io_status::ok)
      return end_of(status);
    const auto parsed = parse_response_head(text);
    if (!parsed)
      return send_outcome::failed;
    head = *parsed;
  } while (head.status < 200);
  const reply_terms said = relay_.parts_.dialect.read_reply(head);
  if (said.load)
    relay_.parts_.endpoints.note_load(place.endpoint, *said.load);
  if (said.misdirected)
    relay_.parts_.endpoints.note_leaving(place.endpoint);
  if (said.not_run)
    return send_outcome::not_run;
  if (!said.echoed_id.empty() && said.echoed_id != terms_.id)
    return send_outcome::failed; // it answers another request
  if (is_promise_of_no_run(head.status) || !said.whole)
    return send_outcome::failed; // it may have run, or these are not an endpoint's bytes
  const bool events = route_->kind == request_kind::stream && is_success(head.status);
  if (stream_begun_ && !events)
    return send_outcome::failed;
  if (!stream_begun_)
    reply_ = head;
  current_reply_ = std::move(head);
  return events ? take_stream(place, link) : take_answer(place, link);
}

message_framing request_run::reply_framing() const {
  const header_fields& fields = current_reply_.fields;
  const std::string* coding = fields.find("Transfer-Encoding");
  if (coding != nullptr && equal_without_case(*coding, "chunked"))
    return {body_framing::chunked, 0};
  if (const auto length = fields.number("Content-Length"))
    return {body_framing::stated, *length};
  if (current_reply_.status == 204 || current_reply_.status == 304)
    return {body_framing::none, 0};
  return {body_framing::until_close, 0};
}

bool request_run::reusable(const message_framing& framing, connection& link) const {
  const std::string* field = current_reply_.fields.find("Connection");
  const bool closes = field != nullptr && equal_without_case(*field, "close");
  return framing.body != body_framing::until_close && !closes && !current_reply_.old_version &&
         link.quiet();
}

send_outcome request_run::take_answer(const placement& place, connection& link) {
  connection_source source{link, [this] { return reply_deadline(); }, &watch_};
  const message_framing framing = reply_framing();
  body_decoder body{source, framing};
  std::string bytes;
  std::array<char, read_block> block; // NOLINT(cppcoreguidelines-pro-type-member-init)
  while (body.state() == body_state::open) {
    bytes.append(block.data(), body.read(block.data(), block.size()));
    if (bytes.size() > relay_.options_.most_buffered_body)
      return send_outcome::failed;
  }
  if (body.state() != body_state::whole)
    return body.state() == body_state::slow ? end_of(source.last()) : send_outcome::failed;
  relay_.parts_.endpoints.note_started(place);
  prompt_read_ = true;
  reply_reusable_ = reusable(framing, link);
  if (!is_success(reply_.status)) {
    reply_body_ = std::move(bytes);
    return send_outcome::own_error;
  }
  first_event_ = now();
  if (!deliver_reply(bytes))
    return send_outcome::caller_left;
  relay_.note_length(route_->name, now() - in_.received);
  log_end(reply_.status, "answered");
  return send_outcome::answered;
}

response_head request_run::answer_head() const {
  response_head head = reply_;
  head.fields.remove_hop_by_hop();
  head.fields.remove("Content-Length");
  if (in_.last_on_connection)
    head.fields.set("Connection", "close");
  return head;
}

bool request_run::deliver_reply(const std::string& body) {
  response_head head = answer_head();
  head.fields.set("Content-Length", std::to_string(body.size()));
  return write_to_caller(to_text(head) + body);
}

bool request_run::write_to_caller(std::string_view bytes) {
  const time_ms until = now() + most_caller_write;
  caller_failed_ = in_.caller.write_all(bytes, until, &stop_watch_) != io_status::ok;
  return !caller_failed_;
}

bool request_run::begin_stream_answer() {
  response_head head = answer_head();
  head.fields.set("Transfer-Encoding", "chunked");
  stream_begun_ = true;
  return write_to_caller(to_text(head));
}

bool request_run::pass_events(const std::string& events) {
  if (events.empty())
    return true;
  if (!first_event_)
    first_event_ = now();
  if (!stream_begun_ && !begin_stream_answer())
    return false;
  return write_to_caller(chunk_of(events));
}

send_outcome request_run::take_stream(const placement& place, connection& link) {
  connection_source source{link, [this] { return reply_deadline(); }, &watch_};
  const message_framing framing = reply_framing();
  body_decoder body{source, framing};
  events_.drop_unfinished();
  std::array<char, read_block> block; // NOLINT(cppcoreguidelines-pro-type-member-init)
  while (body.state() == body_state::open) {
    const std::size_t got = body.read(block.data(), block.size());
    events_.feed({block.data(), got});
    const std::string whole = events_.take_whole();
    if (!whole.empty() && !prompt_read_) {
      prompt_read_ = true;
      relay_.parts_.endpoints.note_started(place);
    }
    if (!pass_events(whole))
      return send_outcome::caller_left;
  }
  if (body.state() == body_state::slow)
    return end_of(source.last());
  if (body.state() != body_state::whole || events_.inside_event())
    return send_outcome::failed;
  if (!stream_begun_ && !begin_stream_answer())
    return send_outcome::caller_left;
  reply_reusable_ = reusable(framing, link);
  if (!write_to_caller("0\r\n\r\n"))
    return send_outcome::caller_left;
  relay_.note_length(route_->name, now() - in_.received);
  log_end(reply_.status, "answered");
  return send_outcome::answered;
}

after_answer request_run::refuse(const error& reason) {
  const std::string text =
      refusal_text(relay_.parts_.dialect, reason, terms_.id, in_.last_on_connection);
  log_end(answer_for(reason.kind()).http_status, reason.what());
  return write_to_caller(text) ? done() : after_answer::abort;
}

std::string_view request_run::team_name() const noexcept {
  return team_ != nullptr ? std::string_view{team_->name.str()} : std::string_view{};
}

void request_run::log_send(const placement& place, send_outcome end, time_ms began) {
  relay_.parts_.figures.add(metric::attempts, {service_});
  relay_.parts_.log.write(severity::info, "send_ended",
                          {terms_.id, team_name(), place.endpoint.str()},
                          {{log_field::attempt, sent_to_.size()},
                           {log_field::kind, name_of(end)},
                           {log_field::address, place.address},
                           {log_field::count, place.candidates},
                           {log_field::open, place.expected_open},
                           {log_field::age_ms, place.load_age},
                           {log_field::unread_tokens, place.unread_before},
                           {log_field::missing_tokens, place.missing_tokens},
                           {log_field::peer, place.fetch_from},
                           {log_field::duration_ms, now() - began}});
}

void request_run::log_end(int status, std::string_view reason) {
  const std::string_view kind = route_ != nullptr ? std::string_view{route_->name} : "none";
  metrics& figures = relay_.parts_.figures;
  figures.add(metric::requests, {team_name(), kind, std::to_string(status)});
  figures.observe(metric::request_seconds, {kind}, seconds(now() - in_.received));
  if (first_event_)
    figures.observe(metric::first_token_seconds, {kind}, seconds(*first_event_ - in_.received));
  relay_.parts_.log.write(
      severity::info, "request_ended",
      {terms_.id, team_name(),
       sent_to_.empty() ? std::string_view{} : std::string_view{sent_to_.back().str()}},
      {{log_field::path, kind},
       {log_field::status, status},
       {log_field::reason, reason},
       {log_field::attempt, sent_to_.size()},
       {log_field::version, config_ ? config_->version : 0},
       {log_field::tokens, reserved_},
       {log_field::used, tokens_used()},
       {log_field::count, events_.events()},
       {log_field::on_connection, in_.on_connection},
       {log_field::idle_ms, in_.idle},
       {log_field::first_event_ms, first_event_ ? (*first_event_ - in_.received).count() : -1},
       {log_field::duration_ms, now() - in_.received}});
}

} // namespace sedgechute
