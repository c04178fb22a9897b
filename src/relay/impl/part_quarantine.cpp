#include "relay/impl/part_quarantine.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sedgechute {

namespace {

template <typename Row>
void append_bounded(std::vector<Row>& to, Row row, std::size_t most) {
  if (to.size() >= most)
    to.erase(to.begin());
  to.push_back(std::move(row));
}

/// \returns how far `at` is on the way from one time to another
double share_of(time_ms at, time_ms from, time_ms to) noexcept {
  return static_cast<double>((at - from).count()) / static_cast<double>((to - from).count());
}

/// \returns a number from 0 to 1, 1 not included
double unit_interval(std::uint64_t hash) noexcept {
  constexpr int mantissa_bits = 53;
  return std::ldexp(static_cast<double>(hash >> (64 - mantissa_bits)), -mantissa_bits);
}

double sum_of(const auto& deaths) {
  double sum = 0;
  for (const auto& one : deaths)
    sum += one.weight;
  return sum;
}

bool blames(const auto& deaths, endpoint_hash incarnation) {
  return std::ranges::any_of(
      deaths, [&](const auto& one) { return one.incarnation == incarnation && one.weight > 0; });
}

// Of several runs with a part on one endpoint, one that went on beyond the moment of a crash shows
// that the part did not cause the death.
double combined_weight(double a, double b) noexcept {
  return a < 0 || b < 0 ? std::min(a, b) : std::max(a, b);
}

} // namespace

double blame_weight(const part_policy& policy, time_ms written) noexcept {
  if (written <= policy.no_blame)
    return std::min(share_of(written, policy.no_blame, policy.full_blame), 1.0);
  return std::max(most_exoneration * share_of(written, policy.no_blame, policy.harmless_after),
                  most_exoneration);
}

bool part_quarantine::is_harmless(part_fingerprint part, time_ms now) const {
  const auto found = harmless_.find(part);
  return found != harmless_.end() && now - found->second.at < policy_.answer_lifetime;
}

void part_quarantine::make_room_for_suspect() {
  suspects_.erase(std::ranges::min_element(suspects_, {}, [](const auto& one) {
    return std::pair{one.second.size(), one.second.back().at};
  }));
}

// Drops the oldest quarter, so that the search is rare.
void part_quarantine::make_room_for_harmless() {
  std::vector<time_ms> times;
  times.reserve(harmless_.size());
  for (const auto& [part, known] : harmless_)
    times.push_back(known.at);
  const auto quarter = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 4);
  std::ranges::nth_element(times, quarter);
  absl::erase_if(harmless_, [&](const auto& one) { return one.second.at <= *quarter; });
}

bool part_quarantine::add_death(part_fingerprint part, const death& added, time_ms now) {
  if (now - added.at > policy_.evidence_lifetime || is_harmless(part, now))
    return false;
  if (suspects_.size() >= policy_.max_suspects && !suspects_.contains(part))
    make_room_for_suspect();
  death_list& deaths = suspects_[part];
  const auto known = std::ranges::find(deaths, added.incarnation, &death::incarnation);
  if (known != deaths.end()) {
    const double before = known->weight;
    known->weight = combined_weight(before, added.weight);
    return known->weight != before;
  }
  if (deaths.size() >= policy_.max_deaths)
    return false;
  deaths.push_back(added);
  return true;
}

void part_quarantine::note_death(endpoint_hash incarnation, std::span<const cut_parts> runs,
                                 time_ms now) {
  absl::flat_hash_map<part_fingerprint, double> weights;
  for (const cut_parts& run : runs) {
    const double weight = blame_weight(policy_, run.written);
    for (const part_fingerprint part : run.parts) {
      const auto [at, first] = weights.try_emplace(part, weight);
      if (!first)
        at->second = combined_weight(at->second, weight);
    }
  }
  part_death told{incarnation, {}, {}};
  for (const auto& [part, weight] : weights)
    if (add_death(part, {incarnation, weight, now, true}, now) &&
        told.blamed.size() < policy_.max_blamed)
      told.blamed.push_back({part, weight});
  if (!told.blamed.empty())
    append_bounded(news_.deaths, std::move(told), policy_.max_outgoing);
}

