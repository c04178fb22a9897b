#include "fleet_router.hpp"

#include "wire/impl/routing_codec.hpp"

#include <algorithm>
#include <set>

namespace sedgechute::bench {

namespace {

const pool_id pool{"lm"};
constexpr std::uint64_t poll_ticks = 25;
constexpr std::uint64_t exchange_ticks = 50;
constexpr double use_delay_ms = 3.0;
constexpr double usual_cached = 0.5;
constexpr double most_usual_cached = 2000.0;
constexpr double news_delay_ms = 3.0;
constexpr double max_output = 4000.0;

team_id team_name(std::uint32_t team) {
  return team_id{std::string{"team-"}.append(std::to_string(team))};
}

endpoint_id replica_name(std::uint32_t number) {
  return endpoint_id{std::string{"lm-"}.append(std::to_string(number))};
}

data_centre_id centre_name(std::uint32_t number) {
  return data_centre_id{std::string{"dc-"}.append(std::to_string(number))};
}

// The first token must come within the patience, so a start must come some time before.
time_ms time_at_endpoint(time_ms patience) {
  constexpr std::int64_t part = 8;
  return time_ms{patience.count() / part};
}

} // namespace

fleet_router::host::host(const scenario& s, std::uint32_t n)
    : number{n}, here{centre_name(n % s.who.data_centres)},
      self{host_id{std::string{"host-"}.append(std::to_string(n))}, n + 1},
      random{s.seed * 1000 + n}, shares{pool, self}, next_event(s.who.replicas) {
  for (std::uint32_t i = 0; i < s.who.data_centres; ++i)
    table.set_data_centre(centre_name(i), i == n % s.who.data_centres ? 0.2 : 1.5, true);
  for (std::uint32_t i = 0; i < s.who.replicas; ++i)
    table.add({replica_name(i), pool, centre_name(i % s.who.data_centres)});
  for (std::uint32_t t = 0; t < s.who.team_weights.size(); ++t) {
    team_limits limits;
    limits.weight = s.who.team_weights[t];
    limits.max_queued = 1000;
    queue.set_team(team_name(t), limits, time_ms{0});
  }
}

fleet_router::fleet_router(const scenario& s) : scenario_{s} {
  for (std::uint32_t i = 0; i < s.who.hosts; ++i)
    hosts_.push_back(std::make_unique<host>(s, i));
}

route_need fleet_router::need_of(const driver& world, std::uint32_t request, const host& at) {
  const arrival& a = world.arrivals()[request];
  route_need need;
  need.pool = pool;
  need.kind = a.kind;
  need.prompt_tokens = a.prompt_tokens;
  need.output_tokens = a.output_tokens;
  need.blocks = a.blocks;
  if (at.suspects.standing(a.content) == content_standing::suspect)
    need.suspect = a.content;
  return need;
}

void fleet_router::arrived(driver& world, std::uint32_t request) {
  const arrival& a = world.arrivals()[request];
  host& at = *hosts_[a.host];
  if (at.suspects.standing(a.content) == content_standing::quarantined) {
    world.refuse(request, error_kind::quarantined);
    return;
  }
  const double output = at.queue.expected_output(team_name(a.team), a.kind, max_output);
  const double cached = std::min(a.prompt_tokens * usual_cached, most_usual_cached);
  const double cost = (a.prompt_tokens - cached) * prompt_price + output;
  const time_ms latest_start = world.now() + a.patience - time_at_endpoint(a.patience);
  const admission answer =
      at.queue.enqueue(team_name(a.team), {request, a.kind, cost, latest_start}, world.now());
  if (!answer.admitted) {
    world.refuse(request, answer.refusal);
    return;
  }
  pump(world, at);
}

void fleet_router::pump(driver& world, host& at) {
  for (const std::uint64_t late : at.queue.expire(world.now()))
    world.refuse(static_cast<std::uint32_t>(late), error_kind::deadline_unreachable);
  queue_filter filter;
  while (const auto head = at.queue.head(world.now(), filter)) {
    const auto request = static_cast<std::uint32_t>(head->ticket);
    route_need need = need_of(world, request, at);
    need.beyond_share = head->beyond_share;
    need.only_with_room = !at.queue.within_credit();
    const auto choice = choose_endpoint(at.table, need, at.here, at.random, world.now());
    if (!choice)
      break;
    if (!may_start(at.queue, *head, *choice, {})) {
      if (!narrow(filter, *head))
        break;
      continue;
    }
    flight going;
    going.grant = *at.queue.dequeue(world.now(), filter);
    start(world, at, request, std::move(going), *choice, need);
  }
}

void fleet_router::start(driver& world, host& at, std::uint32_t request, flight&& going,
                         const route_choice& choice, const route_need& need) {
  const arrival& a = world.arrivals()[request];
  going.attempt = at.table.start(choice, need, world.now());
  going.replica = choice.slot;
  going.life = world.replicas()[choice.slot].life;
  going.suspect = need.suspect != 0;
  ++going.attempts;
  at.queue.adjust(going.grant,
                  cost_of(a, choice.predicted_cached,
                          at.queue.expected_output(team_name(a.team), a.kind, max_output)),
                  world.now());
  flight& kept = at.flights[request] = std::move(going);
  kept.run = world.send(request, choice.slot, kept.attempts, engine_priority(kept.attempt.urgency));
}

void fleet_router::first_token(driver& world, const run& r) {
  host& at = *hosts_[world.arrivals()[r.request].host];
  const auto found = at.flights.find(r.request);
  if (found == at.flights.end())
    return;
  at.table.first_token(found->second.attempt, world.now());
}

void fleet_router::completed(driver& world, const run& r) {
  const arrival& a = world.arrivals()[r.request];
  host& at = *hosts_[a.host];
  const auto found = at.flights.find(r.request);
  if (found == at.flights.end())
    return;
  const flight done = std::move(found->second);
  at.flights.erase(found);
  at.table.end(done.attempt, need_of(world, r.request, at),
               {attempt_outcome::completed, a.output_tokens, r.cached}, world.now());
  at.queue.settle(done.grant, cost_of(a, r.cached, a.output_tokens), world.now());
  at.queue.learn_output(team_name(a.team), a.kind, a.output_tokens);
  at.budget.note_success(world.now());
  at.suspects.note_survived(a.content, world.now() - done.attempt.started, true, world.now());
  send_news(world, at);
  pump(world, at);
}

void fleet_router::note_crash(driver& world, host& at, std::uint32_t replica, std::uint64_t life) {
  std::vector<cut_run> cut;
  for (const auto& [request, going] : at.flights)
    if (going.replica == replica && going.life == life)
      cut.push_back({world.arrivals()[request].content, world.now() - going.attempt.started});
  at.suspects.note_death(replica_name(replica), life, cut, world.now());
  send_news(world, at);
}

void fleet_router::failed(driver& world, const run& r, bool connected) {
  const arrival& a = world.arrivals()[r.request];
  host& at = *hosts_[a.host];
  const auto found = at.flights.find(r.request);
  if (found == at.flights.end())
    return;
  flight& going = found->second;
  if (connected)
    note_crash(world, at, going.replica, going.life);
  attempt_end result;
  result.outcome = connected ? attempt_outcome::failed : attempt_outcome::connect_failed;
  at.table.end(going.attempt, need_of(world, r.request, at), result, world.now());
  going.avoid.push_back(replica_name(going.replica));

  failed_attempt failure;
  failure.stage = !connected      ? attempt_stage::connecting
                  : r.first_token ? attempt_stage::streaming
                                  : attempt_stage::sent;
  failure.idempotent = a.idempotent;
  failure.attempts = going.attempts;
  failure.deadline = time_ms{static_cast<std::int64_t>(a.at_ms)} + a.patience;
  const retry_decision decision = decide_retry(failure, {}, at.budget, at.random, world.now());
  if (decision.action == retry_action::refuse) {
    give_up(world, at, r.request, decision.refusal, r.first_token);
    return;
  }
  const std::uint32_t request = r.request;
  world.later(static_cast<double>(decision.wait.count()),
              [this, &world, &at, request] { retry(world, at, request); });
}

void fleet_router::retry(driver& world, host& at, std::uint32_t request) {
  flight& going = at.flights.at(request);
  if (at.suspects.standing(world.arrivals()[request].content) == content_standing::quarantined) {
    give_up(world, at, request, error_kind::quarantined, false);
    return;
  }
  route_need need = need_of(world, request, at);
  need.avoid = going.avoid;
  need.beyond_share = going.grant.beyond_share;
  const auto choice = choose_endpoint(at.table, need, at.here, at.random, world.now());
  if (!choice) {
    give_up(world, at, request, error_kind::no_capacity, false);
    return;
  }
  flight again = std::move(going);
  start(world, at, request, std::move(again), *choice, need);
}

void fleet_router::give_up(driver& world, host& at, std::uint32_t request, error_kind kind,
                           bool streamed) {
  const work_grant grant = at.flights.at(request).grant;
  at.queue.settle(grant, grant.cost, world.now());
  at.flights.erase(request);
  if (streamed)
    world.cut(request);
  else
    world.refuse(request, kind);
  pump(world, at);
}

void fleet_router::poll(driver& world, host& at) {
  const double visible = world.now_ms() - scenario_.lag_ms;
  for (std::uint32_t i = 0; i < world.replicas().size(); ++i) {
    const replica& r = world.replicas()[i];
    if (!r.up) {
      at.table.unreachable(replica_name(i), world.now());
      continue;
    }
    at.table.reachable(replica_name(i));
    if (r.snapshots.empty())
      continue;
    load_report report = r.snapshots.front().second;
    report.age = time_ms{static_cast<std::int64_t>(world.now_ms() - r.snapshots.front().first)};
    at.table.apply_report(replica_name(i), report, world.now());
    std::uint64_t& next = at.next_event[i];
    std::uint64_t missed = 0;
    for (; next < r.events.size() && r.events[next].at_ms <= visible; ++next) {
      const cache_event& event = r.events[next];
      // Whole seconds of events are lost, the same ones for every host.
      const auto second = static_cast<std::uint64_t>(event.at_ms / 1000.0);
      const double draw = static_cast<double>(mix_hash(second, i) >> 11U) * 0x1.0p-53;
      if (draw < scenario_.lost_events)
        ++missed;
      else
        at.table.apply_cache_event(replica_name(i), event.block, event.stored, world.now());
    }
    if (missed > 0)
      at.table.note_cache_gap(replica_name(i), missed);
  }
}

void fleet_router::tell_use(driver& world, host& at) {
  const auto report = at.table.due_use(at.self, world.now());
  if (!report)
    return;
  routing_message message;
  message.use = *report;
  count_sent(message);
  for (const auto& other : hosts_)
    if (other.get() != &at)
      world.later(use_delay_ms, [&world, to = other.get(), report] {
        to->table.apply_use(*report, world.now());
      });
}

void fleet_router::count_sent(const routing_message& message) {
  const auto copies = static_cast<double>(hosts_.size() - 1);
  sent_bytes_ += static_cast<double>(to_wire(message).ByteSizeLong()) * copies;
  sent_messages_ += copies;
}

void fleet_router::exchange(driver& world, host& at) {
  at.table.review(world.now());
  std::vector<incarnation> others;
  for (const auto& other : hosts_)
    if (other.get() != &at)
      others.push_back(other->self);
  at.table.set_senders(others, world.now());
  at.suspects.expire(world.now());
  const share_report report = at.shares.measure(at.queue, world.now());
  routing_message message;
  message.shares.push_back(report);
  count_sent(message);
  for (const auto& other : hosts_)
    if (other.get() != &at)
      other->shares.merge(report, world.now());
  at.shares.apply_plan(at.queue, at.table.load_of(pool).places, world.now());
}

void fleet_router::send_news(driver& world, host& from) {
  const quarantine_news news = from.suspects.take_news();
  if (news.empty())
    return;
  for (const auto& other : hosts_) {
    host* const to = other.get();
    if (to == &from)
      continue;
    world.later(news_delay_ms, [this, &world, to, news] {
      to->suspects.merge(news, world.now());
      send_news(world, *to);
    });
  }
}

void fleet_router::tick(driver& world) {
  ++ticks_;
  for (const auto& each : hosts_) {
    host& at = *each;
    if ((ticks_ + at.number) % poll_ticks == 0)
      poll(world, at);
    if ((ticks_ + at.number) % exchange_ticks == 0)
      exchange(world, at);
    tell_use(world, at);
    pump(world, at);
    const bool out = !at.table.records()[faulty_replica].active;
    if (out && at.out_since < 0.0 && world.now_ms() >= scenario_.fault_at_ms)
      at.out_since = world.now_ms();
  }
}

double fleet_router::out_of_choice_at_ms() const {
  double last = -1.0;
  for (const auto& each : hosts_) {
    if (each->out_since < 0.0)
      return -1.0;
    last = std::max(last, each->out_since);
  }
  return last;
}

std::size_t fleet_router::wrongly_quarantined(const driver& world) const {
  std::set<std::uint64_t> poison;
  for (const arrival& a : world.arrivals())
    if (a.poison)
      poison.insert(a.content);
  std::set<std::uint64_t> wrong;
  for (const auto& each : hosts_)
    for (const quarantine_record& record : each->suspects.records(world.now()))
      if (!record.lifted && !poison.contains(record.content))
        wrong.insert(record.content);
  return wrong.size();
}

} // namespace sedgechute::bench
