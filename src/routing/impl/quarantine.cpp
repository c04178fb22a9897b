#include "routing/impl/quarantine.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// A run that lasts this much longer than the one that was cut off is past the point at which the
// content would have crashed its endpoint.
constexpr std::int64_t survival_factor = 2;
constexpr time_ms survival_margin{2000};

bool same_incarnation(const auto& a, const auto& b) {
  return a.endpoint == b.endpoint && a.life == b.life;
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
  const bool known =
      std::ranges::any_of(deaths_, [&](const death& d) { return same_incarnation(d, ended); });
  if (!known)
    deaths_.push_back(ended);
}

bool quarantine_table::add_run(content_fingerprint content, const ended_run& run) {
  if (suspects_.size() >= policy_.max_suspects && !suspects_.contains(content))
    return false;
  suspect_runs& runs = suspects_[content];
  if (std::ranges::any_of(runs, [&](const ended_run& r) { return same_incarnation(r, run); }))
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

void quarantine_table::note_survived(content_fingerprint content, time_ms ran_for, bool completed,
                                     time_ms now) {
  if (completed)
    note_completed(content, now);
  const auto found = suspects_.find(content);
  if (found == suspects_.end() || verdicts_.contains(content))
    return;
  const bool past_all = std::ranges::all_of(found->second, [&](const ended_run& run) {
    return ran_for > run.ran_for * survival_factor + survival_margin;
  });
  if (!completed && !past_all)
    return;
  suspects_.erase(found);
  news_.acquittals.push_back({content, time_ms{0}});
}

// An outage of a rack or a data centre ends many endpoints within seconds, and a request that was
// retried within it ran on two of them. Such an outage is detected by endpoints that died at the
// same time without running this content; deaths with the content are attributed to the content.
bool quarantine_table::is_part_of_outage(const ended_run& run, const suspect_runs& runs) const {
  const auto unexplained = std::ranges::count_if(deaths_, [&](const death& d) {
    const time_ms apart = std::max(d.at, run.at) - std::min(d.at, run.at);
    if (apart > policy_.outage_window)
      return false;
    return std::ranges::none_of(runs, [&](const ended_run& r) { return same_incarnation(r, d); });
  });
  return static_cast<std::size_t>(unexplained) + 1 >= policy_.outage_deaths;
}

std::vector<quarantine_table::ended_run>
quarantine_table::excluding_outages(const suspect_runs& runs) const {
  std::vector<ended_run> ended;
  std::ranges::copy_if(runs, std::back_inserter(ended),
                       [&](const ended_run& run) { return !is_part_of_outage(run, runs); });
  return ended;
}

// Two contents that ran together on every endpoint that died cannot be distinguished. Both stay
// suspects and run on separate endpoints from then on, so the next death identifies one of them.
bool quarantine_table::is_sole_candidate(content_fingerprint content,
                                         const std::vector<ended_run>& ended) const {
  return std::ranges::none_of(suspects_, [&](const auto& other) {
    if (other.first == content || other.second.size() < ended.size())
      return false;
    return std::ranges::all_of(ended, [&](const ended_run& run) {
      return std::ranges::any_of(other.second,
                                 [&](const ended_run& r) { return same_incarnation(r, run); });
    });
  });
}

void quarantine_table::set_verdict(content_fingerprint content, bool lifted,
                                   std::vector<endpoint_id> endpoints, time_ms now) {
  verdict& set = verdicts_[content];
  set.record.content = content;
  ++set.record.version;
  set.record.lifted = lifted;
  set.record.remaining = policy_.quarantine_duration;
  set.record.endpoints = std::move(endpoints);
  set.since = now;
  set.until = now + policy_.quarantine_duration;
  news_.records.push_back(set.record);
}

void quarantine_table::evaluate(content_fingerprint content, time_ms now) {
  const auto found = suspects_.find(content);
  if (found == suspects_.end() || standing(content) == content_standing::quarantined)
    return;
  const std::vector<ended_run> ended = excluding_outages(found->second);
  if (ended.size() < policy_.endpoints_lost || !is_sole_candidate(content, ended))
    return;
  std::vector<endpoint_id> endpoints;
  for (const ended_run& run : ended)
    endpoints.push_back(run.endpoint);
  set_verdict(content, false, std::move(endpoints), now);
  clear_bystanders(content, ended);
}

// The first two deaths of an outage appear to be caused by a request that ran on both. When the
// other deaths are reported, the verdict is revoked.
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

// Runs that shared an endpoint with the quarantined content were cut off by it, so those deaths no
// longer count against their contents.
void quarantine_table::clear_bystanders(content_fingerprint culprit,
                                        const std::vector<ended_run>& ended) {
  absl::erase_if(suspects_, [&](auto& other) {
    if (other.first == culprit)
      return false;
    std::erase_if(other.second, [&](const ended_run& run) {
      return std::ranges::any_of(ended,
                                 [&](const ended_run& r) { return same_incarnation(r, run); });
    });
    return other.second.empty();
  });
}

bool quarantine_table::lift(content_fingerprint content, time_ms now) {
  if (standing(content) != content_standing::quarantined)
    return false;
  suspects_.erase(content);
  set_verdict(content, true, {}, now);
  return true;
}

void quarantine_table::merge_record(const quarantine_record& record, time_ms now) {
  verdict& known = verdicts_[record.content];
  const bool newer =
      record.version > known.record.version ||
      (record.version == known.record.version && record.lifted && !known.record.lifted);
  if (!newer)
    return;
  known = {record, now, now + record.remaining};
  if (record.lifted)
    suspects_.erase(record.content);
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
    if (!verdicts_.contains(a.content))
      suspects_.erase(a.content);
  }
  for (const quarantine_record& record : news.records)
    merge_record(record, now);
  for (const death_evidence& d : news.deaths)
    evaluate(d.content, now);
  reevaluate_recent(now);
}

quarantine_news quarantine_table::take_news() {
  return std::exchange(news_, {});
}

content_standing quarantine_table::standing(content_fingerprint content) const {
  const auto given = verdicts_.find(content);
  if (given != verdicts_.end() && !given->second.record.lifted)
    return content_standing::quarantined;
  return suspects_.contains(content) ? content_standing::suspect : content_standing::clear;
}

void quarantine_table::expire(time_ms now) {
  std::erase_if(deaths_, [&](const death& d) { return now - d.at > policy_.evidence_lifetime; });
  absl::erase_if(verdicts_, [&](const auto& given) { return given.second.until <= now; });
  absl::erase_if(suspects_, [&](auto& other) {
    std::erase_if(other.second,
                  [&](const ended_run& run) { return now - run.at > policy_.evidence_lifetime; });
    return other.second.empty();
  });
}

std::vector<quarantine_record> quarantine_table::records(time_ms now) const {
  std::vector<quarantine_record> all;
  for (const auto& [content, given] : verdicts_) {
    all.push_back(given.record);
    all.back().remaining = std::max(time_ms{0}, given.until - now);
  }
  return all;
}

} // namespace sedgechute
