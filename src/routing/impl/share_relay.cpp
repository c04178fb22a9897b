#include "routing/impl/share_relay.hpp"

#include "routing/impl/share_answer.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace sedgechute {

namespace {

constexpr time_ms shortest_interval{1000};
constexpr time_ms longest_interval{4000};
constexpr std::int64_t ms_per_host = 12;
// The loop that starts the rounds may run slightly early or late.
constexpr time_ms tolerance{100};
// Hosts learn of a new speaker at different times, and their rounds are not synchronised.
constexpr std::int64_t rounds_listened = 2;
// A report stays valid if the next two are lost. An answer stays valid after its speaker has
// failed, until the next speaker has been chosen and has listened for its rounds.
constexpr std::int64_t rounds_kept = 4;
constexpr time_ms failure_detection{2000};

std::vector<host_id> candidates(const std::vector<share_member>& members,
                                const data_centre_id& data_centre, bool leaving) {
  std::vector<host_id> hosts;
  for (const share_member& one : members)
    if (one.data_centre == data_centre && (leaving || !one.leaving))
      hosts.push_back(one.who.host);
  return hosts;
}

bool is_newer(const share_report& report, const share_report& known) {
  return report.from != known.from || report.sequence > known.sequence;
}

} // namespace

share_relay::share_relay(incarnation self, data_centre_id here, share_policy policy)
    : self_{std::move(self)}, here_{std::move(here)}, policy_{policy} {
  members_.push_back({self_, here_, false});
}

time_ms share_relay::interval() const {
  const auto hosts = static_cast<std::int64_t>(members_.size());
  return std::clamp(time_ms{hosts * ms_per_host}, shortest_interval, longest_interval);
}

const share_member* share_relay::member_of(const incarnation& host) const {
  const auto found = std::ranges::find(members_, host, &share_member::who);
  return found == members_.end() ? nullptr : &*found;
}

// In a partition each side divides the pool over the hosts that it can reach. The report of a host
// that is gone would reserve an unused part of the pool for as long as reports are kept.
void share_relay::set_members(std::vector<share_member> members, time_ms now) {
  members_ = std::move(members);
  if (member_of(self_) == nullptr)
    members_.push_back({self_, here_, false});
  for (auto& [pool, reports] : from_hosts_)
    std::erase_if(reports, [this](const auto& entry) {
      return member_of(entry.second.report.from) == nullptr;
    });
  for (auto& [pool, reports] : from_centres_)
    std::erase_if(reports, [this](const auto& entry) {
      return candidates(members_, entry.first, true).empty();
    });
  const auto former = std::exchange(speakers_, {});
  for (const auto& [pool, known] : former) {
    const pool_speakers& now_speaking = speakers(pool, now);
    const auto before = known.of.find(here_);
    if (before != known.of.end() && before->second == now_speaking.of.at(here_))
      speakers_.at(pool).since = known.since;
  }
}

const share_relay::pool_speakers& share_relay::speakers(const pool_id& pool, time_ms now) {
  const auto [found, added] = speakers_.try_emplace(pool);
  if (!added)
    return found->second;
  found->second.since = now;
  std::map<host_id, incarnation> incarnations;
  std::map<data_centre_id, std::vector<host_id>> hosts;
  for (const share_member& one : members_) {
    incarnations[one.who.host] = one.who;
    hosts[one.data_centre];
  }
  for (auto& [data_centre, near] : hosts) {
    near = candidates(members_, data_centre, false);
    if (near.empty())
      near = candidates(members_, data_centre, true);
    const host_id chosen = rendezvous("speaker/" + pool.str(), near, 1).front();
    found->second.of[data_centre] = incarnations.at(chosen);
  }
  return found->second;
}

bool share_relay::has_listened(const pool_speakers& speakers, time_ms now) const {
  return now - speakers.since >= interval() * rounds_listened;
}

bool share_relay::is_recent(const received_report& received, time_ms now) const {
  return now - received.at <= interval() * rounds_kept + failure_detection;
}

// A late answer of a former speaker must not replace its successor's: it may lack hosts that the
// former speaker could not reach.
void share_relay::merge(const share_report& report, time_ms now) {
  const share_member* const sender = member_of(report.from);
  if (sender == nullptr || report.from == self_)
    return;
  const auto keep = [&](received_report& known) {
    if (is_newer(report, known.report))
      known = {report, now};
  };
  switch (report.scope) {
  case share_scope::host:
    if (sender->data_centre == here_)
      keep(from_hosts_[report.pool][report.from.host]);
    return;
  case share_scope::data_centre:
    if (sender->data_centre != here_)
      keep(from_centres_[report.pool][sender->data_centre]);
    return;
  case share_scope::fleet: {
    received_report& known = answers_[report.pool];
    const bool from_speaker = speakers(report.pool, now).of.at(here_) == report.from;
    if (sender->data_centre == here_ && (from_speaker || !is_recent(known, now)))
      keep(known);
    return;
  }
  }
}

