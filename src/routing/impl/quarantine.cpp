#include "routing/impl/quarantine.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// A run that lasts this much longer than the one that was cut off is past the point at which the
// content would have crashed its endpoint.
constexpr std::int64_t survival_factor = 2;
constexpr time_ms survival_margin{2000};

bool same_incarnation(const auto& a, const auto& b) {
  return a.life == b.life && a.endpoint == b.endpoint;
}

bool includes(const auto& runs, const auto& incarnation) {
  return std::ranges::any_of(runs,
                             [&](const auto& run) { return same_incarnation(run, incarnation); });
}

} // namespace

quarantine_table::quarantine_table(quarantine_policy policy) : policy_{policy} {}

bool quarantine_table::completed_lately(content_fingerprint content, time_ms now) const {
  const auto found = completed_.find(content);
  return found != completed_.end() && now - found->second < policy_.evidence_lifetime;
}

void quarantine_table::note_completed(content_fingerprint content, time_ms at) {
  const auto [found, added] = completed_.try_emplace(content, at);
  found->second = std::max(found->second, at);
  if (!added)
    return;
  if (completed_order_.size() < policy_.completed_kept) {
    completed_order_.push_back(content);
    return;
  }
  completed_.erase(completed_order_[completed_next_]);
  completed_order_[completed_next_] = content;
  completed_next_ = (completed_next_ + 1) % completed_order_.size();
}

void quarantine_table::note_end_of(const endpoint_id& endpoint, std::uint64_t life, time_ms at) {
  const death ended{endpoint, life, at};
  if (includes(deaths_, ended))
    return;
  if (deaths_.size() >= policy_.max_deaths)
    deaths_.erase(std::ranges::min_element(deaths_, {}, &death::at));
  deaths_.push_back(ended);
}

// Drops the suspect with the fewest deaths, of these the one whose last death is oldest. An outage
// leaves thousands of suspects with one death each, which must not hide content that goes on
// crashing endpoints.
void quarantine_table::make_room_for_suspect() {
  const auto weight = [](const auto& suspect) {
    return std::pair{suspect.second.size(), suspect.second.back().at};
  };
  const auto least = std::ranges::min_element(suspects_, {}, weight);
  suspects_.erase(least);
}

void quarantine_table::make_room_for_verdict() {
  const auto first =
      std::ranges::min_element(verdicts_, {}, [](const auto& given) { return given.second.until; });
  verdicts_.erase(first);
}

bool quarantine_table::add_run(content_fingerprint content, const ended_run& run) {
  if (suspects_.size() >= policy_.max_suspects && !suspects_.contains(content))
    make_room_for_suspect();
  suspect_runs& runs = suspects_[content];
  if (includes(runs, run))
    return false;
  runs.push_back(run);
  return true;
}

void quarantine_table::note_death(const endpoint_id& endpoint, std::uint64_t life,
                                  std::span<const cut_run> runs, time_ms now) {
  note_end_of(endpoint, life, now);
  for (const cut_run& run : runs) {
    // Content that many callers send runs on most endpoints at any time, and so on every one that
    // dies. A recent completed run distinguishes it from content that crashes endpoints.
    if (completed_lately(run.content, now))
      continue;
    if (add_run(run.content, {endpoint, life, run.ran_for, now}))
      news_.deaths.push_back({run.content, endpoint, life, run.ran_for, time_ms{0}});
  }
  for (const cut_run& run : runs)
    evaluate(run.content, now);
  reevaluate_recent(now);
}

// A completed run shows that the content is harmless, also where it is quarantined: its endpoints
// died of something else.
void quarantine_table::acquit(content_fingerprint content, time_ms now) {
  suspects_.erase(content);
  if (is_quarantined(content))
    set_verdict(content, true, {}, now);
}

