// Promises about single requests.

#include "observation_index.hpp"

#include <algorithm>
#include <optional>
#include <set>

namespace sedgechute::soak {

namespace {

bool says_not_run(int status) noexcept {
  return status == 408 || status == 421 || status == 429 || status == 503 || status == 402;
}

bool succeeded(int status) noexcept {
  return status >= 200 && status < 300;
}

std::string ms(time_ms span) {
  return std::to_string(span.count()) + " ms";
}

bool gave(const std::vector<const arrival*>& arrivals, const outcome& got) {
  return std::any_of(arrivals.begin(), arrivals.end(), [&](const arrival* one) {
    return one->mark == got.mark && one->status == got.status;
  });
}

/// Keeps what was found only if it is more than a few.
std::vector<std::string> if_many(std::vector<std::string> found, const promised_bounds& bounds) {
  if (found.size() <= bounds.few)
    found.clear();
  return found;
}

} // namespace

std::vector<std::string> check_answers(const observations& seen,
                                       const promised_bounds& /*bounds*/) {
  const observation_index index{seen};
  std::vector<std::string> found;
  for (const outcome& got : seen.outcomes) {
    const bool ran = index.ran(got.attempt);
    if (says_not_run(got.status) && ran)
      found.push_back(got.attempt + " was called unrun with " + std::to_string(got.status));
    if (succeeded(got.status) && got.whole && !got.right)
      found.push_back(got.attempt + " got a whole answer that is not its own");
    if (succeeded(got.status) && !ran)
      found.push_back(got.attempt + " was answered and never ran");
    if (succeeded(got.status) && got.mark.empty())
      found.push_back(got.attempt + " was answered without the mark of an endpoint");
    if (!got.mark.empty() && !gave(index.arrivals(got.attempt), got))
      found.push_back(got.attempt + " bears the mark of an answer that no endpoint gave to it");
    if (got.unasked)
      found.push_back("bytes that nobody had asked for came before " + got.attempt);
  }
  return found;
}

std::vector<std::string> check_unchanged(const observations& seen,
                                         const promised_bounds& /*bounds*/) {
  const observation_index index{seen};
  std::vector<std::string> found;
  for (const arrival& one : seen.arrivals) {
    const sent_request* const sent = index.sent(one.attempt);
    if (sent == nullptr) {
      found.push_back("'" + one.attempt + "' reached " + one.endpoint + ", and nobody sent it");
      continue;
    }
    if (!one.foreign_field.empty())
      found.push_back(one.attempt + " was passed on with the caller's " + one.foreign_field);
    if (!one.ran)
      continue;
    if (one.target != sent->target || one.body != sent->body)
      found.push_back(one.attempt + " ran with another path or body");
    if (one.team != sent->team)
      found.push_back(one.attempt + " ran for team '" + one.team + "'");
    if (one.service != traits_of(sent->kind).service)
      found.push_back(one.attempt + " ran at service " + one.service);
  }
  return found;
}

std::vector<std::string> check_runs(const observations& seen, const promised_bounds& /*bounds*/) {
  const observation_index index{seen};
  std::vector<std::string> found;
  for (const sent_request& sent : seen.sent) {
    const call_traits& traits = traits_of(sent.kind);
    std::set<std::string> endpoints;
    int runs = 0;
    for (const arrival* one : index.arrivals(sent.attempt)) {
      runs += one->ran ? 1 : 0;
      if (one->ran)
        endpoints.insert(one->endpoint);
    }
    if (traits.run_once && runs > 1)
      found.push_back(sent.attempt + " ran " + std::to_string(runs) + " times");
    else if (endpoints.size() > traits.endpoints)
      found.push_back(sent.attempt + " ran at " + std::to_string(endpoints.size()) + " endpoints");
  }
  return found;
}

// A host cannot know how long a request was on its way to it, so the first send is held to the span
// that the caller named. A later one ends when the first does, or when the caller's patience does.
std::vector<std::string> check_deadlines(const observations& seen, const promised_bounds& bounds) {
  const observation_index index{seen};
  std::vector<std::string> found;
  for (const sent_request& sent : seen.sent) {
    std::optional<time_ms> latest;
    for (const arrival* one : index.arrivals(sent.attempt)) {
      if (!one->deadline) {
        found.push_back(sent.attempt + " was passed on without a deadline");
        continue;
      }
      const time_ms end = one->at + *one->deadline;
      if (*one->deadline > sent.patience)
        found.push_back(sent.attempt + " was given " + ms(*one->deadline));
      else if (latest && end > *latest + bounds.deadline_slack && one->sound &&
               in_touch(seen, bounds, sent.host, sent.at, one->at))
        found.push_back(sent.attempt + " was given " + ms(*one->deadline) + " with " +
                        ms(*latest - one->at) + " left");
      latest = latest.value_or(std::max(end, sent.at + sent.patience));
    }
  }
  return found;
}

std::vector<std::string> check_left(const observations& seen, const promised_bounds& bounds) {
  const observation_index index{seen};
  std::vector<std::string> found;
  for (const arrival& one : seen.arrivals) {
    const sent_request* const sent = index.sent(one.attempt);
    const outcome* const got = index.ended(one.attempt);
    if (sent == nullptr || got == nullptr || !got->left)
      continue;
    if (one.at > got->at + bounds.left_slack && in_touch(seen, bounds, sent->host, got->at, one.at))
      found.push_back(one.attempt + " was sent " + ms(one.at - got->at) + " after its caller left");
  }
  return if_many(std::move(found), bounds);
}

// Some requests are cut or late for reasons of their own; a host that does not keep to time-outs at
// all leaves a good part of them open.
std::vector<std::string> check_timeouts(const observations& seen, const promised_bounds& bounds) {
  constexpr std::size_t least = 8;
  constexpr std::size_t one_of = 4;
  const observation_index index{seen};
  std::size_t long_ones = 0;
  std::vector<std::string> found;
  for (const outcome& got : seen.outcomes) {
    const sent_request* const sent = index.sent(got.attempt);
    if (sent == nullptr || got.left || got.at - sent->at < bounds.route_timeout ||
        !in_touch(seen, bounds, sent->host, sent->at, got.at))
      continue;
    ++long_ones;
    if (got.at - sent->at > bounds.route_timeout + bounds.answer_slack)
      found.push_back(got.attempt + " took " + ms(got.at - sent->at));
  }
  if (found.size() < least || found.size() * one_of <= long_ones)
    found.clear();
  return found;
}

std::vector<std::string> check_lost(const observations& seen, const promised_bounds& bounds) {
  const observation_index index{seen};
  std::vector<std::string> planned;
  std::vector<std::string> closed;
  for (const outcome& got : seen.outcomes) {
    const sent_request* const sent = index.sent(got.attempt);
    if (sent == nullptr || got.left || got.whole)
      continue;
    const auto& arrivals = index.arrivals(got.attempt);
    const bool passed_on = index.ran(got.attempt);
    const bool sound = std::all_of(arrivals.begin(), arrivals.end(),
                                   [](const arrival* one) { return one->sound; });
    if (seen.only_planned && passed_on)
      planned.push_back(got.attempt + " was lost with status " + std::to_string(got.status));
    else if (seen.only_planned && got.connected && got.at - sent->at > bounds.loss_slack)
      planned.push_back(got.attempt + " was left without an answer after " + ms(got.at - sent->at));
    else if (passed_on && sound && got.kept && got.status == 0 &&
             in_touch(seen, bounds, sent->host, sent->at, got.at))
      closed.push_back(got.attempt + " ran, and its kept connection ended without an answer");
  }
  closed = if_many(std::move(closed), bounds);
  planned.insert(planned.end(), closed.begin(), closed.end());
  return planned;
}

namespace {

/// \returns whether a host may have lost paths to endpoints within the span, or in the time before
/// it that bounds need
bool may_lack_paths(const observations& seen, const promised_bounds& bounds, std::size_t host,
                    time_ms from, time_ms until) {
  bool lost = false;
  for (const path_change& one : seen.path_changes) {
    if (one.host != host || one.at > until)
      continue;
    if (one.at >= from - bounds.stable)
      return true;
    lost = one.lost;
  }
  return lost;
}

/// \returns whether every endpoint that ran the request was sound until its answer ended
bool ran_soundly(const observations& seen, const std::vector<const arrival*>& arrivals,
                 time_ms until) {
  const auto harmed = [&](const arrival& run) {
    return std::ranges::any_of(seen.endpoint_harms, [&](const endpoint_harm& one) {
      return one.endpoint == run.endpoint && one.at >= run.at && one.at <= until;
    });
  };
  return std::ranges::all_of(arrivals, [&](const arrival* one) {
    return !one->ran || (one->sound && one->status == 200 && !harmed(*one));
  });
}

} // namespace

// Endpoints that are silent are sound: they go on, so only the time-out of the route or the end of
// the caller's patience may end the wait for them.
std::vector<std::string> check_silence(const observations& seen, const promised_bounds& bounds) {
  const observation_index index{seen};
  std::vector<std::string> found;
  for (const outcome& got : seen.outcomes) {
    const sent_request* const sent = index.sent(got.attempt);
    const bool answered = succeeded(got.status) && got.whole;
    const bool counts_as_lost = got.status == 0 && got.kept;
    if (sent == nullptr || got.left || answered || counts_as_lost || !index.ran(got.attempt))
      continue;
    const time_ms span = got.at - sent->at;
    if (span < std::min(sent->patience, bounds.route_timeout) &&
        in_touch(seen, bounds, sent->host, sent->at, got.at) &&
        !may_lack_paths(seen, bounds, sent->host, sent->at, got.at) &&
        ran_soundly(seen, index.arrivals(got.attempt), got.at))
      found.push_back(got.attempt + " ran at sound endpoints and ended after " + ms(span) +
                      " with status " + std::to_string(got.status));
  }
  return if_many(std::move(found), bounds);
}

} // namespace sedgechute::soak
