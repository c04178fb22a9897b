#include "routing/impl/choose_endpoint.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

namespace sedgechute {

namespace {

constexpr std::size_t max_candidates = 48;
constexpr double ms_per_s = 1000.0;
constexpr double tie_break_ms = 2.0; // hosts with the same data must not all choose the same
constexpr std::uint32_t tries_per_draw = 4;
constexpr double avoided_penalty_ms = 1e7;
constexpr double no_room_penalty_ms = 1e5;
constexpr double min_changes = 0.25;
constexpr double min_reserve = 0.25;
constexpr double tolerated_slowness = 1.0;

struct candidate {
  std::uint32_t slot{};
  choice_reason reason{choice_reason::random};
  double cached_tokens{};
  time_ms cached_age{};
};

/// The request and values derived from it.
struct choice_query {
  const endpoint_table& table;
  const route_need& need;
  std::uint64_t model{};
  std::uint64_t adapter{};
  double tokens_per_block{};
  double service_ms{};
  time_ms now{};
};

class candidate_list {
 public:
  void add(const candidate& added) {
    const auto end = items_.begin() + static_cast<std::ptrdiff_t>(count_);
    if (count_ == items_.size())
      return;
    if (std::any_of(items_.begin(), end, [&](const candidate& c) { return c.slot == added.slot; }))
      return;
    items_[count_++] = added;
  }
  [[nodiscard]] std::span<const candidate> all() const { return {items_.data(), count_}; }
  [[nodiscard]] std::size_t size() const noexcept { return count_; }