void quarantine_table::note_survived(content_fingerprint content, time_ms ran_for, bool completed,
                                     time_ms now) {
  if (completed)
    note_completed(content, now);
  const auto found = suspects_.find(content);
  if (found == suspects_.end())
    return;
  const bool past_all = std::ranges::all_of(found->second, [&](const ended_run& run) {
    return ran_for > run.ran_for * survival_factor + survival_margin;
  });
  if (!completed && (!past_all || is_quarantined(content)))
    return;
  acquit(content, now);
  news_.acquittals.push_back({content, time_ms{0}});
}

// A death is attributed to the content with the most deaths of those that ran on the endpoint: the
// others were cut off by it. Runs are excluded rather than dropped, as this may change with the
// next death.
quarantine_table::suspect_runs
quarantine_table::unattributed_runs(content_fingerprint content) const {
  const auto found = suspects_.find(content);
  if (found == suspects_.end())
    return {};
  const std::size_t own = found->second.size();
  suspect_runs runs = found->second;
  for (const auto& other : suspects_) {
    const suspect_runs& evidence = other.second;
    if (evidence.size() < own || other.first == content ||
        (evidence.size() == own && !is_quarantined(other.first)))
      continue;
    std::erase_if(runs, [&](const ended_run& run) { return includes(evidence, run); });
  }
  return runs;
}

std::vector<const quarantine_table::suspect_runs*> quarantine_table::explanations() const {
  std::vector<const suspect_runs*> found;
  for (const auto& [content, runs] : suspects_)
    if (runs.size() >= policy_.explaining_deaths)
      found.push_back(&runs);
  return found;
}

// An outage of a rack or a data centre ends many endpoints within seconds, and a request that was
// retried within it ran on several of them. Such an outage is detected by endpoints that died at
// the same time without running this content; deaths with the content are attributed to the
// content. Several such contents may crash endpoints at once, so deaths that another content
// explains show no outage either.
bool quarantine_table::is_part_of_outage(const ended_run& run, const suspect_runs& runs,
                                         const std::vector<const suspect_runs*>& others) const {
  const auto unexplained = std::ranges::count_if(deaths_, [&](const death& d) {
    const time_ms apart = std::max(d.at, run.at) - std::min(d.at, run.at);
    return apart <= policy_.outage_window && !includes(runs, d) &&
           std::ranges::none_of(others,
                                [&](const suspect_runs* other) { return includes(*other, d); });
  });
  return static_cast<std::size_t>(unexplained) + 1 >= policy_.outage_deaths;
}

quarantine_table::suspect_runs quarantine_table::excluding_outages(const suspect_runs& runs) const {
  if (runs.size() >= policy_.endpoints_lost_in_outages)
    return runs;
  const std::vector<const suspect_runs*> others = explanations();
  suspect_runs ended;
  std::ranges::copy_if(runs, std::back_inserter(ended),
                       [&](const ended_run& run) { return !is_part_of_outage(run, runs, others); });
  return ended;
}

// Two contents that ran together on every endpoint that died cannot be distinguished. Both stay
// suspects and run on separate endpoints from then on, so the next death identifies one of them.
bool quarantine_table::is_sole_candidate(content_fingerprint content,
                                         const suspect_runs& ended) const {
  return std::ranges::none_of(suspects_, [&](const auto& other) {
    return other.first != content && other.second.size() >= ended.size() &&
           std::ranges::all_of(ended,
                               [&](const ended_run& run) { return includes(other.second, run); });
  });
}

// The deaths of an outage do not all become known at once.
time_ms quarantine_table::settles_in(const suspect_runs& runs, time_ms now) const {
  std::vector<time_ms> times;
  for (const ended_run& run : runs)
    times.push_back(run.at);
  std::ranges::sort(times);
  const time_ms settled = times.at(policy_.endpoints_lost - 1) + policy_.settling_time;
  return std::max(settled - now, time_ms{});
}

