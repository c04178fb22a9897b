#include "relay/impl/place_waits.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <mutex>

namespace sedgechute {

namespace {

// Each waiting request looks for its caller, the stop and free places by itself, as reports of
// other hosts wake nobody. All of them together wake up 500 times a second at most, which costs a
// hundredth of a core.
constexpr std::size_t look_ms_per_waiting = 2;
constexpr std::size_t min_look_ms = 4;
constexpr std::size_t max_look_ms = 50;

constexpr std::size_t usual_percent = 50;
constexpr double ms_per_second = 1000;

std::chrono::milliseconds look_interval(std::size_t waiting) {
  return std::chrono::milliseconds{
      std::clamp(waiting * look_ms_per_waiting, min_look_ms, max_look_ms)};
}

} // namespace

place_waits::hold::~hold() {
  if (in_ == nullptr)
    return;
  const std::scoped_lock lock{in_->mutex_};
  in_->services_[service_].gate.note_placed();
}

place_waits::outcome place_waits::wait(const terms& of, caller_watch& watch,
                                       const planned_stop& stop) {
  std::unique_lock lock{mutex_};
  service_state& at = services_[of.service];
  const place_gate::entered entered =
      at.gate.enter(of.request, of.unseen_after, endpoints_.capacity(of.service), time_.now());
  waiter self;
  self.end = deliver(at, entered.ended);
  if (self.end && goes_on(*self.end))
    return {*self.end, hold{*this, of.service}};
  if (!self.end) {
    at.waiters[entered.ticket] = &self;
    ++waiting_;
    note_waiting(of.service, at);
    lock.unlock();
    of.on_wait();
    lock.lock();
    while (!self.end) {
      const io_status seen = watch.look();
      if (seen == io_status::ok && !stop.begun()) {
        (void)deliver(at, at.gate.update(endpoints_.capacity(of.service), time_.now()));
        if (!self.end)
          self.ended.wait_for(lock, look_interval(at.gate.waiting()));
        continue;
      }
      self.end = seen == io_status::caller_left ? wait_end::left : wait_end::stopping;
      at.gate.leave(entered.ticket, time_.now());
    }
    at.waiters.erase(entered.ticket);
    --waiting_;
    note_waiting(of.service, at);
  }
  figures_.add(metric::place_waits, {of.service, name_of(*self.end)});
  return {*self.end, goes_on(*self.end) ? hold{*this, of.service} : hold{}};
}

std::optional<wait_end> place_waits::deliver(service_state& of,
                                             const std::vector<place_gate::event>& ended) {
  std::optional<wait_end> own;
  for (const auto& [ticket, end] : ended) {
    if (ticket == 0) {
      own = end;
      continue;
    }
    waiter& one = *of.waiters.at(ticket);
    one.end = end;
    one.ended.notify_one();
  }
  return own;
}

void place_waits::note_waiting(const std::string& service, const service_state& of) {
  figures_.set(metric::waiting_for_place, {service}, static_cast<double>(of.gate.waiting()));
}

void place_waits::note_change(const std::string& service) {
  if (waiting_ == 0)
    return;
  const std::scoped_lock lock{mutex_};
  const auto at = services_.find(service);
  if (at != services_.end() && at->second.gate.waiting() > 0)
    (void)deliver(at->second, at->second.gate.update(endpoints_.capacity(service), time_.now()));
}

void place_waits::note_run(const std::string& route, time_ms length) {
  const std::scoped_lock lock{mutex_};
  runs_.note(route, length);
}

void place_waits::note_begin(const std::string& route, time_ms length) {
  const std::scoped_lock lock{mutex_};
  begins_.note(route, length);
}

time_ms place_waits::begin_time(const std::string& route) const {
  {
    const std::scoped_lock lock{mutex_};
    if (const auto begin = begins_.within(route, usual_percent))
      return *begin;
  }
  return run_time(route);
}

time_ms place_waits::run_time(const std::string& route) const {
  const std::scoped_lock lock{mutex_};
  return runs_.within(route, usual_percent).value_or(time_ms{0});
}

time_ms place_waits::retry_after(const std::string& service, time_ms earliest, time_ms longest,
                                 double drawn) {
  const std::scoped_lock lock{mutex_};
  service_state& of = services_[service];
  const double rate = of.gate.drain_rate().value_or(0);
  if (rate > 0) {
    const double drained = static_cast<double>(of.gate.waiting()) / rate * ms_per_second;
    earliest = std::max(earliest, time_ms{static_cast<std::int64_t>(drained)});
  }
  return of.returns.next({.earliest = std::min(earliest, longest),
                          .longest = longest,
                          .served_per_second = rate,
                          .drawn = drawn},
                         time_.now());
}

} // namespace sedgechute
