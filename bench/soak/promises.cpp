#include "observation_index.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <sstream>

namespace sedgechute::soak {

std::span<const promise> promises() noexcept {
  static constexpr std::array all{
      promise{"answers", check_answers},   promise{"unchanged", check_unchanged},
      promise{"runs", check_runs},         promise{"deadlines", check_deadlines},
      promise{"left", check_left},         promise{"timeouts", check_timeouts},
      promise{"lost", check_lost},         promise{"budgets", check_budgets},
      promise{"retries", check_retries},   promise{"configurations", check_configurations},
      promise{"draining", check_draining}, promise{"stops", check_stops},
      promise{"crashes", check_crashes},   promise{"limits", check_limits},
      promise{"brittle", check_brittle},   promise{"cut_off", check_cut_off},
      promise{"builds", check_builds},     promise{"silence", check_silence},
      promise{"pauses", check_pauses},     promise{"leaving", check_leaving}};
  return all;
}

std::vector<std::string> broken_promises(const observations& seen, const promised_bounds& bounds) {
  std::vector<std::string> found;
  for (const promise& one : promises())
    for (const std::string& what : one.check(seen, bounds))
      found.push_back(std::string{one.name} + ": " + what);
  return found;
}

namespace {

std::size_t count_in_touch(const observations& seen) {
  const observation_index index{seen};
  const promised_bounds bounds;
  std::size_t count = 0;
  for (const outcome& got : seen.outcomes) {
    const sent_request* const sent = index.sent(got.attempt);
    count += sent != nullptr && in_touch(seen, bounds, sent->host, sent->at, got.at) ? 1 : 0;
  }
  return count;
}

/// \returns the attempts with which callers took up streams and that brought at least `events`
std::size_t count_resumed(const observations& seen, int events) {
  const observation_index index{seen};
  return static_cast<std::size_t>(
      std::count_if(seen.outcomes.begin(), seen.outcomes.end(), [&](const outcome& got) {
        const sent_request* const sent = index.sent(got.attempt);
        return sent != nullptr && !sent->origin.empty() && got.events >= events;
      }));
}

std::size_t count_crashes(const observations& seen) {
  const observation_index index{seen};
  return static_cast<std::size_t>(
      std::count_if(seen.arrivals.begin(), seen.arrivals.end(), [&](const arrival& one) {
        const sent_request* const sent = index.sent(one.attempt);
        return one.ran && sent != nullptr && sent->poison > 0;
      }));
}

} // namespace

std::string summary_of(const observations& seen) {
  std::map<int, int> by_status;
  int cut = 0;
  for (const outcome& got : seen.outcomes) {
    ++by_status[got.status];
    cut += got.status == 200 && !got.whole ? 1 : 0;
  }
  std::ostringstream text;
  text << seen.outcomes.size() << " requests";
  for (const auto& [status, count] : by_status)
    text << ", " << status << ": " << count;
  text << ", cut: " << cut << ", by hosts in touch: " << count_in_touch(seen) << "; "
       << seen.arrivals.size() << " sends, " << seen.published.size() << " configurations, "
       << seen.ends.size() << " ends of hosts, " << seen.ready.size()
       << " questions for readiness, " << count_crashes(seen) << " crashes by requests, "
       << count_resumed(seen, 1) << " of " << count_resumed(seen, 0)
       << " streams went on that were taken up";
  for (const auto& [name, team] : balances_of(seen))
    text << ", " << name << " used " << team.used << " of " << team.prepaid;
  return text.str();
}

void write_lines(const observations& seen, time_ms wall, std::ostream& out) {
  std::multimap<time_ms, std::string> lines;
  const auto add = [&](time_ms at, const std::ostringstream& text) {
    lines.emplace(at, text.str());
  };
  for (const disruption& one : seen.disruptions)
    lines.emplace(one.at, "disruption " + one.what);
  for (const sent_request& one : seen.sent) {
    std::ostringstream text;
    text << "sent " << one.attempt << " " << one.target << " to h" << one.host << " life "
         << one.life << " team " << one.team;
    add(one.at, text);
  }
  for (const arrival& one : seen.arrivals) {
    std::ostringstream text;
    text << (one.ran ? "ran " : "refused ") << one.attempt << " at " << one.endpoint << " "
         << one.service << " status " << one.status << " mark " << one.mark;
    add(one.at, text);
  }
  for (const outcome& one : seen.outcomes) {
    std::ostringstream text;
    text << "got " << one.attempt << " status " << one.status << (one.whole ? " whole" : " cut")
         << (one.right ? " right" : "") << (one.left ? " left" : "") << " mark " << one.mark;
    add(one.at, text);
  }
  for (std::size_t i = 0; i < seen.published.size(); ++i)
    lines.emplace(seen.published[i].sent, "published " + std::to_string(i + 1));
  for (const auto& [at, text] : lines)
    out << (at + wall).count() << " " << text << '\n';
}

} // namespace sedgechute::soak
