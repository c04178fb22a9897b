#include "pool/impl/world.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute::pool {

namespace {

// Callers give up a stream after a silence of the longest of these.
constexpr double least_patience_ms = 2000;
constexpr double aims_of_patience = 4;
constexpr double pauses_of_patience = 8;

double patience_of(const traffic_kind& kind) noexcept {
  return std::max(
      {least_patience_ms, aims_of_patience * kind.aim_ms, pauses_of_patience * kind.pause_ms});
}

int urgency_of_kind(const traffic_kind& kind) {
  route on;
  on.latency_target = time_ms{static_cast<std::int64_t>(kind.aim_ms)};
  return urgency_of(on);
}

} // namespace

world::world(const deployment& of, std::vector<arrival> arrivals, placement_policy& way,
             const world_options& options)
    : of_{of}, arrivals_{std::move(arrivals)}, way_{way}, options_{options},
      fates_(arrivals_.size()), requests_(arrivals_.size()),
      readings_(of.kinds.size()), open_{arrivals_.size()} {
  for (std::uint32_t i = 0; i < of_.engines; ++i) {
    engines_.emplace_back(of_.sheet, of_.slowness[i % of_.slowness.size()]);
    places_.emplace_back().zone = i % static_cast<std::uint32_t>(of_.zones.size());
  }
  for (std::uint32_t zone_number = 0; zone_number < of_.zones.size(); ++zone_number)
    host_zones_.insert(host_zones_.end(), of_.zones[zone_number].hosts, zone_number);
  for (const traffic_kind& kind : of_.kinds)
    urgencies_.push_back(urgency_of_kind(kind));
  for (std::uint32_t i = 0; i < arrivals_.size(); ++i)
    requests_[i].asked = {i, &arrivals_[i], {}};
}

void world::at(double when, what kind, std::uint32_t subject, std::uint32_t send) {
  happenings_.push({when, orders_++, kind, subject, send});
}

void world::play() {
  for (std::uint32_t i = 0; i < arrivals_.size(); ++i) {
    requests_[i].tried_at_ms = arrivals_[i].at_ms;
    at(arrivals_[i].at_ms + of_.ways.caller + of_.ways.host, what::arrive, i);
  }
  const auto hosts = static_cast<double>(host_zones_.size());
  for (std::uint32_t host = 0; host < host_zones_.size(); ++host) {
    const double phase = host / hosts; // hosts do not start at one moment
    at(phase * options_.message_interval_ms, what::tell, host);
    at(phase * options_.poll_interval_ms, what::poll, host);
  }
  while (open_ > 0 && !happenings_.empty()) {
    const happening one = happenings_.top();
    happenings_.pop();
    now_ = one.at;
    way_.now_is(now_);
    handle(one);
  }
}

void world::handle(const happening& one) {
  switch (one.kind) {
  case what::arrive:
    return arrive(one.subject);
  case what::reach:
    return current(one.subject, one.send) ? reach(one.subject) : void();
  case what::join:
    return current(one.subject, one.send) ? join(one.subject) : void();
  case what::step:
    return end_step(one.subject);
  case what::hear_start:
    return current(one.subject, one.send) ? hear_start(one.subject) : void();
  case what::hear_end:
    return hear_end(one.subject);
  case what::wait_over:
    return current(one.subject, one.send) ? leave(one.subject) : void();
  case what::cancel:
    engines_[one.send].cancel(one.subject);
    return;
  case what::tell:
    return tell(one.subject);
  case what::poll:
    way_.poll(one.subject, views());
    return at(now_ + options_.poll_interval_ms, what::poll, one.subject);
  }
}

void world::arrive(std::uint32_t request) {
  if (fates_[request].end != fate_kind::open)
    return;
  progress& of = requests_[request];
  of.asked.avoid.clear();
  ++of.tries;
  place(request);
}

void world::place(std::uint32_t request) {
  progress& of = requests_[request];
  const auto chosen = way_.choose(of.asked, views());
  if (!chosen)
    return refuse_here(request);
  fate& end = fates_[request];
  end.engine = chosen->engine;
  ++end.sends;
  of.placed = true;
  of.at_engine = false;
  of.fetch_from = chosen->fetch_from;
  const arrival& what_asked = arrivals_[request];
  of.unread_on_the_way =
      what_asked.prompt_tokens -
      std::min<std::uint64_t>(what_asked.prompt_tokens,
                              engines_[end.engine].kept_tokens(what_asked.pieces));
  ++places_[end.engine].on_the_way;
  places_[end.engine].unread_on_the_way += of.unread_on_the_way;
  const double reaches = now_ + way(what_asked.host, end.engine);
  at(reaches, what::reach, request, end.sends);
  const traffic_kind& kind = of_.kinds[what_asked.kind];
  const double left_at =
      std::min(of.tried_at_ms + patience_of(kind), what_asked.at_ms + kind.deadline_ms);
  at(std::max(left_at, now_), what::wait_over, request, end.sends);
}