quarantine_table::assessment quarantine_table::assess(content_fingerprint content,
                                                      time_ms now) const {
  const auto found = suspects_.find(content);
  if (found == suspects_.end() || found->second.size() < policy_.endpoints_lost)
    return {};
  const suspect_runs runs = unattributed_runs(content);
  if (runs.size() < policy_.endpoints_lost)
    return {};
  const bool certain = runs.size() >= policy_.endpoints_lost_in_outages;
  // After a revocation, hosts that do not know of the outage would quarantine it again and again.
  if (!certain && verdicts_.contains(content))
    return {};
  const suspect_runs ended = excluding_outages(runs);
  if (ended.size() < policy_.endpoints_lost || !is_sole_candidate(content, ended))
    return {};
  assessment result{true, certain ? time_ms{} : settles_in(runs, now), {}};
  for (const ended_run& run : ended)
    result.endpoints.push_back(run.endpoint);
  return result;
}

void quarantine_table::set_verdict(content_fingerprint content, bool lifted,
                                   std::vector<endpoint_id> endpoints, time_ms now) {
  if (verdicts_.size() >= policy_.max_verdicts && !verdicts_.contains(content))
    make_room_for_verdict();
  verdict& set = verdicts_[content];
  set.record.content = content;
  ++set.record.version;
  set.record.lifted = lifted;
  const bool certain = lifted || endpoints.size() >= policy_.endpoints_lost_in_outages;
  set.record.remaining = certain ? policy_.quarantine_duration : policy_.first_quarantine_duration;
  set.record.endpoints = std::move(endpoints);
  set.since = now;
  set.until = now + set.record.remaining;
  news_.records.push_back(set.record);
}

void quarantine_table::evaluate(content_fingerprint content, time_ms now) {
  if (is_quarantined(content))
    return;
  assessment found = assess(content, now);
  if (found.sufficient && found.settles_in == time_ms{})
    set_verdict(content, false, std::move(found.endpoints), now);
}

// The first deaths of an outage appear to be caused by a request that ran on them. When the other
// deaths are reported, the verdict is revoked.
void quarantine_table::reevaluate_recent(time_ms now) {
  std::vector<content_fingerprint> wrong;
  for (const auto& [content, given] : verdicts_) {
    const auto found = suspects_.find(content);
    if (given.record.lifted || now - given.since > policy_.outage_window ||
        found == suspects_.end())
      continue;
    if (excluding_outages(found->second).size() < policy_.endpoints_lost)
      wrong.push_back(content);
  }
  for (const content_fingerprint content : wrong)
    set_verdict(content, true, {}, now);
}

void quarantine_table::evaluate_all(time_ms now) {
  std::vector<content_fingerprint> candidates;
  for (const auto& [content, runs] : suspects_)
    if (runs.size() >= policy_.endpoints_lost)
      candidates.push_back(content);
  for (const content_fingerprint content : candidates)
    evaluate(content, now);
}

bool quarantine_table::lift(content_fingerprint content, time_ms now) {
  if (!is_quarantined(content))
    return false;
  note_completed(content, now);
  acquit(content, now);
  news_.acquittals.push_back({content, time_ms{0}});
  return true;
}

bool quarantine_table::is_newer(const quarantine_record& record) const {
  const auto at = verdicts_.find(record.content);
  if (at == verdicts_.end())
    return true;
  const quarantine_record& known = at->second.record;
  return record.version > known.version ||
         (record.version == known.version && record.lifted && !known.lifted);
}

void quarantine_table::merge_record(const quarantine_record& record, time_ms now) {
  if (!is_newer(record))
    return;
  if (verdicts_.size() >= policy_.max_verdicts && !verdicts_.contains(record.content))
    make_room_for_verdict();
  verdicts_[record.content] = {record, now, now + record.remaining};
  if (!record.lifted && completed_lately(record.content, now)) {
    acquit(record.content, now);
    news_.acquittals.push_back({record.content, now - completed_.at(record.content)});
  }
}

void quarantine_table::merge(const quarantine_news& news, time_ms now) {
  for (const death_evidence& d : news.deaths) {
    const time_ms at = now - d.age;
    note_end_of(d.endpoint, d.life, at);
    if (completed_lately(d.content, now)) {
      news_.acquittals.push_back({d.content, now - completed_.at(d.content)});
      continue;
    }
    add_run(d.content, {d.endpoint, d.life, d.ran_for, at});
  }
  for (const acquittal& a : news.acquittals) {
    note_completed(a.content, now - a.age);
    acquit(a.content, now);
  }
  for (const quarantine_record& record : news.records)
    merge_record(record, now);
  for (const death_evidence& d : news.deaths)
    evaluate(d.content, now);
  for (const quarantine_record& record : news.records)
    evaluate(record.content, now); // another host may have revoked it with less evidence
  reevaluate_recent(now);
}