 private:
  std::array<candidate, max_candidates> items_{};
  std::size_t count_{};
};

bool has(const endpoint_table::record& known, std::uint64_t capability) {
  return capability == 0 ||
         std::binary_search(known.capabilities.begin(), known.capabilities.end(), capability);
}

bool fits(const choice_query& query, std::uint32_t slot) {
  const endpoint_table::record& known = query.table.records()[slot];
  const endpoint_role role = known.load.last_report().role;
  const bool role_fits = query.need.role == endpoint_role::any || role == endpoint_role::any ||
                         role == query.need.role;
  return known.present && known.info.pool == query.need.pool && role_fits &&
         has(known, query.model) && has(known, query.adapter);
}

struct estimate {
  double queue_ms{};
  double total_ms{};
};

// Mean of max(0, -x) for a normally distributed x with this mean and a standard deviation of 1.
double normal_loss(double mean) {
  constexpr double inverse_root_two_pi = 0.3989422804014327;
  constexpr double inverse_root_two = 0.7071067811865475;
  const double density = inverse_root_two_pi * std::exp(-0.5 * mean * mean);
  return density - mean * 0.5 * std::erfc(mean * inverse_root_two);
}

// The number of free places is outdated. Requests have started and ended at random since, so its
// standard deviation grows with the square root of their number. The expected wait is computed from
// the mean number of requests in excess of the places.
double wait_for_place_ms(const choice_query& query, const load_estimate& load, double room) {
  const double places = load.last_report().max_running;
  const double stale_ms = static_cast<double>(load.staleness(query.now).count());
  const double changes = 2.0 * load.at_endpoint() * std::max(0.0, stale_ms) / query.service_ms;
  const double deviation = std::sqrt(std::clamp(changes, min_changes, places * places));
  const double excess = deviation * normal_loss((room - 0.5) / deviation);
  return excess * query.service_ms / places;
}

estimate estimate_of(const choice_query& query, const candidate& c) {
  const endpoint_table::record& known = query.table.records()[c.slot];
  const load_report& report = known.load.last_report();
  const choice_policy& policy = query.table.policy();
  const double rate =
      report.prompt_tokens_per_s > 0.0 ? report.prompt_tokens_per_s : policy.default_prompt_rate;
  const double unread = std::max(0.0, query.need.prompt_tokens - c.cached_tokens);
  const double places = report.max_running;
  const double room = known.load.room();

  estimate result;
  if (places > 0.0)
    result.queue_ms = wait_for_place_ms(query, known.load, room);
  const std::size_t urgency = reading_urgency(query.need, unread, policy);
  const double before = known.load.unread_before(urgency);
  // An engine that prefills a less urgent prompt finishes the current chunk first.
  const double after = known.load.unread_before(urgency_count - 1) - before;
  const double chunk = std::min(after, policy.chunk_tokens) / 2.0;
  result.queue_ms += (before + chunk) / rate * ms_per_s;
  result.total_ms = result.queue_ms + unread / rate * ms_per_s;
  return result;
}

double score_of(const choice_query& query, const candidate& c, const estimate& expected) {
  const endpoint_table::record& known = query.table.records()[c.slot];
  const choice_policy& policy = query.table.policy();
  const double places = std::max(1.0, static_cast<double>(known.load.last_report().max_running));
  const double crowding = std::min(1.0, known.load.at_endpoint() / places);
  // A replica that was much slower than expected lately is expected to be slow again. A factor of
  // up to two is not penalised: unknown requests of other hosts slow down any replica that much.
  const double slower = std::max(1.0, slowness(known.health) - tolerated_slowness);
  double score = expected.total_ms * slower + crowding * policy.crowding_ms +
                 2.0 * query.table.distance_ms(known.data_centre);
  if (std::ranges::find(query.need.avoid, known.info.id) != query.need.avoid.end())
    score += avoided_penalty_ms;
  if (query.need.only_with_room && known.load.room() < 1.0)
    score += no_room_penalty_ms;
  // If an endpoint dies with two suspects on it, the culprit cannot be identified.
  if (query.need.suspect != 0 && known.suspects > 0)
    score += avoided_penalty_ms;
  return score;
}

void draw(const choice_query& query, const endpoint_index::bucket& from, std::uint32_t wanted,
          random_source& random, candidate_list& found) {
  std::uint32_t drawn = 0;
  for (std::uint32_t i = 0; i < wanted * tries_per_draw && drawn < wanted; ++i) {
    const std::uint32_t slot = from.members[random.below(from.members.size())];
    if (!fits(query, slot))
      continue;
    found.add({slot, choice_reason::random, 0.0, {}});
    ++drawn;
  }
}

void add_all(const choice_query& query, const endpoint_index::group& group, candidate_list& found) {
  for (const endpoint_index::bucket& bucket : group.buckets)
    for (const std::uint32_t slot : bucket.members)
      if (fits(query, slot))
        found.add({slot, choice_reason::random, 0.0, {}});
}

// Probability that a prefix is still cached, by its age as a multiple of the learned lifetime: 1 up
// to half the lifetime, 0 beyond one and a half.
double still_cached(double lives) {
  return std::clamp(1.5 - lives, 0.0, 1.0);
}

// Adds endpoints that probably cache a prefix; confidence decreases with age.
void add_cached(const choice_query& query, time_ms now, candidate_list& found) {
  std::array<prefix_table::match, prefix_table::max_matches> matches;
  const std::size_t count = query.table.prefixes().lookup(query.need.blocks, now, matches);
  for (std::size_t i = 0; i < count; ++i) {
    const prefix_table::match& match = matches[i];
    const endpoint_table::record& known = query.table.records()[match.endpoint];
    if (!known.active || !fits(query, match.endpoint))
      continue;
    const double age_ms = static_cast<double>(match.age.count());
    const double trust =
        match.confidence * known.event_trust * still_cached(age_ms / known.cache_life_ms);
    found.add({match.endpoint, choice_reason::cached, trust * match.blocks * query.tokens_per_block,
               match.age});
  }
}

// Adds the endpoints on which consistent hashing places the prompt's prefix. All hosts compute the
// same one, so a conversation whose turns enter through different hosts still hits its cache. The
// prefix lengths are powers of two, so that they change rarely as a prompt grows.
void add_homes(const choice_query& query, const endpoint_index::bucket& local,
               candidate_list& found) {
  const std::size_t blocks = query.need.blocks.size();
  if (blocks == 0)
    return;
  const std::size_t whole = std::bit_floor(blocks);
  for (const std::size_t length : {whole, whole / 2}) {
    if (length == 0)
      continue;
    const std::uint32_t slot = local.home_of(query.need.blocks[length - 1]);
    if (fits(query, slot))
      found.add({slot,
                 choice_reason::home,
                 query.table.home_trust() * static_cast<double>(length) * query.tokens_per_block,
                 {}});
  }
}

// All hosts place a suspect by the same hash, so that two hosts rarely run two suspects on one
// endpoint.
void add_suspect_homes(const choice_query& query, const endpoint_index::group& group,
                       candidate_list& found) {
  for (const endpoint_index::bucket& bucket : group.buckets) {
    const std::uint32_t slot = bucket.home_of(query.need.suspect);
    if (fits(query, slot))
      found.add({slot, choice_reason::home, 0.0, {}});
  }
}

void add_random(const choice_query& query, const endpoint_index::group& group,
                const endpoint_index::bucket* local, random_source& random, candidate_list& found) {
  const choice_policy& policy = query.table.policy();
  const bool is_long =
      query.need.prompt_tokens >= policy.long_prompt_tokens || query.need.suspect != 0;
  const std::uint32_t near = is_long ? policy.long_prompt_candidates : policy.random_candidates;
  const std::size_t far = local == nullptr ? group.buckets.size() : group.buckets.size() - 1;
  if (local != nullptr)
    draw(query, *local, near, random, found);
  if (far == 0)
    return;
  const std::uint32_t far_wanted = local == nullptr ? near : policy.remote_candidates;
  for (std::uint32_t i = 0; i < far_wanted; ++i) {
    std::uint64_t pick = random.below(far);
    for (const endpoint_index::bucket& bucket : group.buckets) {
      if (&bucket == local || pick-- != 0)
        continue;
      draw(query, bucket, 1, random, found);
      break;
    }
  }
}

choice_query make_query(const endpoint_table& table, const route_need& need, time_ms now) {
  choice_query query{table, need, 0, 0, 0.0, 0.0, now};
  if (!need.model.model.empty())
    query.model = model_capability(need.model);
  if (!need.adapter.empty())
    query.adapter = adapter_capability(need.adapter);
  if (!need.blocks.empty())
    query.tokens_per_block =
        std::min(static_cast<double>(table.policy().max_tokens_per_block),
                 static_cast<double>(need.prompt_tokens) / static_cast<double>(need.blocks.size()));
  query.service_ms = table.service_ms(need.pool);
  return query;
}

candidate_list candidates_of(const choice_query& query, const endpoint_index::group& group,
                             const data_centre_id& here, random_source& random, time_ms now) {
  candidate_list found;
  const auto here_slot = query.table.known_data_centre(here);
  const endpoint_index::bucket* const local = here_slot ? group.in(*here_slot) : nullptr;
  if (query.need.suspect != 0) {
    add_suspect_homes(query, group, found);
  } else {
    add_cached(query, now, found);
    if (local != nullptr)
      add_homes(query, *local, found);
  }
  const choice_policy& policy = query.table.policy();
  const std::uint32_t compare_all =
      query.need.only_with_room ? policy.look_for_room_up_to : policy.compare_all_up_to;
  if (group.size <= compare_all)
    add_all(query, group, found);
  else
    add_random(query, group, local, random, found);
  return found;
}

std::optional<route_choice> best_of(const choice_query& query, const candidate_list& found,
                                    random_source& random) {
  std::optional<route_choice> best;
  double best_score = 0.0;
  for (const candidate& c : found.all()) {
    const estimate expected = estimate_of(query, c);
    const double score = score_of(query, c, expected) + random.unit() * tie_break_ms;
    if (best && score >= best_score)
      continue;
    best_score = score;
    const endpoint_table::record& known = query.table.records()[c.slot];
    best = route_choice{c.slot,
                        known.info.id,
                        c.reason,
                        expected.total_ms + 2.0 * query.table.distance_ms(known.data_centre),
                        expected.queue_ms,
                        static_cast<std::uint32_t>(c.cached_tokens),
                        c.cached_age,
                        known.load.room(),
                        static_cast<std::uint32_t>(found.size())};
  }
  if (best && found.size() == 1)
    best->reason = choice_reason::only;
  return best;
}

} // namespace

std::optional<route_choice> choose_endpoint(const endpoint_table& table, const route_need& need,
                                            const data_centre_id& here, random_source& random,
                                            time_ms now) {
  const choice_query query = make_query(table, need, now);
  const std::uint64_t pool = stable_hash(need.pool.str());
  const std::uint64_t capability = query.adapter != 0 ? query.adapter : query.model;
  for (const endpoint_index* const index : {&table.active(), &table.last_resort()}) {
    const endpoint_index::group* const group = index->find(pool, capability);
    if (group == nullptr)
      continue;
    const candidate_list found = candidates_of(query, *group, here, random, now);
    if (auto best = best_of(query, found, random))
      return best;
  }
  return std::nullopt;
}

// Interactive requests start at once only if some places are free, and load reports are too old to
// show where. Less urgent work therefore leaves a few places free at each endpoint, and uses them
// only after it has waited: the pool is full then, and this host's credit bounds its part.
//
// A team beyond its share leaves places to teams within theirs. Otherwise its flood would fill all
// places and interactive requests of every other team would wait for one. It leaves none if no team
// is within its share, because the places would stay unused.
bool may_start(const fair_queue& queue, const queue_head& head, const route_choice& choice,
               const start_policy& policy) noexcept {
  if (choice.queue_ms > policy.max_queue_ms[static_cast<std::size_t>(head.kind)])
    return false;
  const auto kind = static_cast<std::size_t>(head.kind);
  const double others = std::min(1.0, queue.entitled_part() / policy.full_reserve_at);
  const double reserve = others * head.excess;
  if (choice.room >=
      1.0 + policy.reserved_places[kind] + policy.reserved_places_beyond_share * reserve)
    return true;
  const bool crowded = choice.room < 1.0 + policy.reserved_places_beyond_share / 2.0;
  if (reserve > min_reserve && crowded)
    return false;
  const double credit_part = 1.0 - policy.reserved_credit_beyond_share * reserve;
  return queue.within_credit(credit_part) && head.waited >= policy.wait_for_place[kind];
}

bool narrow(queue_filter& filter, const queue_head& head) noexcept {
  if (head.beyond_share) {
    filter.beyond_share = false;
    return true;
  }
  if (head.kind == work_class::interactive)
    return false;
  filter.last = more_urgent(head.kind);
  return true;
}

bool may_start(const fair_queue& queue, const route_choice& choice) noexcept {
  return queue.within_credit() || choice.room >= 1.0;
}

} // namespace sedgechute