void part_quarantine::tell_harmless(part_fingerprint part, time_ms now) {
  const auto found = harmless_.find(part);
  if (found == harmless_.end())
    return;
  harmless_state& known = found->second;
  if (known.told != time_ms{} && now - known.told < policy_.answer_repeat)
    return;
  known.told = now;
  append_bounded(news_.harmless, {part, now - known.at}, policy_.max_outgoing);
}

void part_quarantine::add_harmless(part_fingerprint part, time_ms at, time_ms now) {
  if (now - at >= policy_.answer_lifetime)
    return;
  if (harmless_.size() >= policy_.max_harmless && !harmless_.contains(part))
    make_room_for_harmless();
  harmless_state& known = harmless_[part];
  known.at = std::max(known.at, at);
  suspects_.erase(part);
}

void part_quarantine::note_harmless(std::span<const part_fingerprint> parts, time_ms now) {
  for (const part_fingerprint part : parts) {
    const bool suspected = suspects_.contains(part);
    add_harmless(part, now, now);
    if (suspected)
      tell_harmless(part, now);
  }
}

void part_quarantine::note_trial(part_fingerprint part, time_ms at) {
  if (trials_.size() >= policy_.max_suspects && !trials_.contains(part))
    return;
  const auto [found, added] = trials_.try_emplace(part, at);
  found->second = std::max(found->second, at);
}

void part_quarantine::merge(const part_news& news, time_ms now) {
  for (const part_trial& one : news.trials)
    note_trial(one.part, now - one.age);
  for (const harmless_part& one : news.harmless)
    add_harmless(one.part, now - one.age, now);
  for (const part_death& one : news.deaths)
    for (const blamed_part& blamed : one.blamed) {
      (void)add_death(blamed.part, {one.incarnation, blamed.weight, now - one.age}, now);
      if (is_harmless(blamed.part, now))
        tell_harmless(blamed.part, now);
    }
}

part_news part_quarantine::take_news() {
  return std::exchange(news_, {});
}

// A part that is in many requests is cut again and again by another one that crashes endpoints.
// Deaths of the other one alone, as in its trials, tell nothing about this one.
part_quarantine::death_list part_quarantine::unexplained(part_fingerprint part) const {
  const death_list& all = suspects_.at(part);
  death_list deaths = all;
  const double own = sum_of(all);
  const time_ms last = std::ranges::max_element(all, {}, &death::at)->at;
  for (const auto& [other, theirs] : suspects_) {
    if (other == part || static_cast<double>(theirs.size()) < policy_.deaths)
      continue; // no weight is above 1
    double sum = 0;
    for (const death& one : theirs)
      sum += one.at <= last || blames(all, one.incarnation) ? one.weight : 0;
    if (sum < policy_.deaths || sum < own + policy_.explaining_lead)
      continue;
    std::erase_if(deaths, [&, &list = theirs](const death& one) {
      return one.weight > 0 && blames(list, one.incarnation);
    });
  }
  return deaths;
}

std::optional<time_ms> part_quarantine::sufficed_at(const death_list& deaths) const {
  std::vector<const death*> by_time;
  by_time.reserve(deaths.size());
  for (const death& one : deaths)
    by_time.push_back(&one);
  std::ranges::sort(by_time, {}, [](const death* one) { return one->at; });
  double sum = 0;
  std::optional<time_ms> reached;
  for (const death* one : by_time) {
    sum += one->weight;
    if (sum < policy_.deaths)
      reached.reset();
    else if (!reached)
      reached = one->at;
  }
  return reached;
}

// Parts that were cut together each time cannot be told apart until one of them is answered in
// another request.
bool part_quarantine::has_other_explanation(part_fingerprint part, const death_list& deaths,
                                            std::span<const part_fingerprint> parts) const {
  return std::ranges::any_of(suspects_, [&](const auto& other) {
    return other.first != part && std::ranges::find(parts, other.first) == parts.end() &&
           std::ranges::all_of(deaths, [&](const death& one) {
             return one.weight <= 0 || blames(other.second, one.incarnation);
           });
  });
}