quarantine_news quarantine_table::take_news() {
  return std::exchange(news_, {});
}

bool quarantine_table::is_quarantined(content_fingerprint content) const {
  const auto given = verdicts_.find(content);
  return given != verdicts_.end() && !given->second.record.lifted;
}

content_standing quarantine_table::standing(content_fingerprint content) const {
  if (is_quarantined(content))
    return content_standing::quarantined;
  return unattributed_runs(content).empty() ? content_standing::clear : content_standing::suspect;
}

std::optional<content_refusal> quarantine_table::refusal(content_fingerprint content, time_ms now) {
  evaluate(content, now);
  if (is_quarantined(content))
    return content_refusal{true, std::max(time_ms{1}, verdicts_.at(content).until - now)};
  const assessment found = assess(content, now);
  if (!found.sufficient)
    return std::nullopt;
  return content_refusal{false, std::max(time_ms{1}, found.settles_in)};
}

// After its first quarantine a content may run again. The deaths that led to it stay known, but
// only further ones lead to the next verdict.
void quarantine_table::expire_verdicts(time_ms now) {
  absl::erase_if(verdicts_, [&](auto& one) {
    verdict& given = one.second;
    if (given.until > now)
      return false;
    const auto found = suspects_.find(one.first);
    if (given.record.lifted || found == suspects_.end() ||
        found->second.size() >= policy_.endpoints_lost_in_outages)
      return true;
    given.record.lifted = true;
    ++given.record.version;
    given.until = now + policy_.evidence_lifetime;
    return false;
  });
}

void quarantine_table::expire(time_ms now) {
  std::erase_if(deaths_, [&](const death& d) { return now - d.at > policy_.evidence_lifetime; });
  expire_verdicts(now);
  absl::erase_if(suspects_, [&](auto& other) {
    std::erase_if(other.second,
                  [&](const ended_run& run) { return now - run.at > policy_.evidence_lifetime; });
    return other.second.empty();
  });
  evaluate_all(now);
}

void quarantine_table::append_known(quarantine_news& to, content_fingerprint content,
                                    time_ms now) const {
  if (const auto given = verdicts_.find(content); given != verdicts_.end()) {
    to.records.push_back(given->second.record);
    to.records.back().remaining = std::max(time_ms{0}, given->second.until - now);
  }
  if (const auto found = suspects_.find(content); found != suspects_.end())
    for (const ended_run& run : found->second)
      to.deaths.push_back({content, run.endpoint, run.life, run.ran_for, now - run.at});
}

quarantine_news quarantine_table::snapshot_of(content_fingerprint content, time_ms now) const {
  quarantine_news known;
  append_known(known, content, now);
  return known;
}

std::size_t quarantine_table::deaths_of(content_fingerprint content) const {
  return unattributed_runs(content).size();
}

quarantine_news quarantine_table::snapshot(time_ms now) const {
  std::vector<std::pair<content_fingerprint, const suspect_runs*>> order;
  for (const auto& [content, runs] : suspects_)
    order.emplace_back(content, &runs);
  std::ranges::sort(order, std::ranges::greater{}, [](const auto& one) {
    return std::pair{one.second->size(), one.second->back().at};
  });
  quarantine_news all;
  for (const auto& [content, runs] : order)
    append_known(all, content, now);
  for (const auto& [content, given] : verdicts_)
    if (!suspects_.contains(content))
      append_known(all, content, now);
  return all;
}

std::vector<quarantine_record> quarantine_table::records(time_ms now) const {
  quarantine_news all;
  for (const auto& [content, given] : verdicts_)
    append_known(all, content, now);
  return all.records;
}

} // namespace sedgechute
