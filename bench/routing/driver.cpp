#include "driver.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute::bench {

namespace {

constexpr std::uint32_t chunk_tokens = 512;
constexpr std::uint32_t tokens_per_block = 256;
constexpr double network_ms = 1.5;
constexpr double tick_ms = 20.0;
constexpr double drain_ms = 600'000.0;
constexpr double slow_by = 6.0;
constexpr double dead_for_ms = 40'000.0;
constexpr double crash_for_ms = 15'000.0;

} // namespace

driver::driver(const scenario& s) : scenario_{s}, random_{s.seed * 31 + 7} {
  arrival_options options;
  options.requests_per_s = capacity_of(s.who, s.speed) * s.load;
  options.duration_ms = s.duration_ms;
  options.fault_at_ms = s.fault_at_ms;
  options.trouble = s.trouble;
  options.seed = s.seed;
  arrivals_ = make_arrivals(s.who, options);
  fates_.resize(arrivals_.size());
  for (std::uint32_t i = 0; i < s.who.replicas; ++i)
    replicas_.emplace_back(s.speed);
  const auto seconds = static_cast<std::size_t>((s.duration_ms + drain_ms) / 1000.0) + 2;
  served_.assign(seconds, std::vector<double>(s.who.team_parts.size()));
}

void driver::at(double when, std::function<void()> what) {
  events_.push({when, ++sequence_, std::move(what)});
}

void driver::later(double wait_ms, std::function<void()> what) {
  at(now_ + wait_ms, std::move(what));
}

void driver::play(router& way) {
  way_ = &way;
  for (std::uint32_t i = 0; i < arrivals_.size(); ++i)
    at(arrivals_[i].at_ms, [this, i] { way_->arrived(*this, i); });
  for (double t = 0.0; t < scenario_.duration_ms + drain_ms; t += tick_ms)
    at(t, [this] {
      take_snapshots();
      way_->tick(*this);
    });
  schedule_fault();
  while (!events_.empty()) {
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.what();
    const bool all_in = now_ > scenario_.duration_ms;
    if (all_in && std::ranges::none_of(fates_, [](const fate& f) { return f.end == ending::open; }))
      break;
  }
}

void driver::schedule_fault() {
  if (scenario_.trouble == fault::slow_replica)
    at(scenario_.fault_at_ms, [this] { replicas_[faulty_replica].slow_factor = slow_by; });
  if (scenario_.trouble == fault::dead_replica)
    at(scenario_.fault_at_ms, [this] { crash(faulty_replica, dead_for_ms); });
}

void driver::take_snapshots() {
  constexpr double snapshot_ms = 100.0;
  if (std::fmod(now_, snapshot_ms) > 0.0)
    return;
  for (replica& r : replicas_) {
    r.snapshots.emplace_back(now_, r.report());
    while (r.snapshots.size() > 1 && r.snapshots[1].first <= now_ - scenario_.lag_ms)
      r.snapshots.pop_front();
  }
}

void driver::end(std::uint32_t request, ending how) {
  fate& f = fates_[request];
  ++f.answers;
  f.end = how;
  f.ended_at_ms = now_;
}

void driver::refuse(std::uint32_t request, error_kind kind) {
  fates_[request].refusal = kind;
  end(request, ending::refused);
}

void driver::cut(std::uint32_t request) {
  end(request, ending::cut);
}

std::uint32_t driver::send(std::uint32_t request, std::uint32_t replica_number,
                           std::uint32_t attempt, std::uint32_t priority) {
  const auto number = static_cast<std::uint32_t>(runs_.size());
  runs_.push_back({request, attempt, replica_number, priority, 0, 0, false});
  ++fates_[request].attempts;
  later(network_ms, [this, number] {
    run& sent = runs_[number];
    replica& r = replicas_[sent.replica];
    if (!r.up) {
      later(network_ms, [this, number] { way_->failed(*this, runs_[number], false); });
      return;
    }
    r.runs.insert(number);
    if (r.running < r.speed.places)
      place(r, number);
    else
      r.waiting.insert({sent.priority, ++sequence_, number});
  });
  return number;
}

