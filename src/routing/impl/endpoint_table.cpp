#include "routing/impl/endpoint_table.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr double service_gain = 0.05;
constexpr double trust_gain = 0.1;
constexpr double miss_gain = 0.3;
constexpr double hit_gain = 0.3;
constexpr double hit_age_factor = 1.5;
constexpr double settled_age_ms = 2000.0;
constexpr double min_life_ms = 1000.0;
constexpr double max_life_ms = 3'600'000.0;
constexpr double trust_loss_per_missed_event = 0.001;
constexpr double max_trust_loss = 0.2;
constexpr double reported_confidence = 1.0; // confidence if the engine reported the prefix
constexpr double sent_confidence = 0.9;     // confidence after sending the prompt there

enum capability_kind : std::uint64_t { model_kind = 1, version_kind, adapter_kind };

std::vector<std::uint64_t> capabilities_of(const load_report& report) {
  std::vector<std::uint64_t> all;
  for (const model_version& model : report.models) {
    all.push_back(model_capability({model.model, {}}));
    if (!model.version.empty())
      all.push_back(model_capability(model));
  }
  for (const std::string& adapter : report.adapters)
    all.push_back(adapter_capability(adapter));
  std::ranges::sort(all);
  all.erase(std::unique(all.begin(), all.end()), all.end());
  return all;
}

// Engines evict the least recently used prefix, so a prefix is cached up to an age that depends on
// the engine's memory and traffic. A miss bounds that age from above, a hit from below. Misses soon
// after the prefix was sent are ignored: the first request's prompt was not prefilled yet.
void learn_cache_life(double& life_ms, double age_ms, bool missed) {
  if (missed && age_ms > settled_age_ms && age_ms < life_ms)
    life_ms += miss_gain * (age_ms - life_ms);
  const double proved_ms = age_ms * hit_age_factor;
  if (!missed && proved_ms > life_ms)
    life_ms += hit_gain * (proved_ms - life_ms);
  life_ms = std::clamp(life_ms, min_life_ms, max_life_ms);
}

} // namespace

std::uint64_t model_capability(const model_version& model) {
  const std::uint64_t name = stable_hash(model.model.str());
  if (model.version.empty())
    return mix_hash(model_kind, name);
  return mix_hash(mix_hash(version_kind, name), stable_hash(model.version));
}

std::uint64_t adapter_capability(std::string_view adapter) {
  return mix_hash(adapter_kind, stable_hash(adapter));
}

std::size_t reading_urgency(const route_need& need, double unread_tokens,
                            const choice_policy& policy) noexcept {
  const bool is_long = unread_tokens > policy.long_prompt_tokens;
  const bool may_yield = need.kind != work_class::long_running;
  const work_class kind = is_long && may_yield ? less_urgent(need.kind) : need.kind;
  return urgency_of(kind, need.beyond_share);
}

endpoint_table::endpoint_table(choice_policy choice, health_policy health)
    : choice_{choice}, health_{health} {}

std::uint32_t endpoint_table::data_centre_slot(const data_centre_id& id) {
  if (const auto known = known_data_centre(id))
    return *known;
  data_centres_.push_back({id, choice_.default_distance_ms, true});
  return static_cast<std::uint32_t>(data_centres_.size() - 1);
}

std::optional<std::uint32_t> endpoint_table::known_data_centre(const data_centre_id& id) const {
  const auto found = std::ranges::find(data_centres_, id, &data_centre_state::id);
  if (found == data_centres_.end())
    return std::nullopt;
  return static_cast<std::uint32_t>(found - data_centres_.begin());
}

double endpoint_table::distance_ms(std::uint32_t data_centre) const noexcept {
  return data_centres_[data_centre].distance_ms;
}

std::uint32_t endpoint_table::add(const endpoint_info& info) {
  const auto [found, added] =
      slots_.try_emplace(info.id, static_cast<std::uint32_t>(records_.size()));
  const std::uint32_t slot = found->second;
  if (added) {
    records_.emplace_back();
    record& fresh = records_.back();
    fresh.identity = stable_hash(info.id.str());
    fresh.cache_life_ms = choice_.default_cache_life_ms;
  }
  record& known = records_[slot];
  const bool moved = known.info.pool != info.pool || known.info.data_centre != info.data_centre;
  if (known.present && !moved)
    return slot;
  if (known.present)
    remove_from_indexes(known, slot);
  known.info = info;
  known.data_centre = data_centre_slot(info.data_centre);
  if (!known.present) {
    known.present = true;
    known.life = ++lives_;
    known.health = {};
    known.load = {};
    known.load.set_load_source(all_reported_, choice_.reported_use_staleness);
    known.suspects = 0;
  }
  last_resort_.add(slot, known.identity, stable_hash(info.pool.str()), known.capabilities,
                   known.data_centre);
  refresh(slot);
  return slot;
}