std::optional<time_ms>
part_quarantine::suspected_since(part_fingerprint part,
                                 std::span<const part_fingerprint> parts) const {
  const auto found = suspects_.find(part);
  if (found == suspects_.end() || sum_of(found->second) < policy_.deaths)
    return std::nullopt;
  const death_list deaths = unexplained(part);
  const auto sufficed = sufficed_at(deaths);
  if (!sufficed || has_other_explanation(part, deaths, parts))
    return std::nullopt;
  return sufficed;
}

// After the settling time no run is left that was sent before the part was refused, so a later
// death is that of a trial.
bool part_quarantine::has_failed_trial(part_fingerprint part, time_ms suspected) const {
  return std::ranges::any_of(suspects_.at(part), [&](const death& one) {
    return one.weight >= policy_.failing_weight && one.at > suspected + policy_.settling_time;
  });
}

std::optional<part_refusal> part_quarantine::refusal(std::span<const part_fingerprint> parts,
                                                     time_ms now) const {
  std::optional<part_refusal> refusal;
  for (const part_fingerprint part : parts) {
    const auto suspected = suspected_since(part, parts);
    if (!suspected)
      continue;
    const time_ms verdict = *suspected + policy_.settling_time + policy_.first_trial_window;
    if (now < verdict && !has_failed_trial(part, *suspected)) {
      refusal = part_refusal{part, false, verdict - now};
      continue;
    }
    const time_ms first = std::ranges::min_element(suspects_.at(part), {}, &death::at)->at;
    const time_ms until = first + policy_.evidence_lifetime;
    return part_refusal{part, true, std::max(until - now, time_ms{1})};
  }
  return refusal;
}

// A part that crashes endpoints must not cost many, so each trial that fails makes the next wait
// longer.
time_ms part_quarantine::trial_wait(part_fingerprint part, time_ms suspected) const {
  time_ms last_death;
  for (const death& one : suspects_.at(part))
    if (one.weight >= policy_.failing_weight)
      last_death = std::max(last_death, one.at);
  time_ms wait = policy_.settling_time;
  if (last_death > suspected + wait)
    wait = policy_.second_trial_after;
  while (last_death > suspected + wait && wait < policy_.evidence_lifetime)
    wait = time_ms{wait.count() * policy_.trial_growth};
  return wait;
}

// It is unknown how many requests have the part and at which hosts they arrive. As the share of
// hosts grows, one of them begins in time, and few begin beside it before its result is known.
bool part_quarantine::may_try(part_fingerprint part, time_ms suspected, time_ms now) const {
  const auto last_trial = trials_.find(part);
  if (last_trial != trials_.end() && now - last_trial->second < policy_.trial_repeat)
    return false;
  const time_ms wait = trial_wait(part, suspected);
  const time_ms waited = now - suspected - wait;
  if (waited < time_ms{})
    return false;
  const double elapsed = static_cast<double>(waited.count()) / static_cast<double>(wait.count());
  const double share = std::exp2(policy_.trial_doublings * elapsed) / static_cast<double>(hosts_);
  return unit_interval(mix_hash(part, self_)) < share;
}

// Other suspects in the request would make the result ambiguous.
std::optional<part_fingerprint>
part_quarantine::begin_trial(std::span<const part_fingerprint> parts, time_ms now) {
  std::optional<part_fingerprint> tried;
  for (const part_fingerprint part : parts) {
    if (!suspects_.contains(part))
      continue;
    const auto suspected = suspected_since(part, parts);
    if (tried || !suspected || !may_try(part, *suspected, now))
      return std::nullopt;
    tried = part;
  }
  if (!tried)
    return std::nullopt;
  note_trial(*tried, now);
  append_bounded(news_.trials, {*tried, time_ms{}}, policy_.max_outgoing);
  return tried;
}

