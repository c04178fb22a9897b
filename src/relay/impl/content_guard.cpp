#include "relay/impl/content_guard.hpp"

#include "relay/impl/request_content.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sedgechute {

namespace {

template <typename Row>
void append_bounded(std::vector<Row>& to, const std::vector<Row>& rows, std::size_t most) {
  to.insert(to.end(), rows.begin(), rows.end());
  if (to.size() > most)
    to.erase(to.begin(), to.end() - static_cast<std::ptrdiff_t>(most));
}

} // namespace

content_guard::content_guard(const content_guard_options& options, structured_log& log)
    : options_{options}, log_{log}, table_{options.policy}, parts_{options.parts},
      evidence_{options.evidence} {}

std::optional<content_refusal> content_guard::refusal(content_fingerprint content,
                                                      std::span<const part_fingerprint> parts,
                                                      time_ms now) {
  const std::scoped_lock lock{mutex_};
  auto refusal = table_.refusal(content, now);
  if (refusal)
    take_own_news(now);
  if (refusal && refusal->quarantined)
    return refusal;
  if (const auto of_part = parts_.refusal(parts, now))
    refusal = content_refusal{of_part->quarantined, of_part->remaining, of_part->part};
  return refusal;
}

bool content_guard::begin_trial(content_fingerprint content,
                                std::span<const part_fingerprint> parts, time_ms now) {
  const std::scoped_lock lock{mutex_};
  const auto part = table_.refusal(content, now) ? std::nullopt : parts_.begin_trial(parts, now);
  if (part)
    log_.write(severity::info, "part_tried", {}, {{log_field::content, content_text(*part)}});
  return part.has_value();
}

void content_guard::set_hosts(const std::string& self, std::size_t hosts) {
  const std::scoped_lock lock{mutex_};
  parts_.set_hosts(stable_hash(self), hosts);
}

void content_guard::note_answered(const broken_run& run, time_ms now) {
  table_.note_survived(run.content, run.ran_for, true, now);
  parts_.note_harmless(run.parts, now);
}

void content_guard::note_dead(const endpoint_id& endpoint, endpoint_hash incarnation,
                              std::span<const broken_run> runs, time_ms now) {
  std::vector<cut_run> contents;
  std::vector<cut_parts> parts;
  for (const broken_run& run : runs) {
    contents.push_back(run);
    if (run.written < options_.parts.harmless_after)
      parts.push_back({run.parts, run.written});
  }
  table_.note_death(endpoint, incarnation, contents, now);
  parts_.note_death(incarnation, parts, now);
}

void content_guard::note_end(const content_run& run, send_outcome outcome, time_ms now) {
  const std::scoped_lock lock{mutex_};
  const broken_run ended{
      {run.content, now - run.sent}, run.parts, run.written, outcome == send_outcome::answered};
  if (run.written >= options_.parts.harmless_after)
    parts_.note_harmless(run.parts, now);
  switch (outcome) {
  case send_outcome::answered:
    if (!run.unframed)
      note_answered(ended, now);
    note_alive(run, now);
    if (run.unframed)
      note_broken(run, ended, now);
    break;
  case send_outcome::own_error:
  case send_outcome::not_run:
    note_alive(run, now);
    break;
  case send_outcome::failed:
    note_broken(run, ended, now);
    break;
  case send_outcome::unreachable:
  case send_outcome::silent:
  case send_outcome::withheld:
  case send_outcome::stalled:
  case send_outcome::superseded:
  case send_outcome::timed_out:
  case send_outcome::caller_left:
  case send_outcome::host_stopped:
    break;
  }
  take_own_news(now);
}

void content_guard::note_long_answer(const content_run& run, time_ms now) {
  const std::scoped_lock lock{mutex_};
  parts_.note_harmless(run.parts, now);
}

void content_guard::note_alive(const content_run& run, time_ms now) {
  for (const broken_run& whole : evidence_.note_alive(run.endpoint, run.incarnation, run.sent))
    note_answered(whole, now);
}

