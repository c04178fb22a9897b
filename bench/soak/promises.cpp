#include "promises.hpp"

#include <algorithm>
#include <sstream>

namespace sedgechute::soak {

namespace {

bool says_not_run(int status) noexcept {
  return status == 408 || status == 421 || status == 429 || status == 503 || status == 402;
}

bool succeeded(int status) noexcept {
  return status >= 200 && status < 300;
}

} // namespace

// Checked at once: a budget that is raised later would hide it.
void promises::spend(std::uint64_t tokens) noexcept {
  spent_ += tokens;
  if (spent_ > paid_)
    most_above_ = std::max(most_above_, spent_ - paid_);
}

void promises::note_run(const std::string& attempt, bool run_once, std::uint64_t prompt_tokens) {
  const std::scoped_lock lock{mutex_};
  attempt_runs& runs = runs_[attempt];
  runs.run_once = run_once;
  if (++runs.runs == 1)
    spend(prompt_tokens); // counted once a request
}

void promises::note_delivered(std::uint64_t tokens) {
  const std::scoped_lock lock{mutex_};
  spend(tokens);
}

void promises::note_paid(std::uint64_t tokens) {
  const std::scoped_lock lock{mutex_};
  paid_ = tokens;
}

void promises::note_outcome(const outcome& got) {
  const std::scoped_lock lock{mutex_};
  outcomes_.push_back(got);
}

void promises::note_stop(int code) {
  const std::scoped_lock lock{mutex_};
  ++stops_;
  if (code != 0)
    bad_stops_.push_back(code);
}

std::vector<std::string> promises::broken() const {
  const std::scoped_lock lock{mutex_};
  std::vector<std::string> found;
  if (most_above_ > 0)
    found.push_back("spent " + std::to_string(most_above_) + " tokens above what was paid");
  for (const auto& [attempt, runs] : runs_)
    if (runs.run_once && runs.runs > 1)
      found.push_back(attempt + " ran " + std::to_string(runs.runs) + " times");
  for (const int code : bad_stops_)
    found.push_back(code < 0 ? "a stop outlasted its grace"
                             : "a stop ended with code " + std::to_string(code));
  for (const outcome& got : outcomes_) {
    const bool ran = runs_.contains(got.attempt);
    if (only_planned_ && ran && !got.whole && !got.left)
      found.push_back(got.attempt + " was lost with status " + std::to_string(got.status));
    if (says_not_run(got.status) && ran)
      found.push_back(got.attempt + " was called unrun with " + std::to_string(got.status));
    if (succeeded(got.status) && got.whole && !got.right)
      found.push_back(got.attempt + " got a whole answer that is not its own");
    if (succeeded(got.status) && !ran)
      found.push_back(got.attempt + " was answered and never ran");
  }
  return found;
}

std::string promises::summary() const {
  const std::scoped_lock lock{mutex_};
  std::map<int, int> by_status;
  int cut = 0;
  for (const outcome& got : outcomes_) {
    ++by_status[got.status];
    cut += succeeded(got.status) && !got.whole ? 1 : 0;
  }
  std::ostringstream text;
  text << outcomes_.size() << " requests";
  for (const auto& [status, count] : by_status)
    text << ", " << status << ": " << count;
  text << ", cut: " << cut << ", stops: " << stops_ << "; " << spent_ << " of " << paid_
       << " tokens";
  return text.str();
}

} // namespace sedgechute::soak
