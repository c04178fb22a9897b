#include "other_routers.hpp"

#include <algorithm>

namespace sedgechute::bench {

namespace {

constexpr std::uint32_t most_tries = 3;
constexpr std::uint32_t tokens_per_block = 256;
constexpr double crowding_ms = 60.0;
constexpr double max_output = 4000.0;

team_id team_name(std::uint32_t team) {
  return team_id{std::string{"team-"}.append(std::to_string(team))};
}

} // namespace

naive_router::naive_router(const scenario& s) : replicas_{s.who.replicas}, next_(s.who.hosts) {}

void naive_router::arrived(driver& world, std::uint32_t request) {
  send_next(world, request);
}

void naive_router::send_next(driver& world, std::uint32_t request) {
  const arrival& a = world.arrivals()[request];
  const std::uint32_t attempt = ++tries_[request];
  std::uint32_t& next = next_[a.host];
  next = (next + 1) % replicas_;
  world.send(request, next, attempt, 0);
  world.later(static_cast<double>(a.patience.count()), [this, &world, request, attempt] {
    const bool waiting = world.is_open(request) && world.fates()[request].first_token_ms < 0.0;
    if (!waiting || tries_[request] != attempt)
      return;
    if (attempt < most_tries)
      send_next(world, request);
    else
      world.refuse(request, error_kind::deadline_unreachable);
  });
}

void naive_router::first_token(driver& /*world*/, const run& /*r*/) {}
void naive_router::completed(driver& /*world*/, const run& /*r*/) {}

void naive_router::failed(driver& world, const run& r, bool /*connected*/) {
  if (!world.is_open(r.request))
    return;
  if (r.first_token)
    world.cut(r.request);
  else if (tries_[r.request] < most_tries)
    send_next(world, r.request);
  else
    world.refuse(r.request, error_kind::endpoint_failed);
}

oracle_router::oracle_router(const scenario& s) : sent_(s.who.replicas), unread_(s.who.replicas) {
  for (std::uint32_t t = 0; t < s.who.team_weights.size(); ++t) {
    team_limits limits;
    limits.weight = s.who.team_weights[t];
    limits.max_queued = 9000;
    queue_.set_team(team_name(t), limits, time_ms{0});
  }
}

void oracle_router::arrived(driver& world, std::uint32_t request) {
  const arrival& a = world.arrivals()[request];
  const double cost = cost_of(a, 0, a.output_tokens);
  const admission answer = queue_.enqueue(
      team_name(a.team), {request, a.kind, cost, world.now() + a.patience}, world.now());
  if (!answer.admitted)
    world.refuse(request, answer.refusal);
  else
    pump(world);
}

std::optional<std::uint32_t> oracle_router::best_for(const driver& world, const arrival& a) const {
  std::optional<std::uint32_t> best;
  double best_ms = 0.0;
  for (std::uint32_t i = 0; i < sent_.size(); ++i) {
    const replica& r = world.replicas()[i];
    if (!r.up || sent_[i] >= r.speed.places)
      continue;
    double tokens =
        a.prompt_tokens - std::min(a.prompt_tokens, r.cache.hits(a.blocks) * tokens_per_block);
    for (const auto& [request, unread] : unread_[i])
      if (world.arrivals()[request].kind <= a.kind)
        tokens += unread;
    const double crowded = static_cast<double>(sent_[i]) / r.speed.places;
    const double ms = tokens / r.speed.read_per_ms * r.slow_factor + crowded * crowding_ms +
                      (r.slow_factor - 1.0) * 1000.0;
    if (!best || ms < best_ms) {
      best = i;
      best_ms = ms;
    }
  }
  return best;
}

void oracle_router::pump(driver& world) {
  for (const std::uint64_t late : queue_.expire(world.now()))
    world.refuse(static_cast<std::uint32_t>(late), error_kind::deadline_unreachable);
  while (const auto head = queue_.head(world.now())) {
    const auto request = static_cast<std::uint32_t>(head->ticket);
    const arrival& a = world.arrivals()[request];
    const auto best = best_for(world, a);
    if (!best)
      break;
    grants_[request] = *queue_.dequeue(world.now());
    const std::uint32_t cached =
        std::min(a.prompt_tokens, world.replicas()[*best].cache.hits(a.blocks) * tokens_per_block);
    unread_[*best][request] = a.prompt_tokens - cached;
    ++sent_[*best];
    world.send(request, *best, 1, engine_priority(urgency_of(a.kind, false)));
  }
}

void oracle_router::first_token(driver& /*world*/, const run& r) {
  unread_[r.replica].erase(r.request);
}

void oracle_router::completed(driver& world, const run& r) {
  const auto found = grants_.find(r.request);
  if (found == grants_.end())
    return;
  const arrival& a = world.arrivals()[r.request];
  --sent_[r.replica];
  queue_.settle(found->second, cost_of(a, r.cached, a.output_tokens), world.now());
  grants_.erase(found);
  pump(world);
}

void oracle_router::failed(driver& world, const run& r, bool /*connected*/) {
  const auto found = grants_.find(r.request);
  if (found == grants_.end())
    return;
  const arrival& a = world.arrivals()[r.request];
  --sent_[r.replica];
  unread_[r.replica].erase(r.request);
  if (r.first_token) {
    queue_.settle(found->second, found->second.cost, world.now());
    world.cut(r.request);
  } else {
    queue_.put_back(found->second, world.now() + a.patience, world.now());
  }
  grants_.erase(found);
  pump(world);
}

void oracle_router::tick(driver& world) {
  pump(world);
}

} // namespace sedgechute::bench