void world::leave_the_way(std::uint32_t request) {
  engine_place& to = places_[fates_[request].engine];
  --to.on_the_way;
  to.unread_on_the_way -= std::exchange(requests_[request].unread_on_the_way, 0);
  requests_[request].at_engine = true;
}

// What another engine keeps beyond what this one keeps is fetched first.
void world::reach(std::uint32_t request) {
  const arrival& of = arrivals_[request];
  const std::uint32_t to = fates_[request].engine;
  const auto from = requests_[request].fetch_from;
  const std::uint64_t here = engines_[to].kept_tokens(of.pieces);
  const std::uint64_t there = from ? engines_[*from].kept_tokens(of.pieces) : 0;
  if (there <= here)
    return at(now_ + of_.sheet.first_ms, what::join, request, fates_[request].sends);
  const auto tokens = static_cast<double>(there - here);
  const double begins = std::max(now_, places_[*from].link_free_ms);
  const double ends = begins + of_.sheet.fetch_setup_ms + tokens / of_.sheet.tokens_fetched_a_ms;
  places_[*from].link_free_ms = ends;
  readings_[of.kind].fetched += there - here;
  at(ends + of_.sheet.first_ms, what::join, request, fates_[request].sends);
}

void world::join(std::uint32_t request) {
  const arrival& of = arrivals_[request];
  const std::uint32_t to = fates_[request].engine;
  const auto from = requests_[request].fetch_from;
  leave_the_way(request);
  if (from)
    engines_[to].store(of.pieces, engines_[*from].kept_pieces(of.pieces));
  engine_run run;
  run.request = request;
  run.urgency = urgencies_[of.kind];
  run.pieces = of.pieces;
  run.prompt_tokens = of.prompt_tokens;
  run.output_tokens = of.output_tokens;
  if (!engines_[to].accept(std::move(run)))
    return not_run(request);
  begin_step(to);
}

// The engine's word reaches the host, which tries elsewhere.
void world::not_run(std::uint32_t request) {
  const fate& end = fates_[request];
  release(request, send_end::not_run);
  progress& of = requests_[request];
  of.asked.avoid.push_back(end.engine);
  if (of.asked.avoid.size() >= options_.most_sends)
    return refuse_here(request);
  place(request);
}

void world::refuse_here(std::uint32_t request) {
  progress& of = requests_[request];
  const arrival& asked = arrivals_[request];
  const traffic_kind& kind = of_.kinds[asked.kind];
  const double left = asked.at_ms + kind.deadline_ms - now_;
  if (of.tries <= kind.retries && options_.retry_after_ms <= left / 3) {
    const double again = now_ + of_.ways.caller + options_.retry_after_ms;
    ++fates_[request].sends; // whatever is planned for the earlier try is void
    of.tried_at_ms = again;
    return at(again + of_.ways.caller + of_.ways.host, what::arrive, request);
  }
  fates_[request].end = fate_kind::refused;
  fates_[request].ended_ms = now_;
  --open_;
}

void world::begin_step(std::uint32_t engine_number) {
  if (places_[engine_number].in_step)
    return;
  const double takes = engines_[engine_number].begin_step(words_);
  take_words(engine_number);
  note_load(engine_number);
  if (takes <= 0)
    return;
  places_[engine_number].in_step = true;
  at(now_ + takes, what::step, engine_number);
}

void world::end_step(std::uint32_t engine_number) {
  places_[engine_number].in_step = false;
  engines_[engine_number].end_step(words_);
  take_words(engine_number);
  begin_step(engine_number);
}

void world::take_words(std::uint32_t engine_number) {
  for (const engine_word& word : std::exchange(words_, {}))
    switch (word.said) {
    case engine_word::what::first_token:
      break;
    case engine_word::what::event:
      take_event(engine_number, word.request, false);
      break;
    case engine_word::what::end:
      take_event(engine_number, word.request, true);
      break;
    case engine_word::what::read_piece:
    case engine_word::what::kept_piece:
      take_piece(word);
      break;
    case engine_word::what::preempted:
      ++preemptions_;
      ++fates_[word.request].preempted;
      break;
    }
}