void content_guard::note_broken(const content_run& run, const broken_run& ended, time_ms now) {
  if (!cut_off_ && evidence_.note_cut(run.endpoint, run.incarnation, ended, now))
    note_dead(run.endpoint, run.incarnation, std::span{&ended, 1}, now);
}

void content_guard::note_lost(const endpoint_id& endpoint, endpoint_hash incarnation,
                              loss_source source, time_ms now) {
  const std::scoped_lock lock{mutex_};
  const std::vector<broken_run> runs = evidence_.note_lost(endpoint, incarnation, source, now);
  note_dead(endpoint, incarnation, runs, now);
  take_own_news(now);
  if (!runs.empty())
    log_.write(severity::warning, "endpoint_lost", {.endpoint = endpoint.str()},
               {{log_field::kind, name_of(source)},
                {log_field::count, runs.size()},
                {log_field::content, content_text(runs.front().content)}});
}

void content_guard::set_cut_off(bool cut_off) {
  const std::scoped_lock lock{mutex_};
  cut_off_ = cut_off;
  if (cut_off)
    evidence_.forget_cuts();
}

void content_guard::expire(time_ms now) {
  const std::scoped_lock lock{mutex_};
  table_.expire(now);
  parts_.expire(now);
  evidence_.expire(now);
  take_own_news(now);
  log_part_verdicts(now);
}

quarantine_news content_guard::take_news() {
  const std::scoped_lock lock{mutex_};
  return std::exchange(outgoing_, {});
}

quarantine_news content_guard::snapshot(time_ms now) const {
  const std::scoped_lock lock{mutex_};
  return table_.snapshot(now);
}

void content_guard::take_own_news(time_ms now) {
  const quarantine_news own = table_.take_news();
  append_bounded(outgoing_.deaths, own.deaths, options_.max_outgoing);
  append_bounded(outgoing_.acquittals, own.acquittals, options_.max_outgoing);
  append_bounded(outgoing_.records, own.records, options_.max_outgoing);
  note_changes(own, now, now);
  for (const quarantine_record& record : own.records)
    log_verdict(record, "own evidence");
}

// All hosts reach a verdict from the same evidence. If each of them announced it, the messages
// would grow with the square of their number.
void content_guard::take_derived_news(time_ms now) {
  const quarantine_news derived = table_.take_news();
  append_bounded(outgoing_.acquittals, derived.acquittals, options_.max_outgoing);
  note_changes(derived, now, now + options_.record_after);
  for (const quarantine_record& record : derived.records)
    log_verdict(record, "evidence of other hosts");
}

void content_guard::merge(const quarantine_news& news, time_ms now) {
  const std::scoped_lock lock{mutex_};
  quarantine_news changes;
  changes.deaths = news.deaths;
  std::ranges::copy_if(news.records, std::back_inserter(changes.records),
                       [&](const quarantine_record& one) { return table_.is_newer(one); });
  table_.merge(news, now);
  take_derived_news(now);
  note_changes(changes, now, now + options_.record_after);
  for (const quarantine_record& record : changes.records)
    log_verdict(record, "verdict of another host");
}

bool content_guard::is_ahead_of_log(content_fingerprint content, time_ms now) const {
  const quarantine_news known = table_.snapshot_of(content, now);
  const auto at = logged_.find(content);
  const logged_content logged = at == logged_.end() ? logged_content{} : at->second;
  if (!known.records.empty() && known.records.front().version > logged.version)
    return true;
  return known.deaths.size() > logged.deaths &&
         table_.deaths_of(content) >= options_.recorded_deaths;
}

void content_guard::note_changes(const quarantine_news& changes, time_ms now, time_ms due) {
  const auto note = [&](content_fingerprint content) {
    if (unrecorded_.size() >= options_.policy.max_verdicts || !is_ahead_of_log(content, now))
      return;
    const auto [at, added] = unrecorded_.try_emplace(content, due);
    at->second = std::min(at->second, due);
  };
  for (const quarantine_record& record : changes.records)
    note(record.content);
  for (const death_evidence& death : changes.deaths)
    note(death.content);
}

