#include "daemon/impl/share_exchange.hpp"

#include "wire/wire.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

// Older reports say nothing of what a host wants now: it is gone, or cut off and on its own.
constexpr time_ms report_life{5000};

std::map<data_centre_id, std::vector<host_id>> hosts_by_data_centre(const membership_view& view) {
  std::map<data_centre_id, std::vector<host_id>> hosts;
  for (const member& one : view.members)
    if (!one.leaving)
      hosts[one.data_centre].push_back(one.who.host);
  return hosts;
}

incarnation incarnation_of(const membership_view& view, const host_id& host) {
  for (const member& one : view.members)
    if (one.who.host == host)
      return one.who;
  return {};
}

} // namespace

share_exchange::share_exchange(incarnation self, data_centre_id here, dispatch_service& dispatch,
                               peer_links& peers, const clock& time)
    : self_{std::move(self)}, here_{std::move(here)}, dispatch_{dispatch}, peers_{peers},
      time_{time}, speaker_{self_} {}

void share_exchange::on_view(const membership_view& view) {
  const std::scoped_lock lock{mutex_};
  others_.clear();
  near_.clear();
  speakers_.clear();
  for (const member& one : view.members) {
    if (one.who.host == self_.host)
      continue;
    others_.push_back(one.who);
    if (one.data_centre == here_)
      near_.push_back(one.who);
  }
  for (const auto& [data_centre, hosts] : hosts_by_data_centre(view)) {
    const incarnation speaker = incarnation_of(view, rendezvous("speaker", hosts, 1).front());
    if (data_centre == here_)
      speaker_ = speaker;
    else
      speakers_.push_back(speaker);
  }
}

void share_exchange::on_message(const routing_message& message) {
  if (!message.news.empty())
    dispatch_.merge(message.news);
  const std::scoped_lock lock{mutex_};
  for (const share_report& report : message.shares)
    keep(is_speaker(report.from) ? from_speakers_ : from_hosts_, report);
}

// Speakers send sums only. Views that differ for a moment may take one for the other; the next
// round, a second later, is right again.
bool share_exchange::is_speaker(const incarnation& host) const {
  return host == speaker_ || std::find(speakers_.begin(), speakers_.end(), host) != speakers_.end();
}

void share_exchange::keep(report_map& reports, const share_report& report) {
  heard_report& kept = reports[{report.pool, report.from.host}];
  const bool newer = kept.report.from != report.from || report.sequence > kept.report.sequence;
  if (newer)
    kept = {report, time_.now()};
}

void share_exchange::send_news() {
  routing_message message;
  message.news = dispatch_.take_news();
  if (message.news.empty())
    return;
  std::vector<incarnation> to;
  {
    const std::scoped_lock lock{mutex_};
    to = others_;
  }
  send_to(to, message);
}

void share_exchange::exchange() {
  routing_message own;
  for (const pool_id& pool : dispatch_.pools()) {
    share_report report = dispatch_.own_report(pool, self_);
    plan(pool, report);
    if (!report.teams.empty())
      own.shares.push_back(std::move(report));
  }
  incarnation speaker;
  {
    const std::scoped_lock lock{mutex_};
    speaker = speaker_;
  }
  if (speaker == self_)
    speak(own);
  else if (!own.shares.empty())
    send_to({speaker}, own);
}

// A speaker tells the other speakers about its data centre, and its own hosts about all of them.
void share_exchange::speak(const routing_message& own) {
  routing_message here;
  routing_message everywhere;
  std::vector<incarnation> speakers;
  std::vector<incarnation> near;
  for (const pool_id& pool : dispatch_.pools()) {
    share_report own_report;
    own_report.pool = pool;
    own_report.from = self_;
    for (const share_report& report : own.shares)
      if (report.pool == pool)
        own_report = report;
    share_report sum = sum_of_here(pool, own_report);
    const std::scoped_lock lock{mutex_};
    for (const share_report& other : recent(from_speakers_, pool))
      everywhere.shares.push_back(other);
    if (sum.teams.empty())
      continue;
    everywhere.shares.push_back(sum);
    here.shares.push_back(std::move(sum));
  }
  {
    const std::scoped_lock lock{mutex_};
    speakers = speakers_;
    near = near_;
  }
  if (!here.shares.empty())
    send_to(speakers, here);
  if (!everywhere.shares.empty())
    send_to(near, everywhere);
}

share_report share_exchange::sum_of_here(const pool_id& pool, const share_report& own) {
  std::vector<share_report> reports;
  {
    const std::scoped_lock lock{mutex_};
    reports = recent(from_hosts_, pool);
  }
  reports.push_back(own);
  share_report sum = merge_reports(reports, share_policy{}.most_teams);
  sum.pool = pool;
  sum.from = self_;
  sum.sequence = own.sequence;
  return sum;
}

// Of its own data centre a host knows the speaker's sum, which has its own demand in it; a speaker
// knows the reports themselves.
std::vector<share_report> share_exchange::reports_for_plan(const pool_id& pool,
                                                           const share_report& own) {
  const std::scoped_lock lock{mutex_};
  std::vector<share_report> reports = recent(from_speakers_, pool);
  const bool summed_here =
      std::any_of(reports.begin(), reports.end(), [this](const share_report& report) {
        return report.from == speaker_ && speaker_ != self_;
      });
  if (summed_here)
    return reports;
  for (const share_report& report : recent(from_hosts_, pool))
    reports.push_back(report);
  reports.push_back(own);
  return reports;
}

void share_exchange::plan(const pool_id& pool, const share_report& own) {
  const std::vector<share_report> all = reports_for_plan(pool, own);
  const auto figures = dispatch_.figures(pool);
  share_inputs inputs;
  inputs.pool_slots = figures.load.places;
  inputs.own = own;
  inputs.all = merge_reports(all, share_policy{}.most_teams);
  inputs.pool_rate =
      figures.queue.rate * static_cast<double>(std::max<std::uint32_t>(1, inputs.all.hosts));
  if (inputs.pool_slots <= 0.0)
    return;
  dispatch_.apply_plan(pool, plan_shares(inputs, dispatch_.weights(), share_policy{}));
}

std::vector<share_report> share_exchange::recent(report_map& reports, const pool_id& pool) const {
  std::vector<share_report> found;
  for (auto entry = reports.begin(); entry != reports.end();) {
    if (time_.now() - entry->second.at > report_life) {
      entry = reports.erase(entry);
      continue;
    }
    if (entry->first.first == pool)
      found.push_back(entry->second.report);
    ++entry;
  }
  return found;
}

void share_exchange::send_to(const std::vector<incarnation>& receivers,
                             const routing_message& message) {
  for (const incarnation& peer : receivers) {
    wire::envelope envelope;
    *envelope.mutable_routing() = to_wire(message);
    peers_.send(peer, std::move(envelope));
  }
}

} // namespace sedgechute
