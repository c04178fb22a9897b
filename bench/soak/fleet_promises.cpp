// Promises about what all hosts do together, and about hosts and endpoints that leave.

#include "observation_index.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <tuple>

namespace sedgechute::soak {

std::map<std::string, team_balance> balances_of(const observations& seen) {
  std::map<std::string, team_balance> teams;
  std::set<std::string> read; // a prompt is counted once, however often it runs
  for (const budget_step& step : seen.budget) {
    team_balance& team = teams[step.team];
    if (step.kind == budget_step_kind::prepaid)
      team.prepaid = step.tokens;
    else if (step.kind == budget_step_kind::output || read.insert(step.attempt).second)
      team.used += step.tokens;
    if (team.used > team.prepaid)
      team.most_above = std::max(team.most_above, team.used - team.prepaid);
  }
  return teams;
}

std::vector<std::string> check_budgets(const observations& seen,
                                       const promised_bounds& /*bounds*/) {
  std::vector<std::string> found;
  for (const auto& [name, team] : balances_of(seen))
    if (team.most_above > 0)
      found.push_back("team " + name + " used " + std::to_string(team.most_above) +
                      " tokens above what was paid");
  return found;
}

namespace {

struct service_traffic {
  std::vector<time_ms> requests;
  std::vector<time_ms> repeats; ///< arrivals beyond the first of each request
};

std::size_t count_within(const std::vector<time_ms>& moments, time_ms from, time_ms until) {
  const auto first = std::upper_bound(moments.begin(), moments.end(), from);
  return static_cast<std::size_t>(std::upper_bound(first, moments.end(), until) - first);
}

std::map<std::string, service_traffic> traffic_of(const observations& seen) {
  std::map<std::string, service_traffic> services;
  for (const sent_request& one : seen.sent)
    services[std::string{traits_of(one.kind).service}].requests.push_back(one.at);
  std::set<std::string> arrived;
  for (const arrival& one : seen.arrivals)
    if (!arrived.insert(one.attempt).second)
      services[one.service].repeats.push_back(one.at);
  for (auto& [name, service] : services) {
    std::sort(service.requests.begin(), service.requests.end());
    std::sort(service.repeats.begin(), service.repeats.end());
  }
  return services;
}

} // namespace

// Requests count in the window, in the one before it, or in the one half a window before it:
// repeats of requests that came at its edge fall into the next.
std::vector<std::string> check_retries(const observations& seen, const promised_bounds& bounds) {
  const time_ms window = bounds.retry_window;
  const time_ms half{window.count() / 2};
  std::vector<std::string> found;
  for (const auto& [name, service] : traffic_of(seen)) {
    for (const time_ms end : service.repeats) {
      const std::size_t repeats = count_within(service.repeats, end - window, end);
      std::size_t requests = 0;
      for (const time_ms back : {time_ms{}, half, window})
        requests =
            std::max(requests, count_within(service.requests, end - back - window, end - back));
      const double most = bounds.retry_ratio * static_cast<double>(requests) +
                          static_cast<double>(bounds.retry_slack);
      if (static_cast<double>(repeats) <= most)
        continue;
      found.push_back("service " + name + " got " + std::to_string(repeats) + " repeats beside " +
                      std::to_string(requests) + " requests");
      break;
    }
  }
  return found;
}

namespace {

/// What requests that ran have shown of the configuration in force in each life of each host.
class shown_versions {
 public:
  shown_versions(const observations& seen, const observation_index& index) {
    for (const arrival& one : seen.arrivals) {
      const sent_request* const sent = index.sent(one.attempt);
      const outcome* const got = index.ended(one.attempt);
      if (!one.ran || sent == nullptr || got == nullptr || !got->same_life ||
          sent->allowed.first == version_span::never)
        continue;
      lives_[{sent->host, sent->life}].push_back({one.at, sent->allowed.first});
    }
  }

  /// \returns the newest version that showed in this life by then
  [[nodiscard]] std::uint64_t newest(std::size_t host, int life, time_ms by) const {
    std::uint64_t newest = 1;
    if (const auto at = lives_.find({host, life}); at != lives_.end())
      for (const shown& one : at->second)
        if (one.at <= by)
          newest = std::max(newest, one.version);
    return newest;
  }