void content_guard::note_logged(const quarantine_news& logged, time_ms now) {
  if (logged_.size() + logged.records.size() + logged.deaths.size() > options_.max_logged)
    logged_.clear(); // some are recorded once more
  std::unordered_map<content_fingerprint, logged_content> read;
  for (const quarantine_record& record : logged.records)
    read[record.content].version = record.version;
  for (const death_evidence& death : logged.deaths)
    ++read[death.content].deaths;
  for (const auto& [content, newest] : read) {
    logged_[content] = newest;
    if (!is_ahead_of_log(content, now))
      unrecorded_.erase(content);
  }
}

quarantine_news content_guard::due_records(time_ms now) const {
  const std::scoped_lock lock{mutex_};
  quarantine_news due;
  std::size_t contents = 0;
  for (const auto& [content, due_at] : unrecorded_) {
    if (due_at > now || contents == options_.max_due_records)
      continue;
    ++contents;
    const quarantine_news known = table_.snapshot_of(content, now);
    due.records.insert(due.records.end(), known.records.begin(), known.records.end());
    due.deaths.insert(due.deaths.end(), known.deaths.begin(), known.deaths.end());
  }
  return due;
}

void content_guard::merge_recorded(const quarantine_news& recorded, time_ms now) {
  const std::scoped_lock lock{mutex_};
  for (const quarantine_record& record : recorded.records)
    if (table_.is_newer(record))
      log_verdict(record, "record");
  table_.merge(recorded, now);
  take_derived_news(now);
  note_logged(recorded, now);
}

void content_guard::note_recorded(const quarantine_news& written, time_ms now) {
  const std::scoped_lock lock{mutex_};
  note_logged(written, now);
}

std::size_t content_guard::quarantined(time_ms now) const {
  const std::scoped_lock lock{mutex_};
  const auto records = table_.records(now);
  return static_cast<std::size_t>(
      std::ranges::count_if(records, [](const quarantine_record& one) { return !one.lifted; }));
}

part_news content_guard::take_part_news() {
  const std::scoped_lock lock{mutex_};
  return parts_.take_news();
}

part_news content_guard::part_snapshot(time_ms now) const {
  const std::scoped_lock lock{mutex_};
  return parts_.snapshot(now);
}

void content_guard::merge(const part_news& news, time_ms now) {
  const std::scoped_lock lock{mutex_};
  parts_.merge(news, now);
}

std::vector<part_record> content_guard::due_part_records(time_ms now) const {
  const std::scoped_lock lock{mutex_};
  return parts_.due_records(now);
}

void content_guard::merge_recorded(const std::vector<part_record>& recorded, time_ms now) {
  const std::scoped_lock lock{mutex_};
  parts_.merge_recorded(recorded, now);
}

void content_guard::note_recorded(const std::vector<part_record>& written) {
  const std::scoped_lock lock{mutex_};
  parts_.note_recorded(written);
}

std::size_t content_guard::quarantined_parts(time_ms now) const {
  const std::scoped_lock lock{mutex_};
  return parts_.quarantined(now).size();
}

void content_guard::log_part_verdicts(time_ms now) {
  std::vector<part_fingerprint> quarantined = parts_.quarantined(now);
  std::ranges::sort(quarantined);
  const auto log_new = [&](std::string_view event, const auto& parts, const auto& known) {
    for (const part_fingerprint part : parts)
      if (!std::ranges::binary_search(known, part))
        log_.write(
            severity::warning, event, {},
            {{log_field::content, content_text(part)}, {log_field::count, parts_.deaths_of(part)}});
  };
  log_new("part_quarantined", quarantined, logged_part_verdicts_);
  log_new("part_cleared", logged_part_verdicts_, quarantined);
  logged_part_verdicts_ = std::move(quarantined);
}

void content_guard::log_verdict(const quarantine_record& record, std::string_view source) const {
  log_.write(severity::warning, record.lifted ? "quarantine_lifted" : "content_quarantined", {},
             {{log_field::content, content_text(record.content)},
              {log_field::count, record.endpoints.size()},
              {log_field::version, record.version},
              {log_field::kind, source}});
}

} // namespace sedgechute
