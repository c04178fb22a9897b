#include "routing/impl/load_estimate.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr std::size_t most_changes = 512;
constexpr double prompt_gain = 0.1;
constexpr double unlimited_room = 1e6;

} // namespace

void load_estimate::record(change latest) {
  // A bound for an endpoint that has stopped reporting; the oldest half then counts as reported.
  if (changes_.size() >= most_changes)
    changes_.erase(changes_.begin(), changes_.begin() + most_changes / 2);
  changes_.push_back(latest);
  since_running_ += latest.delta;
  if (latest.delta > 0)
    since_prompt_ += latest.prompt_tokens;
}

void load_estimate::apply(const load_report& report, time_ms now) {
  const time_ms taken_at = now - report.age;
  if (reported_ && taken_at < taken_at_)
    return;
  report_ = report;
  reported_ = true;
  taken_at_ = taken_at;
  std::erase_if(changes_, [taken_at](const change& c) { return c.at <= taken_at; });
  since_running_ = 0.0;
  since_prompt_ = 0.0;
  for (const change& c : changes_) {
    since_running_ += c.delta;
    since_prompt_ += c.delta > 0 ? c.prompt_tokens : 0U;
  }
}

void load_estimate::started(std::uint32_t prompt_tokens, time_ms now) {
  ++own_running_;
  own_unread_ += prompt_tokens;
  usual_prompt_ += prompt_gain * (prompt_tokens - usual_prompt_);
  record({now, 1, prompt_tokens});
}

void load_estimate::prompt_read(std::uint32_t prompt_tokens) noexcept {
  own_unread_ = std::max(0.0, own_unread_ - prompt_tokens);
}

void load_estimate::ended(time_ms now) {
  if (own_running_ > 0)
    --own_running_;
  if (own_running_ == 0)
    own_unread_ = 0.0;
  record({now, -1, 0});
}

double load_estimate::at_endpoint() const noexcept {
  const double reported = static_cast<double>(report_.running) + report_.waiting;
  return std::max(static_cast<double>(own_running_), reported + since_running_);
}

// This host knows exactly what it sent itself; of the others' only what waited at the report.
double load_estimate::unread_prompt() const noexcept {
  const double reported = report_.waiting * usual_prompt_;
  return std::max(own_unread_, reported);
}

double load_estimate::room() const noexcept {
  if (report_.max_running == 0)
    return unlimited_room;
  return static_cast<double>(report_.max_running) - at_endpoint();
}

} // namespace sedgechute
