#include "relay/impl/caller_poll.hpp"

#include <Poco/Net/StreamSocketImpl.h>

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>
#include <vector>

namespace sedgechute {

namespace {

constexpr std::size_t max_events = 64;
constexpr int accepted_at_once = 64; // so that a burst of connects does not delay other events
constexpr int reads_at_once = 16;    // the same, for a caller that sends a refused body
constexpr time_ms scan_interval{1000};
constexpr time_ms closing_scan_interval{100};  // while connections are being closed
constexpr time_ms eviction_interval{100};      // after a scan that found none to evict
constexpr std::size_t connection_bytes = 1536; // of the process, beside its buffers

} // namespace

caller_connection::caller_connection(const Poco::Net::StreamSocket& from, const clock& time,
                                     std::atomic<std::size_t>& counted)
    : socket{from}, link{from, time}, since{time.now()}, count{counted} {
  ++count;
}

caller_connection::~caller_connection() {
  --count;
  if (closing != nullptr)
    --*closing;
}

caller_poll::caller_poll(const Poco::Net::ServerSocket& socket, const planned_stop& stop,
                         std::function<time_ms()> idle_timeout, held_bytes& memory,
                         metrics& figures, const caller_poll_options& options, const clock& time,
                         structured_log& log, ready_handler on_ready)
    : socket_{socket}, stop_{stop}, idle_timeout_{std::move(idle_timeout)}, memory_{memory},
      figures_{figures}, options_{options}, time_{time}, log_{log}, on_ready_{std::move(on_ready)},
      epoll_{::epoll_create1(EPOLL_CLOEXEC)} {
  if (epoll_ < 0)
    throw std::system_error{errno, std::generic_category(), "epoll"};
  socket_.setBlocking(false); // a caller may leave before it is accepted
}

caller_poll::~caller_poll() {
  stop();
  callers_.clear();
  ::close(epoll_);
}

void caller_poll::start() {
  for (const int descriptor : {end_.descriptor(), stop_.idle_descriptor(), stop_.cut_descriptor()})
    add(descriptor);
  listen(true);
  thread_ = std::thread{[this] { run(); }};
}

void caller_poll::stop() noexcept {
  ended_ = true;
  end_.open();
  if (thread_.joinable())
    thread_.join();
}

void caller_poll::add(int descriptor) noexcept {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = descriptor;
  (void)::epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event);
}

void caller_poll::listen(bool on) noexcept {
  if (on == listening_)
    return;
  listening_ = on;
  const int descriptor = socket_.impl()->sockfd();
  if (on)
    add(descriptor);
  else
    (void)::epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
}

void caller_poll::run() {
  std::array<epoll_event, max_events> events{};
  time_ms last_scan = time_.now();
  while (!ended_) {
    const time_ms interval = closing_ > 0 ? closing_scan_interval : scan_interval;
    const time_ms left = std::max(last_scan + interval - time_.now(), time_ms{});
    const int ready =
        ::epoll_wait(epoll_, events.data(), events.size(), static_cast<int>(left.count()));
    for (int i = 0; i < ready && !ended_; ++i)
      handle(events.at(static_cast<std::size_t>(i)).data.fd);
    if (time_.now() - last_scan < interval)
      continue;
    last_scan = time_.now();
    close_overdue();
    listen(true); // by now there may be one to evict
  }
}

void caller_poll::handle(int descriptor) {
  try {
    if (descriptor == socket_.impl()->sockfd()) {
      accept_callers();
    } else if (descriptor == stop_.idle_descriptor() || descriptor == stop_.cut_descriptor()) {
      (void)::epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
      close_waiting(descriptor == stop_.idle_descriptor());
    } else if (descriptor != end_.descriptor()) {
      note_ready(descriptor);
    }
  } catch (const std::exception& failure) {
    log_.write(severity::warning, "caller_connection_failed", {},
               {{log_field::reason, std::string_view{failure.what()}}});
  }
}