void endpoint_table::remove_from_indexes(record& known, std::uint32_t slot) {
  const std::uint64_t pool = stable_hash(known.info.pool.str());
  last_resort_.remove(slot, pool, known.capabilities, known.data_centre);
  if (known.active)
    active_.remove(slot, pool, known.capabilities, known.data_centre);
  known.active = false;
}

void endpoint_table::remove(const endpoint_id& id) {
  record* const known = find(id);
  if (known == nullptr)
    return;
  remove_from_indexes(*known, slots_.at(id));
  known->present = false;
  known->life = 0;
  known->capabilities.clear();
}

std::optional<std::uint32_t> endpoint_table::slot_of(const endpoint_id& id) const {
  const auto found = slots_.find(id);
  if (found == slots_.end() || !records_[found->second].present)
    return std::nullopt;
  return found->second;
}

endpoint_table::record* endpoint_table::find(const endpoint_id& id) {
  const auto slot = slot_of(id);
  return slot ? &records_[*slot] : nullptr;
}

endpoint_table::record* endpoint_table::record_of(const route_attempt& attempt) {
  record& known = records_[attempt.slot];
  return known.present && known.life == attempt.life ? &known : nullptr;
}

void endpoint_table::refresh(std::uint32_t slot) {
  record& known = records_[slot];
  const bool wanted = known.present && known.health.state == endpoint_state::serving &&
                      data_centres_[known.data_centre].reachable;
  if (wanted == known.active)
    return;
  known.active = wanted;
  const std::uint64_t pool = stable_hash(known.info.pool.str());
  if (wanted)
    active_.add(slot, known.identity, pool, known.capabilities, known.data_centre);
  else
    active_.remove(slot, pool, known.capabilities, known.data_centre);
}

void endpoint_table::set_leaving(const endpoint_id& id, bool leaving) {
  record* const known = find(id);
  if (known == nullptr || leaving == (known->health.state == endpoint_state::leaving))
    return;
  const std::uint32_t slot = slots_.at(id);
  const std::uint64_t pool = stable_hash(known->info.pool.str());
  if (leaving) {
    remove_from_indexes(*known, slot);
    known->health.state = endpoint_state::leaving;
    return;
  }
  known->health = {};
  last_resort_.add(slot, known->identity, pool, known->capabilities, known->data_centre);
  refresh(slot);
}

void endpoint_table::set_data_centre(const data_centre_id& id, double distance_ms, bool reachable) {
  data_centre_state& state = data_centres_[data_centre_slot(id)];
  state.distance_ms = distance_ms;
  if (state.reachable == reachable)
    return;
  state.reachable = reachable;
  for (std::uint32_t slot = 0; slot < records_.size(); ++slot)
    refresh(slot);
}

void endpoint_table::apply_report(const endpoint_id& id, const load_report& report, time_ms now) {
  record* const known = find(id);
  if (known == nullptr)
    return;
  std::vector<std::uint64_t> capabilities = capabilities_of(report);
  if (capabilities != known->capabilities) {
    const std::uint32_t slot = slots_.at(id);
    const bool indexed = known->health.state != endpoint_state::leaving;
    remove_from_indexes(*known, slot);
    known->capabilities = std::move(capabilities);
    if (indexed)
      last_resort_.add(slot, known->identity, stable_hash(known->info.pool.str()),
                       known->capabilities, known->data_centre);
    refresh(slot);
  }
  known->load.apply(report, now);
}

void endpoint_table::apply_cache_event(const endpoint_id& id, std::uint64_t block, bool stored,
                                       time_ms now) {
  const auto slot = slot_of(id);
  if (!slot)
    return;
  if (stored)
    prefixes_.learn_one(block, *slot, reported_confidence, now);
  else
    prefixes_.forget_one(block, *slot);
}

// Missed events may have been evictions, so the confidence in the endpoint's cached prefixes drops
// slightly until hits raise it again.
void endpoint_table::note_cache_gap(const endpoint_id& id, std::uint64_t missed) {
  record* const known = find(id);
  if (known == nullptr)
    return;
  const double doubt =
      std::min(max_trust_loss, static_cast<double>(missed) * trust_loss_per_missed_event);
  known->event_trust = std::max(1.0 - max_trust_loss, known->event_trust - doubt);
}

route_attempt endpoint_table::start(const route_choice& choice, const route_need& need,
                                    time_ms now) {
  record& known = records_[choice.slot];
  route_attempt attempt;
  attempt.slot = choice.slot;
  attempt.life = known.life;
  attempt.unread = need.prompt_tokens - std::min(need.prompt_tokens, choice.predicted_cached);
  attempt.predicted_cached = choice.predicted_cached;
  attempt.cached_age = choice.cached_age;
  attempt.expected_ms = choice.expected_wait_ms;
  attempt.urgency = reading_urgency(need, attempt.unread, choice_);
  attempt.reason = choice.reason;
  attempt.suspect = need.suspect != 0;
  attempt.started = now;
  known.suspects += attempt.suspect ? 1 : 0;
  known.load.started(attempt.urgency, attempt.unread, now);
  prefixes_.learn(need.blocks, choice.slot, sent_confidence, now);
  note_sent_prefix(need.blocks, known.info.id);
  note_use_changed(choice.slot, true);
  return attempt;
}