void part_quarantine::set_hosts(std::uint64_t self, std::size_t hosts) noexcept {
  self_ = self;
  hosts_ = hosts;
}

std::vector<part_fingerprint> part_quarantine::quarantined(time_ms now) const {
  std::vector<part_fingerprint> all;
  for (const auto& [part, deaths] : suspects_)
    if (const auto found = refusal(std::span{&part, 1}, now); found && found->quarantined)
      all.push_back(part);
  return all;
}

std::size_t part_quarantine::deaths_of(part_fingerprint part) const {
  const auto found = suspects_.find(part);
  return found == suspects_.end() ? 0 : found->second.size();
}

// A record of a part that is known to be harmless would mislead hosts that start later.
std::vector<part_record> part_quarantine::due_records(time_ms now) const {
  std::vector<part_record> due;
  for (const auto& [part, count] : logged_)
    if (count > 0 && is_harmless(part, now) && due.size() < policy_.max_due_records)
      due.push_back({part, {}});
  for (const auto& [part, deaths] : suspects_) {
    const auto logged = logged_.find(part);
    if (deaths.size() < policy_.recorded_deaths || due.size() >= policy_.max_due_records ||
        (logged != logged_.end() && logged->second >= deaths.size()))
      continue;
    const bool may_write = std::ranges::any_of(
        deaths, [&](const death& one) { return one.own || now - one.at >= policy_.record_after; });
    if (!may_write)
      continue;
    part_record record{part, {}};
    for (const death& one : deaths)
      record.deaths.push_back({one.incarnation, one.weight, now - one.at});
    due.push_back(std::move(record));
  }
  return due;
}

void part_quarantine::merge_recorded(std::span<const part_record> records, time_ms now) {
  for (const part_record& record : records)
    for (const recorded_part_death& one : record.deaths)
      (void)add_death(record.part, {one.incarnation, one.weight, now - one.age}, now);
  note_recorded(records);
}

void part_quarantine::note_recorded(std::span<const part_record> records) {
  if (logged_.size() + records.size() > policy_.max_suspects)
    logged_.clear(); // some are recorded once more
  for (const part_record& record : records) {
    if (record.deaths.empty())
      logged_.erase(record.part);
    else
      logged_[record.part] = record.deaths.size();
  }
}

part_news part_quarantine::snapshot(time_ms now) const {
  std::vector<std::pair<part_fingerprint, const death_list*>> order;
  for (const auto& [part, deaths] : suspects_)
    order.emplace_back(part, &deaths);
  std::ranges::sort(order, std::ranges::greater{}, [](const auto& one) {
    return std::pair{one.second->size(), one.second->back().at};
  });
  if (order.size() > policy_.max_outgoing)
    order.resize(policy_.max_outgoing);
  part_news all;
  for (const auto& [part, known] : harmless_)
    if (known.told != time_ms{} && now - known.at < policy_.answer_lifetime)
      append_bounded(all.harmless, {part, now - known.at}, policy_.max_outgoing);
  absl::flat_hash_map<endpoint_hash, std::size_t> rows;
  for (const auto& [part, deaths] : order)
    for (const death& one : *deaths) {
      const auto [at, added] = rows.try_emplace(one.incarnation, all.deaths.size());
      if (added)
        all.deaths.push_back({one.incarnation, now - one.at, {}});
      std::vector<blamed_part>& blamed = all.deaths[at->second].blamed;
      if (blamed.size() < policy_.max_blamed)
        blamed.push_back({part, one.weight});
    }
  return all;
}

void part_quarantine::expire(time_ms now) {
  absl::erase_if(harmless_,
                 [&](const auto& one) { return now - one.second.at >= policy_.answer_lifetime; });
  absl::erase_if(trials_,
                 [&](const auto& one) { return now - one.second >= policy_.trial_repeat; });
  absl::erase_if(suspects_, [&](auto& one) {
    std::erase_if(one.second,
                  [&](const death& old) { return now - old.at > policy_.evidence_lifetime; });
    return one.second.empty();
  });
}

} // namespace sedgechute