std::unique_ptr<caller_connection> caller_poll::admit(int descriptor) {
  Poco::Net::StreamSocket socket{new Poco::Net::StreamSocketImpl{descriptor}};
  auto caller = std::make_unique<caller_connection>(socket, time_, connections_);
  caller->receive_bytes = receive_buffer(options_.receive, connections_);
  if (caller->receive_bytes != options_.receive.usual_bytes)
    caller->link.set_receive_buffer(caller->receive_bytes);
  caller->held = memory_.begin(held_message::connection);
  while (!caller->held.resize(caller->receive_bytes + connection_bytes))
    if (!evict(eviction_scope::any_connection))
      return nullptr;
  return caller;
}

// When descriptors run out or there is no room for another connection, new ones stay in the listen
// queue until others have been closed.
void caller_poll::accept_callers() {
  for (int i = 0; i < accepted_at_once; ++i) {
    if (connections_ >= options_.max_connections && !evict(eviction_scope::any_connection)) {
      listen(false);
      return;
    }
    const int descriptor = ::accept4(socket_.impl()->sockfd(), nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
        listen(false);
      return;
    }
    std::unique_ptr<caller_connection> caller = admit(descriptor);
    if (!caller)
      listen(false);
    else if (i == 0)
      park(std::move(caller));
    else // after a queue of connects the first request has probably arrived
      take_bytes(std::move(caller));
  }
}

std::vector<waiting_connection> caller_poll::waiting() const {
  const std::scoped_lock lock{mutex_};
  std::vector<waiting_connection> all;
  all.reserve(callers_.size());
  for (const auto& [descriptor, caller] : callers_) {
    const wait_stage stage = caller->closing != nullptr ? wait_stage::end_of_refused
                             : caller->request          ? wait_stage::rest_of_request
                             : caller->requests == 0    ? wait_stage::first_request
                                                        : wait_stage::next_request;
    all.push_back(
        {descriptor, stage, caller->request ? caller->request->progress.last() : caller->since});
  }
  return all;
}

bool caller_poll::evict(eviction_scope scope) {
  const time_ms now = time_.now();
  if (now < next_eviction_)
    return false;
  const std::vector<waiting_connection> all = waiting();
  const std::optional<int> chosen = choose_eviction(all, scope, now, options_.stall);
  if (!chosen) {
    next_eviction_ = now + eviction_interval; // a scan costs more than a refusal
    return false;
  }
  std::unique_ptr<caller_connection> caller;
  {
    const std::scoped_lock lock{mutex_};
    const auto at = callers_.find(*chosen);
    if (at == callers_.end())
      return true;
    caller = std::move(at->second);
    callers_.erase(at);
  }
  if (caller->closing == nullptr && !caller->request && !caller->link.quiet()) {
    take_bytes(std::move(caller)); // a request has just arrived
    return true;
  }
  figures_.add(metric::evicted_connections, {});
  if (caller->closing == nullptr && caller->request) {
    caller->ended_by =
        scope == eviction_scope::any_connection ? arrival_end::dropped : arrival_end::evicted;
    on_ready_(std::move(caller));
  }
  return true;
}

void caller_poll::note_ready(int descriptor) {
  std::unique_ptr<caller_connection> caller;
  {
    const std::scoped_lock lock{mutex_};
    const auto at = callers_.find(descriptor);
    if (at == callers_.end())
      return;
    caller = std::move(at->second);
    callers_.erase(at);
  }
  if (caller->closing != nullptr)
    drain(std::move(caller));
  else
    take_bytes(std::move(caller));
}

void caller_poll::take_bytes(std::unique_ptr<caller_connection> caller) {
  caller->link.note_readable();
  switch (caller->link.fill(time_.now())) {
  case io_status::ok:
    on_ready_(std::move(caller));
    break;
  case io_status::timed_out:
    park(std::move(caller)); // spurious wake-up
    break;
  case io_status::ended:
    if (caller->request)
      on_ready_(std::move(caller)); // its caller may still read why it is refused
    break;
  case io_status::reset:
  case io_status::caller_left:
  case io_status::interrupted:
    break; // closed with `caller`
  }
}