void driver::place(replica& r, std::uint32_t run_number) {
  run& started = runs_[run_number];
  const arrival& a = arrivals_[started.request];
  ++r.running;
  started.cached = std::min(a.prompt_tokens, r.cache.hits(a.blocks) * tokens_per_block);
  started.unread = std::max(1U, a.prompt_tokens - started.cached);
  r.unread.insert({started.priority, ++sequence_, run_number});
  if (!r.reading)
    read_next(started.replica);
}

void driver::read_next(std::uint32_t replica_number) {
  replica& r = replicas_[replica_number];
  r.reading = !r.unread.empty();
  if (!r.reading)
    return;
  const auto line = *r.unread.begin();
  run& reading = runs_[line.run];
  const std::uint32_t chunk = std::min(chunk_tokens, reading.unread);
  const std::uint64_t life = r.life;
  const double took = chunk / r.speed.read_per_ms * r.slow_factor;
  at(now_ + took, [this, replica_number, line, chunk, life, took] {
    replica& then = replicas_[replica_number];
    if (then.life != life)
      return;
    run& read = runs_[line.run];
    count_service(arrivals_[read.request].team, now_ - took, now_, chunk * prompt_price);
    read.unread -= chunk;
    if (read.unread == 0) {
      then.unread.erase(line);
      start_writing(line.run, life);
    }
    if (then.life == life)
      read_next(replica_number);
  });
}

void driver::start_writing(std::uint32_t run_number, std::uint64_t life) {
  run& r = runs_[run_number];
  const arrival& a = arrivals_[r.request];
  replica& where = replicas_[r.replica];
  if (a.poison) {
    crash(r.replica, crash_for_ms);
    return;
  }
  where.cache.store(a.blocks, [&](std::uint64_t block, bool stored) {
    where.events.push_back({now_, block, stored});
  });
  r.first_token = true;
  const double writing = where.pace_ms() * a.output_tokens;
  count_service(a.team, now_, now_ + writing, a.output_tokens);
  later(network_ms, [this, run_number] {
    const run& begun = runs_[run_number];
    fate& f = fates_[begun.request];
    if (f.end == ending::open && f.first_token_ms < 0.0) {
      f.first_token_ms = now_ - arrivals_[begun.request].at_ms;
      f.cached = begun.cached;
    }
    way_->first_token(*this, begun);
  });
  at(now_ + writing, [this, run_number, life] { finish(run_number, life); });
}

void driver::finish(std::uint32_t run_number, std::uint64_t life) {
  run& done = runs_[run_number];
  replica& r = replicas_[done.replica];
  if (r.life != life)
    return;
  r.runs.erase(run_number);
  --r.running;
  if (!r.waiting.empty()) {
    const std::uint32_t next = r.waiting.begin()->run;
    r.waiting.erase(r.waiting.begin());
    place(r, next);
  }
  later(network_ms, [this, run_number] {
    const run& ended = runs_[run_number];
    if (is_open(ended.request))
      end(ended.request, ending::complete);
    way_->completed(*this, ended);
  });
}

void driver::crash(std::uint32_t replica_number, double down_ms) {
  replica& r = replicas_[replica_number];
  const std::set<std::uint32_t> lost = std::exchange(r.runs, {});
  ++crashes_;
  ++r.life;
  r.up = false;
  r.reading = false;
  r.running = 0;
  r.waiting.clear();
  r.unread.clear();
  r.cache.clear();
  for (const std::uint32_t number : lost)
    later(network_ms, [this, number] { way_->failed(*this, runs_[number], true); });
  later(down_ms, [this, replica_number] { replicas_[replica_number].up = true; });
}

void driver::count_service(std::uint32_t team, double from, double to, double tokens) {
  const double length = std::max(to - from, 1e-6);
  for (double t = from; t < to;) {
    const auto second = static_cast<std::size_t>(t / 1000.0);
    const double until = std::min(to, static_cast<double>(second + 1) * 1000.0);
    if (second < served_.size())
      served_[second][team] += tokens * (until - t) / length;
    if (until <= t)
      break;
    t = until;
  }
}

} // namespace sedgechute::bench
