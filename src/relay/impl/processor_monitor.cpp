#include "relay/impl/processor_monitor.hpp"

#include <chrono>

namespace sedgechute {

namespace {

constexpr time_ms sample_interval{50}; // twenty wake-ups a second use 0.1 % of a core

} // namespace

processor_monitor::processor_monitor(const shedding_options& options, open_count open,
                                     std::size_t min_open, const clock& time, structured_log& log)
    : open_{std::move(open)}, min_open_{min_open}, time_{time}, log_{log}, shedding_{options},
      random_{random_source::from_system()} {}

processor_monitor::~processor_monitor() {
  stop();
}

void processor_monitor::start() {
  thread_ = std::thread{[this] { run(); }};
}

void processor_monitor::stop() noexcept {
  {
    const std::scoped_lock lock{mutex_};
    stopping_ = true;
    wake_.notify_all();
  }
  if (thread_.joinable())
    thread_.join();
}

bool processor_monitor::sheds() {
  const std::scoped_lock lock{mutex_};
  return shedding_.refused_fraction() > 0 && random_.unit() < shedding_.refused_fraction();
}

double processor_monitor::refused_fraction() const {
  const std::scoped_lock lock{mutex_};
  return shedding_.refused_fraction();
}

double processor_monitor::grouping() const {
  const std::scoped_lock lock{mutex_};
  return grouping_.level();
}

bool processor_monitor::busy() const {
  const std::scoped_lock lock{mutex_};
  return shedding_.busy();
}

std::optional<time_ms> processor_monitor::busy_for() const {
  const std::scoped_lock lock{mutex_};
  return busy_since_ ? std::optional{time_.now() - *busy_since_} : std::nullopt;
}

void processor_monitor::note_request(bool turned_away) noexcept {
  ++requests_;
  if (turned_away)
    ++turned_away_;
}

void processor_monitor::run() {
  std::unique_lock lock{mutex_};
  time_ms last = time_.now();
  while (!wake_.wait_for(lock, std::chrono::milliseconds{sample_interval.count()},
                         [&] { return stopping_; })) {
    const time_ms now = time_.now();
    note(now - last - sample_interval, now - last);
    last = now;
  }
}

// Threads also wake up late when other processes use the machine. Refusing requests does not help
// then, so a host with few requests refuses none.
void processor_monitor::note(time_ms lateness, time_ms since) {
  const bool before = shedding_.busy();
  shedding_.note_wake_up(open_() < min_open_ ? time_ms{} : lateness, since);
  grouping_.note_delay(shedding_.delay_ratio(), since);
  const std::size_t turned_away =
      turned_away_.exchange(0); // read first, so it is at most the total
  shedding_.note_requests(turned_away, requests_.exchange(0), since);
  if (shedding_.busy() == before)
    return;
  busy_since_ = before ? std::nullopt : std::optional{time_.now()};
  log_.write(severity::warning, before ? "processor_free" : "processor_busy", {},
             {{log_field::duration_ms, lateness}});
}

} // namespace sedgechute