void share_relay::record_own(std::vector<share_report> own) {
  own_.clear();
  for (share_report& report : own) {
    measured_[report.pool].push_back(report);
    own_.emplace(report.pool, std::move(report));
  }
}

// A round may last several seconds, and its last second alone would omit most teams: in a large
// fleet a team has only occasional requests at any one host.
share_report share_relay::mean_of(const std::vector<share_report>& measured) const {
  share_report mean = merge_reports(measured, policy_.max_teams);
  const double part = 1.0 / static_cast<double>(measured.size());
  const auto scale = [part](team_demand& team) {
    team.wanted *= part;
    team.served *= part;
    team.queued *= part;
  };
  std::ranges::for_each(mean.teams, scale);
  scale(mean.others);
  mean.urgent_queued *= part;
  mean.rate *= part;
  mean.hosts = 1;
  mean.from = self_;
  mean.sequence = measured.back().sequence;
  return mean;
}

std::vector<addressed_shares> share_relay::exchange(std::vector<share_report> own, time_ms now) {
  record_own(std::move(own));
  if (last_round_ && now - *last_round_ < interval() - tolerance)
    return {};
  last_round_ = now;
  mean_.clear();
  for (const auto& [pool, measured] : std::exchange(measured_, {}))
    mean_.emplace(pool, mean_of(measured));
  for (const auto& [pool, report] : mean_) {
    const pool_speakers& known = speakers(pool, now);
    const incarnation& speaker = known.of.at(here_);
    if (speaker == self_)
      publish_sums(pool, known, now);
    else
      queue(speaker, report);
  }
  std::vector<addressed_shares> due;
  for (auto& [to, reports] : std::exchange(due_, {}))
    due.push_back({to, std::move(reports)});
  return due;
}

// A new speaker has reports from few hosts. Its sum would divide the pool over these alone, and the
// credits of all hosts would add up to far more than the pool, so it first listens for some rounds.
void share_relay::publish_sums(const pool_id& pool, const pool_speakers& speakers, time_ms now) {
  if (!has_listened(speakers, now))
    return;
  const std::vector<share_report> near = local_reports(pool, now);
  share_report here = merge_reports(near, policy_.max_teams);
  here.pool = pool;
  here.from = self_;
  here.sequence = ++sequence_;
  here.scope = share_scope::data_centre;
  for (const auto& [data_centre, speaker] : speakers.of)
    if (data_centre != here_)
      queue(speaker, here);
  std::vector<share_report> reports = remote_reports(pool, now);
  reports.insert(reports.end(), near.begin(), near.end());
  share_report all = merge_reports(reports, std::numeric_limits<std::size_t>::max());
  all.pool = pool;
  all.from = self_;
  all.sequence = here.sequence;
  const share_answers answers{std::move(all), policy_};
  for (const share_report& asked : near)
    if (asked.from != self_)
      queue(asked.from, answers.answer_to(asked));
}

std::vector<share_report> share_relay::local_reports(const pool_id& pool, time_ms now) const {
  std::vector<share_report> reports;
  if (const auto known = from_hosts_.find(pool); known != from_hosts_.end())
    for (const auto& [host, one] : known->second)
      if (is_recent(one, now))
        reports.push_back(one.report);
  if (const auto own = mean_.find(pool); own != mean_.end())
    reports.push_back(own->second);
  return reports;
}

std::vector<share_report> share_relay::remote_reports(const pool_id& pool, time_ms now) const {
  std::vector<share_report> reports;
  if (const auto known = from_centres_.find(pool); known != from_centres_.end())
    for (const auto& [data_centre, one] : known->second)
      if (is_recent(one, now))
        reports.push_back(one.report);
  return reports;
}

// Adds the teams whose requests began here after the last report. They are not in the answer, and
// with rounds of several seconds they would wait that long for a part of the pool.
share_report share_relay::sum(const pool_id& pool, time_ms now) const {
  const auto own = own_.find(pool);
  const auto speaking = speakers_.find(pool);
  const bool speaks = speaking != speakers_.end() && speaking->second.of.at(here_) == self_ &&
                      has_listened(speaking->second, now);
  const auto answer = answers_.find(pool);
  if (!speaks && answer != answers_.end() && is_recent(answer->second, now)) {
    share_report sum = answer->second.report;
    if (own != own_.end())
      for (const team_demand& team : own->second.teams)
        if (std::ranges::find(sum.teams, team.team, &team_demand::team) == sum.teams.end())
          sum.teams.push_back(team);
    return sum;
  }
  std::vector<share_report> reports = remote_reports(pool, now);
  const std::vector<share_report> near = local_reports(pool, now);
  reports.insert(reports.end(), near.begin(), near.end());
  return merge_reports(reports, policy_.max_teams);
}

void share_relay::queue(const incarnation& to, share_report report) {
  due_[to].push_back(std::move(report));
}

} // namespace sedgechute
