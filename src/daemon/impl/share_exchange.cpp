#include "daemon/impl/share_exchange.hpp"

#include "wire/wire.hpp"

#include <utility>

namespace sedgechute {

namespace {

// Older reports say nothing of what a host wants now: it is gone, or cut off and on its own.
constexpr time_ms report_life{5000};

} // namespace

share_exchange::share_exchange(incarnation self, dispatch_service& dispatch, peer_links& peers,
                               const clock& time)
    : self_{std::move(self)}, dispatch_{dispatch}, peers_{peers}, time_{time} {}

void share_exchange::on_view(const membership_view& view) {
  const std::scoped_lock lock{mutex_};
  others_.clear();
  for (const member& one : view.members)
    if (one.who.host != self_.host)
      others_.push_back(one.who);
}

void share_exchange::on_message(const routing_message& message) {
  if (!message.news.empty())
    dispatch_.merge(message.news);
  const std::scoped_lock lock{mutex_};
  for (const share_report& report : message.shares) {
    heard_report& kept = heard_[{report.pool, report.from.host}];
    const bool newer = kept.report.from != report.from || report.sequence > kept.report.sequence;
    if (newer)
      kept = {report, time_.now()};
  }
}

void share_exchange::send_news() {
  routing_message message;
  message.news = dispatch_.take_news();
  if (!message.news.empty())
    send_to_all(message);
}

void share_exchange::exchange() {
  routing_message message;
  for (const pool_id& pool : dispatch_.pools()) {
    share_report own = dispatch_.own_report(pool, self_);
    plan(pool, own);
    if (!own.teams.empty())
      message.shares.push_back(std::move(own));
  }
  if (!message.shares.empty())
    send_to_all(message);
}

void share_exchange::plan(const pool_id& pool, const share_report& own) {
  std::vector<share_report> all = recent_reports(pool);
  all.push_back(own);
  const auto figures = dispatch_.figures(pool);
  share_inputs inputs;
  inputs.pool_slots = figures.load.places;
  inputs.pool_rate = figures.queue.rate * static_cast<double>(all.size());
  inputs.own = own;
  inputs.all = merge_reports(all, share_policy{}.most_teams);
  if (inputs.pool_slots <= 0.0)
    return;
  dispatch_.apply_plan(pool, plan_shares(inputs, dispatch_.weights(), share_policy{}));
}

std::vector<share_report> share_exchange::recent_reports(const pool_id& pool) {
  const std::scoped_lock lock{mutex_};
  std::vector<share_report> reports;
  for (auto entry = heard_.begin(); entry != heard_.end();) {
    if (time_.now() - entry->second.at > report_life) {
      entry = heard_.erase(entry);
      continue;
    }
    if (entry->first.first == pool)
      reports.push_back(entry->second.report);
    ++entry;
  }
  return reports;
}

void share_exchange::send_to_all(const routing_message& message) {
  std::vector<incarnation> to;
  {
    const std::scoped_lock lock{mutex_};
    to = others_;
  }
  for (const incarnation& peer : to) {
    wire::envelope envelope;
    *envelope.mutable_routing() = to_wire(message);
    peers_.send(peer, std::move(envelope));
  }
}

} // namespace sedgechute