void endpoint_table::first_token(route_attempt& attempt, time_ms now) {
  record* const known = record_of(attempt);
  if (known == nullptr || attempt.prompt_read)
    return;
  attempt.prompt_read = true;
  attempt.first_token_at = now;
  known->load.prompt_read(attempt.urgency, attempt.unread);
  note_use_changed(attempt.slot, false);
  note_first_token(known->health, static_cast<double>((now - attempt.started).count()),
                   attempt.expected_ms, now);
}

void endpoint_table::learn_cache(record& known, const route_attempt& attempt,
                                 const route_need& need, std::uint32_t cached, time_ms now) {
  if (need.prompt_tokens == 0 || need.blocks.empty())
    return;
  const double share =
      std::min(1.0, static_cast<double>(cached) / static_cast<double>(need.prompt_tokens));
  if (attempt.reason == choice_reason::home)
    home_trust_ += trust_gain * (share - home_trust_);
  if (attempt.reason == choice_reason::cached && attempt.predicted_cached > 0) {
    const bool missed = cached * 2 < attempt.predicted_cached;
    learn_cache_life(known.cache_life_ms, static_cast<double>(attempt.cached_age.count()), missed);
    if (!missed)
      known.event_trust += trust_gain * (1.0 - known.event_trust);
  }
  prefixes_.learn(need.blocks, attempt.slot, reported_confidence, now);
}

void endpoint_table::end(const route_attempt& attempt, const route_need& need,
                         const attempt_end& result, time_ms now) {
  record* const known = record_of(attempt);
  if (known == nullptr)
    return;
  if (!attempt.prompt_read)
    known->load.prompt_read(attempt.urgency, attempt.unread);
  known->load.ended(now);
  note_use_changed(attempt.slot, false);
  if (attempt.suspect)
    --known->suspects;
  if (result.outcome == attempt_outcome::connect_failed) {
    if (note_connect_failure(known->health, health_, now))
      refresh(attempt.slot);
    return;
  }
  if (result.outcome == attempt_outcome::cancelled)
    return;
  const bool failed = result.outcome == attempt_outcome::failed;
  note_outcome(known->health, failed, now);
  if (failed)
    return;
  const auto duration = static_cast<double>((now - attempt.started).count());
  const auto [usual, first] = service_ms_.try_emplace(need.pool, duration);
  if (!first)
    usual->second += service_gain * (duration - usual->second);
  if (attempt.prompt_read && result.output_tokens > 1) {
    const auto writing = static_cast<double>((now - attempt.first_token_at).count());
    note_pace(known->health, writing / (result.output_tokens - 1), now);
  }
  if (result.cached_tokens)
    learn_cache(*known, attempt, need, *result.cached_tokens, now);
}

void endpoint_table::reachable(const endpoint_id& id) {
  record* const known = find(id);
  if (known != nullptr && note_reachable(known->health))
    refresh(slots_.at(id));
}

void endpoint_table::unreachable(const endpoint_id& id, time_ms now) {
  record* const known = find(id);
  if (known != nullptr && note_connect_failure(known->health, health_, now))
    refresh(slots_.at(id));
}

std::size_t endpoint_table::review(time_ms now) {
  absl::flat_hash_map<pool_id, std::vector<endpoint_health*>> pools;
  for (record& known : records_)
    if (known.present && known.health.state != endpoint_state::leaving)
      pools[known.info.pool].push_back(&known.health);
  std::size_t changed = 0;
  for (auto& [pool, members] : pools)
    changed += review_peers(members, health_, now);
  if (changed > 0)
    for (std::uint32_t slot = 0; slot < records_.size(); ++slot)
      refresh(slot);
  return changed;
}

double endpoint_table::service_ms(const pool_id& pool) const {
  const auto found = service_ms_.find(pool);
  return found == service_ms_.end() ? choice_.default_service_ms : found->second;
}

endpoint_table::pool_load endpoint_table::load_of(const pool_id& pool) const {
  pool_load sum;
  for (const record& known : records_) {
    if (!known.present || known.info.pool != pool)
      continue;
    ++sum.by_state[static_cast<std::size_t>(known.health.state)];
    if (!known.active)
      continue;
    ++sum.endpoints;
    sum.places += known.load.last_report().max_running;
    sum.at_endpoints += known.load.at_endpoint();
  }
  return sum;
}

} // namespace sedgechute