// Closing a socket with unread bytes resets the connection, and the caller could lose the answer.
void caller_poll::drain(std::unique_ptr<caller_connection> caller) {
  io_status status = io_status::ok;
  for (int i = 0; status == io_status::ok && i < reads_at_once; ++i) {
    status = caller->link.fill(time_.now());
    const std::size_t got = caller->link.buffered().size();
    caller->link.consume(got);
    if (got > 0 && caller->unread > 0)
      caller->since = time_.now();
    caller->unread -= std::min(got, caller->unread);
  }
  if (status == io_status::ok || status == io_status::timed_out)
    park(std::move(caller));
}

void caller_poll::wait_for_request(std::unique_ptr<caller_connection> caller) {
  if (!caller->request)
    caller->since = time_.now();
  caller->link.trim();
  park(std::move(caller));
}

void caller_poll::close_gracefully(std::unique_ptr<caller_connection> caller) {
  caller->closing = &closing_;
  ++closing_;
  caller->since = time_.now();
  caller->request.reset();
  caller->drained_by = caller->since + options_.drain_timeout;
  caller->link.consume(caller->link.buffered().size());
  caller->link.trim();
  caller->link.shutdown_write();
  park(std::move(caller));
}

// During a stop an idle connection is closed here; a request that has already arrived on it is
// served or refused like any other.
void caller_poll::park(std::unique_ptr<caller_connection> caller) {
  std::unique_lock lock{mutex_};
  if (all_closed_ && caller->closing == nullptr && caller->request) {
    lock.unlock();
    caller->ended_by = arrival_end::stopped;
    on_ready_(std::move(caller));
    return;
  }
  const bool ends = all_closed_ || (served_closed_ && caller->requests > 0);
  if (ended_ || (ends && caller->closing == nullptr && !caller->request && caller->link.quiet()))
    return;
  const int descriptor = caller->link.descriptor();
  epoll_event event{};
  event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
  event.data.fd = descriptor;
  const int change = caller->registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  caller->registered = true;
  callers_[descriptor] = std::move(caller);
  if (::epoll_ctl(epoll_, change, descriptor, &event) != 0)
    callers_.erase(descriptor);
}

bool caller_poll::closes_late(const caller_connection& caller, time_ms now) const noexcept {
  const time_ms waited = now - caller.since;
  if (caller.unread > 0)
    return waited >= options_.unread_timeout || now >= caller.drained_by;
  return waited >= options_.closing_timeout;
}

void caller_poll::close_waiting(bool served_only) {
  std::unique_lock lock{mutex_};
  served_closed_ = true;
  all_closed_ = all_closed_ || !served_only;
  std::vector<std::unique_ptr<caller_connection>> stopped;
  for (auto at = callers_.begin(); at != callers_.end();) {
    caller_connection& caller = *at->second;
    const bool ends = caller.closing == nullptr && (all_closed_ || caller.requests > 0);
    const bool idle = ends && !caller.request && caller.link.quiet();
    const bool unfinished = ends && all_closed_ && caller.request;
    if (unfinished)
      stopped.push_back(std::move(at->second));
    at = idle || unfinished ? callers_.erase(at) : std::next(at);
  }
  lock.unlock();
  for (std::unique_ptr<caller_connection>& caller : stopped) {
    caller->ended_by = arrival_end::stopped;
    on_ready_(std::move(caller));
  }
}

void caller_poll::close_overdue() {
  const time_ms now = time_.now();
  const time_ms idle = idle_timeout_();
  std::vector<std::unique_ptr<caller_connection>> overdue;
  {
    const std::scoped_lock lock{mutex_};
    for (auto at = callers_.begin(); at != callers_.end();) {
      caller_connection& caller = *at->second;
      const time_ms waited = now - caller.since;
      const bool late = caller.closing != nullptr ? closes_late(caller, now)
                        : caller.request          ? now >= caller.request->deadline
                                                  : waited >= idle;
      if (late)
        overdue.push_back(std::move(at->second));
      at = late ? callers_.erase(at) : std::next(at);
    }
  }
  for (std::unique_ptr<caller_connection>& caller : overdue) {
    if (caller->closing != nullptr || !caller->request)
      continue; // closed with `overdue`
    caller->ended_by = arrival_end::late;
    on_ready_(std::move(caller));
  }
}

} // namespace sedgechute
