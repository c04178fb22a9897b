#include "routing/impl/load_estimate.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr std::size_t max_changes = 512;
constexpr double prompt_gain = 0.1;
constexpr double unlimited_room = 1e6;

} // namespace

void load_estimate::record(change latest) {
  // Bounds the memory for an endpoint that no longer reports. The oldest half is dropped, as if a
  // report had included it.
  if (changes_.size() >= max_changes)
    changes_.erase(changes_.begin(), changes_.begin() + max_changes / 2);
  changes_.push_back(latest);
  running_change_ += latest.delta;
}

void load_estimate::apply(const load_report& report, time_ms now) {
  const time_ms taken_at = now - report.age;
  if (reported_ && taken_at < taken_at_)
    return;
  report_ = report;
  reported_ = true;
  taken_at_ = taken_at;
  std::erase_if(changes_, [taken_at](const change& c) { return c.at <= taken_at; });
  running_change_ = 0.0;
  for (const change& c : changes_)
    running_change_ += c.delta;
}

void load_estimate::started(std::size_t urgency, std::uint32_t prompt_tokens, time_ms now) {
  ++own_running_;
  own_unread_[urgency] += prompt_tokens;
  average_prompt_tokens_ += prompt_gain * (prompt_tokens - average_prompt_tokens_);
  record({now, 1});
}

void load_estimate::prompt_read(std::size_t urgency, std::uint32_t prompt_tokens) noexcept {
  double& unread = own_unread_[urgency];
  unread = std::max(0.0, unread - prompt_tokens);
}

void load_estimate::ended(time_ms now) {
  if (own_running_ > 0)
    --own_running_;
  if (own_running_ == 0)
    own_unread_ = {};
  record({now, -1});
}

void load_estimate::change_others(double running, const unread_by_urgency& unread,
                                  double sign) noexcept {
  others_running_ = std::max(0.0, others_running_ + sign * running);
  for (std::size_t c = 0; c < urgency_count; ++c)
    others_unread_[c] = std::max(0.0, others_unread_[c] + sign * unread[c]);
}

void load_estimate::set_load_source(bool all_reported, time_ms staleness) noexcept {
  all_reported_ = all_reported;
  reported_use_staleness_ = staleness;
}

// The other hosts' use reports are newer than the endpoint's load report, but complete only if all
// hosts have sent one.
double load_estimate::at_endpoint() const noexcept {
  const double told = own_running_ + others_running_;
  if (all_reported_)
    return told;
  const double reported = static_cast<double>(report_.running) + report_.waiting;
  return std::max(static_cast<double>(own_running_), reported + running_change_);
}

// Without use reports from all hosts, the requests that waited at the last load report are counted
// with the average prompt length.
double load_estimate::unread_before(std::size_t urgency) const noexcept {
  double own = 0.0;
  double others = 0.0;
  for (std::size_t c = 0; c <= urgency; ++c) {
    own += own_unread_[c];
    others += others_unread_[c];
  }
  if (all_reported_)
    return own + others;
  return std::max(own, report_.waiting * average_prompt_tokens_);
}

time_ms load_estimate::staleness(time_ms now) const noexcept {
  return all_reported_ ? reported_use_staleness_ : now - taken_at_;
}

double load_estimate::room() const noexcept {
  if (report_.max_running == 0)
    return unlimited_room;
  return static_cast<double>(report_.max_running) - at_endpoint();
}

} // namespace sedgechute