void world::take_piece(const engine_word& word) {
  const arrival& of = arrivals_[word.request];
  if (word.piece >= of.shared_pieces())
    return;
  const prompt_piece& piece = of.pieces[word.piece];
  reading& read = readings_[of.kind];
  read.shared += piece.tokens;
  const auto [used, first] = used_.try_emplace(piece.key, now_);
  if (word.said == engine_word::what::kept_piece)
    read.kept += piece.tokens;
  else if (!first && now_ - used->second <= options_.used_lately_ms)
    read.read_again += piece.tokens;
  used->second = now_;
}

void world::take_event(std::uint32_t engine_number, std::uint32_t request, bool last) {
  fate& end = fates_[request];
  if (end.end != fate_kind::open)
    return; // on its way to be cancelled
  const arrival& of = arrivals_[request];
  progress& so_far = requests_[request];
  const double heard = now_ + way(of.host, engine_number);
  const double seen = heard + of_.ways.caller;
  if (so_far.last_event_ms < 0) {
    end.first_event_ms = seen - of.at_ms;
    at(heard, what::hear_start, request, end.sends);
    at(of.at_ms + of_.kinds[of.kind].deadline_ms, what::wait_over, request, end.sends);
  } else {
    end.longest_pause_ms = std::max(end.longest_pause_ms, seen - so_far.last_event_ms);
  }
  so_far.last_event_ms = seen;
  if (end.longest_pause_ms > patience_of(of_.kinds[of.kind]))
    return leave(request);
  if (!last)
    return;
  end.end = fate_kind::answered;
  end.ended_ms = seen;
  --open_;
  at(heard, what::hear_end, request);
}

void world::hear_start(std::uint32_t request) {
  if (std::exchange(requests_[request].started, true))
    return;
  way_.started(requests_[request].asked, told(fates_[request].engine));
}

void world::hear_end(std::uint32_t request) {
  if (!requests_[request].started)
    hear_start(request);
  release(request, send_end::answered);
}

void world::release(std::uint32_t request, send_end how) {
  if (std::exchange(requests_[request].placed, false))
    way_.ended(requests_[request].asked, how, requests_[request].started);
}

// Planned when the request was placed, for the wait for its first event, and again with that event,
// for its deadline.
void world::leave(std::uint32_t request) {
  fate& end = fates_[request];
  progress& of = requests_[request];
  const double deadline = arrivals_[request].at_ms + of_.kinds[arrivals_[request].kind].deadline_ms;
  const bool silent = end.longest_pause_ms > patience_of(of_.kinds[arrivals_[request].kind]);
  if (of.last_event_ms >= 0 && now_ < deadline && !silent)
    return; // it waits for the end now
  end.end = fate_kind::left;
  end.ended_ms = now_;
  --open_;
  release(request, send_end::caller_left);
  if (of.at_engine)
    at(now_ + options_.cancel_ms, what::cancel, request, end.engine);
  else
    leave_the_way(request);
}

void world::tell(std::uint32_t host) {
  for (const std::string& bytes : way_.due_messages(host))
    for (std::uint32_t other = 0; other < host_zones_.size(); ++other)
      if (other != host)
        way_.take_message(other, bytes);
  at(now_ + options_.message_interval_ms, what::tell, host);
}

void world::note_load(std::uint32_t engine_number) {
  auto& told = places_[engine_number].told;
  const engine_load load = engines_[engine_number].load();
  if (told.empty() || told.back().second != load)
    told.emplace_back(now_, load);
  while (told.size() > 1 && told[1].first <= now_ - of_.sheet.report_lag_ms)
    told.pop_front();
}

engine_load world::told(std::uint32_t engine_number) const {
  engine_load load;
  for (const auto& [when, then] : places_[engine_number].told)
    if (when <= now_ - of_.sheet.report_lag_ms)
      load = then;
  return load;
}

std::vector<engine_view> world::views() const {
  std::vector<engine_view> all;
  for (std::uint32_t i = 0; i < engines_.size(); ++i)
    all.push_back({&engines_[i], told(i), places_[i].on_the_way, places_[i].unread_on_the_way,
                   places_[i].zone});
  return all;
}

double world::way(std::uint32_t host, std::uint32_t engine_number) const {
  return host_zones_[host] == places_[engine_number].zone ? of_.ways.within_zone
                                                          : of_.ways.between_zones;
}

} // namespace sedgechute::pool