 private:
  struct shown {
    time_ms at;
    std::uint64_t version;
  };
  std::map<std::pair<std::size_t, int>, std::vector<shown>> lives_;
};

std::uint64_t newest_acknowledged(const observations& seen, time_ms by) {
  std::uint64_t newest = 1;
  for (std::size_t i = 0; i < seen.published.size(); ++i)
    if (seen.published[i].acknowledged <= by)
      newest = i + 1;
  return newest;
}

std::uint64_t newest_sent(const observations& seen, time_ms by) {
  std::uint64_t newest = 1;
  for (std::size_t i = 0; i < seen.published.size(); ++i)
    if (seen.published[i].sent <= by)
      newest = i + 1;
  return newest;
}

std::string span_text(std::uint64_t oldest, std::uint64_t newest) {
  return "versions " + std::to_string(oldest) + " to " + std::to_string(newest);
}

} // namespace

// A host may use any version from the newest that it must know to the newest that there is. What it
// does must be what one of these says.
std::vector<std::string> check_configurations(const observations& seen,
                                              const promised_bounds& bounds) {
  const observation_index index{seen};
  const shown_versions shown{seen, index};
  std::vector<std::string> found;
  for (const outcome& got : seen.outcomes) {
    const sent_request* const sent = index.sent(got.attempt);
    if (sent == nullptr || got.left)
      continue;
    std::uint64_t oldest = 1;
    if (in_touch(seen, bounds, sent->host, sent->at, got.at))
      oldest = newest_acknowledged(seen, sent->at - bounds.propagation);
    if (got.same_life)
      oldest =
          std::max(oldest, shown.newest(sent->host, sent->life, sent->at - bounds.downgrade_slack));
    const std::uint64_t newest = newest_sent(seen, got.at);
    const bool denied = got.status == 401 || got.status == 403 || got.status == 404;
    if (denied && sent->allowed.first <= oldest && sent->allowed.last >= newest)
      found.push_back(got.attempt + " was denied with " + std::to_string(got.status) +
                      ", and all of " + span_text(oldest, newest) + " allow it");
    if (index.ran(got.attempt) && (sent->allowed.last < oldest || sent->allowed.first > newest))
      found.push_back(got.attempt + " ran, and none of " + span_text(oldest, newest) +
                      " allows it");
  }
  return found;
}

std::vector<std::string> check_draining(const observations& seen, const promised_bounds& bounds) {
  const observation_index index{seen};
  std::vector<std::string> found;
  for (const arrival& one : seen.arrivals) {
    const sent_request* const sent = index.sent(one.attempt);
    if (!one.ran || !one.left_list || sent == nullptr || one.at - *one.left_list <= bounds.drain)
      continue;
    if (in_touch(seen, bounds, sent->host, *one.left_list, one.at))
      found.push_back(one.attempt + " reached " + one.endpoint + " " +
                      std::to_string((one.at - *one.left_list).count()) +
                      " ms after it was listed as leaving");
  }
  return found;
}

std::vector<std::string> check_crashes(const observations& seen, const promised_bounds& bounds) {
  const observation_index index{seen};
  std::map<std::uint64_t, std::vector<const arrival*>> crashes;
  for (const arrival& one : seen.arrivals)
    if (const sent_request* const sent = index.sent(one.attempt);
        sent != nullptr && sent->poison > 0 && one.ran)
      crashes[sent->poison].push_back(&one);
  std::vector<std::string> found;
  for (const auto& [number, all] : crashes) {
    const std::size_t crashes =
        index.sent(all.front()->attempt)->by_part ? bounds.part_crashes : bounds.crashes;
    if (all.size() < crashes)
      continue;
    const time_ms held_from = all[crashes - 1]->at + bounds.stable;
    const auto late = std::count_if(all.begin(), all.end(), [&](const arrival* one) {
      const sent_request& sent = *index.sent(one->attempt);
      return one->at > held_from && in_touch(seen, bounds, sent.host, sent.at, one->at);
    });
    if (static_cast<std::size_t>(late) > bounds.late_crashes)
      found.push_back("content " + std::to_string(number) + " crashed " +
                      std::to_string(all.size()) + " endpoints, " + std::to_string(late) +
                      " of them after it had to be held back");
  }
  for (const outcome& got : seen.outcomes)
    if (const sent_request* const sent = index.sent(got.attempt);
        got.quarantined && sent != nullptr && sent->poison == 0)
      found.push_back(got.attempt + " was refused for its content, which is harmless");
  return found;
}

std::vector<std::string> check_limits(const observations& seen, const promised_bounds& bounds) {
  const observation_index index{seen};
  struct limited {
    double per_second{};
    std::vector<time_ms> arrivals;
  };
  std::map<std::pair<std::string, time_ms>, limited> spans; // by endpoint and start of the limit
  for (const arrival& one : seen.arrivals) {
    const sent_request* const sent = index.sent(one.attempt);
    if (!one.limit_from || sent == nullptr || one.at < *one.limit_from + bounds.stable ||
        !in_touch(seen, bounds, sent->host, *one.limit_from, one.at))
      continue;
    limited& span = spans[{one.endpoint, *one.limit_from}];
    span.per_second = one.limit;
    span.arrivals.push_back(one.at);
  }
  std::vector<std::string> found;
  for (auto& [where, span] : spans) {
    std::sort(span.arrivals.begin(), span.arrivals.end());
    constexpr double ms_per_second = 1000;
    const double seconds = static_cast<double>(bounds.limit_window.count()) / ms_per_second;
    const double most = bounds.limit_overage * span.per_second * seconds + bounds.limit_slack;
    for (const time_ms from : span.arrivals) {
      const std::size_t got =
          count_within(span.arrivals, from - time_ms{1}, from + bounds.limit_window);
      if (static_cast<double>(got) <= most)
        continue;
      found.push_back(where.first + " got " + std::to_string(got) + " requests in a window, with " +
                      std::to_string(span.per_second) + " a second named");
      break;
    }
  }
  return found;
}

namespace {

/// \returns the arrivals at each endpoint from each life of a host, in the order of their times
std::map<std::tuple<std::string, std::size_t, int>, std::vector<const arrival*>>
arrivals_by_sender(const observations& seen) {
  const observation_index index{seen};
  std::map<std::tuple<std::string, std::size_t, int>, std::vector<const arrival*>> by_sender;
  for (const arrival& one : seen.arrivals)
    if (const sent_request* const sent = index.sent(one.attempt); sent != nullptr)
      by_sender[{one.endpoint, sent->host, sent->life}].push_back(&one);
  for (auto& [sender, all] : by_sender)
    std::ranges::stable_sort(all, {}, [](const arrival* one) { return one->at; });
  return by_sender;
}

} // namespace

std::vector<std::string> check_pauses(const observations& seen, const promised_bounds& bounds) {
  std::vector<std::string> found;
  for (const auto& [sender, all] : arrivals_by_sender(seen)) {
    const std::size_t host = std::get<std::size_t>(sender);
    const auto broken = [&, &all = all](const arrival* asked) {
      const time_ms end = asked->at + asked->pause;
      const auto count = std::ranges::count_if(all, [&](const arrival* one) {
        return one->at > asked->at + bounds.pause_slack && one->at < end &&
               in_touch(seen, bounds, host, asked->at, one->at);
      });
      return static_cast<std::size_t>(count) > bounds.pause_arrivals;
    };
    const auto first = std::ranges::find_if(
        all, [&](const arrival* one) { return one->pause > time_ms{} && broken(one); });
    if (first != all.end())
      found.push_back(std::get<std::string>(sender) + " asked host " + std::to_string(host) +
                      " for a pause at " + std::to_string((*first)->at.count()) +
                      " and went on getting requests");
  }
  return found;
}

std::vector<std::string> check_leaving(const observations& seen, const promised_bounds& bounds) {
  const observation_index index{seen};
  std::vector<std::string> found;
  for (const auto& [sender, all] : arrivals_by_sender(seen)) {
    const std::size_t host = std::get<std::size_t>(sender);
    const auto said = std::ranges::find_if(
        all, [](const arrival* one) { return one->said_leaving && one->status != 0; });
    if (said == all.end())
      continue;
    // The host has passed the answer on soon after the request arrived.
    const time_ms from = (*said)->at + bounds.leaving_bound + bounds.answer_slack;
    for (const arrival* one : all)
      if (const sent_request& sent = *index.sent(one->attempt);
          sent.at > from && in_touch(seen, bounds, host, (*said)->at, one->at)) {
        found.push_back(one->attempt + " reached " + one->endpoint +
                        ", which had told its host that it leaves");
        break;
      }
  }
  return found;
}

// An end counts if most of what the endpoint refused came from hosts in touch.
std::vector<std::string> check_brittle(const observations& seen, const promised_bounds& bounds) {
  const observation_index index{seen};
  struct brittle_time {
    std::size_t endpoints{};
    std::size_t falls{};
  };
  std::map<time_ms, brittle_time> times; // by begin
  for (const brittle_fall& one : seen.brittle_falls) {
    const auto in_touch_count = std::ranges::count_if(one.refused, [&](const std::string& attempt) {
      const sent_request* const sent = index.sent(attempt);
      return sent != nullptr && in_touch(seen, bounds, sent->host, sent->at, sent->at);
    });
    brittle_time& of = times[one.brittle_from];
    of.endpoints = one.endpoints;
    of.falls += 2 * static_cast<std::size_t>(in_touch_count) > one.refused.size() ? 1 : 0;
  }
  std::vector<std::string> found;
  for (const auto& [from, of] : times) {
    const double most = static_cast<double>(bounds.brittle_falls) +
                        bounds.brittle_falls_part * static_cast<double>(of.endpoints);
    if (static_cast<double>(of.falls) > most)
      found.push_back(std::to_string(of.falls) + " of " + std::to_string(of.endpoints) +
                      " brittle endpoints were made to end");
  }
  return found;
}

namespace {

/// \returns whether a host reached no endpoint for all of the span, and before it for as long as
/// bounds need
bool was_cut_off(const observations& seen, const promised_bounds& bounds, std::size_t host,
                 time_ms from, time_ms until) {
  std::optional<time_ms> lost;
  for (const path_change& one : seen.path_changes) {
    if (one.host != host || one.at > until)
      continue;
    if (!one.lost)
      lost.reset();
    else if (!lost)
      lost = one.at;
  }
  return lost && *lost + bounds.stable <= from;
}

struct served_count {
  double all{};
  double served{};
};

} // namespace

// Requests count that every version allows, at hosts in touch, while a host is cut off.
std::vector<std::string> check_cut_off(const observations& seen, const promised_bounds& bounds) {
  const observation_index index{seen};
  std::set<std::size_t> hosts;
  for (const path_change& one : seen.path_changes)
    hosts.insert(one.host);
  served_count cut;
  served_count others;
  for (const outcome& got : seen.outcomes) {
    const sent_request* const sent = index.sent(got.attempt);
    if (sent == nullptr || got.left || sent->poison > 0 || sent->allowed.first > 1 ||
        sent->allowed.last != version_span::never ||
        !in_touch(seen, bounds, sent->host, sent->at, got.at))
      continue;
    const auto is_cut = [&](std::size_t host) {
      return was_cut_off(seen, bounds, host, sent->at, got.at);
    };
    if (std::none_of(hosts.begin(), hosts.end(), is_cut))
      continue;
    served_count& count = is_cut(sent->host) ? cut : others;
    ++count.all;
    count.served += got.status == 200 && got.whole ? 1 : 0;
  }
  const bool as_often = cut.served * others.all >= bounds.served_part * others.served * cut.all;
  const bool few_failed =
      cut.all - cut.served <= bounds.failed_slack + bounds.failed_part * (cut.all + others.all);
  if (as_often || few_failed)
    return {};
  std::ostringstream text;
  text << "hosts without paths to endpoints served " << cut.served << " of " << cut.all
       << " requests, the others " << others.served << " of " << others.all;
  return {text.str()};
}

namespace {

/// Events of one stream over all attempts of its caller.
std::vector<std::string> mixed_streams(const observations& seen, const observation_index& index) {
  std::map<std::string, std::set<std::string>> builds;
  for (const outcome& got : seen.outcomes) {
    const sent_request* const sent = index.sent(got.attempt);
    if (sent != nullptr)
      builds[sent->origin.empty() ? got.attempt : sent->origin].insert(got.builds.begin(),
                                                                       got.builds.end());
  }
  std::vector<std::string> found;
  for (const auto& [origin, named] : builds)
    if (named.size() > 1)
      found.push_back("the stream that began as " + origin + " holds events of several builds");
  return found;
}

} // namespace

std::vector<std::string> check_builds(const observations& seen, const promised_bounds& bounds) {
  const observation_index index{seen};
  std::vector<std::string> found = mixed_streams(seen, index);
  served_count resumed;
  served_count fresh;
  for (const outcome& got : seen.outcomes) {
    const sent_request* const sent = index.sent(got.attempt);
    if (sent == nullptr || sent->kind != call_kind::stream || got.left || !sent->build_serves ||
        sent->poison > 0 || !in_touch(seen, bounds, sent->host, sent->at, got.at))
      continue;
    served_count& count = sent->origin.empty() ? fresh : resumed;
    ++count.all;
    count.served += got.events > 0 || (got.status == 200 && got.whole) ? 1 : 0;
  }
  if (static_cast<std::size_t>(resumed.all) >= bounds.resumes &&
      resumed.served * fresh.all < bounds.resumed_part * fresh.served * resumed.all) {
    std::ostringstream text;
    text << resumed.served << " of " << resumed.all << " streams went on that were taken up, and "
         << fresh.served << " of " << fresh.all << " new ones began";
    found.push_back(text.str());
  }
  return found;
}

std::vector<std::string> check_stops(const observations& seen, const promised_bounds& bounds) {
  std::vector<std::string> found;
  for (const process_end& one : seen.ends) {
    const std::string host = "host " + std::to_string(one.host);
    if (!one.told)
      found.push_back(host + " ended by itself with code " + std::to_string(one.code));
    else if (one.code < 0)
      found.push_back(host + " outlasted its grace");
    else if (one.code != 0)
      found.push_back(host + " ended its stop with code " + std::to_string(one.code));
  }
  for (const readiness& one : seen.ready)
    if (one.ready && one.since_signal > bounds.not_ready_within)
      found.push_back("host " + std::to_string(one.host) + " said that it is ready " +
                      std::to_string(one.since_signal.count()) + " ms after its signal to stop");
  return found;
}

} // namespace sedgechute::soak
