#include "daemon/impl/share_exchange.hpp"

#include "wire/wire.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

std::vector<share_member> share_members(const membership_view& view) {
  std::vector<share_member> members;
  for (const member& one : view.members)
    members.push_back({one.who, one.data_centre, one.leaving});
  return members;
}

// The speaker divides the pool among all teams, also those that have no work on its own host.
void set_weights(share_report& report, std::span<const team_weight> weights) {
  for (team_demand& team : report.teams) {
    const auto found = std::ranges::find(weights, team.team, &team_weight::team);
    team.weight = found == weights.end() ? 1.0 : found->weight;
  }
}

} // namespace

share_exchange::share_exchange(incarnation self, data_centre_id here, dispatch_service& dispatch,
                               peer_links& peers, const clock& time)
    : self_{std::move(self)}, dispatch_{dispatch}, peers_{peers}, time_{time}, relay_{self_,
                                                                                      std::move(
                                                                                          here)} {}

void share_exchange::on_view(const membership_view& view) {
  const std::scoped_lock lock{mutex_};
  others_.clear();
  for (const member& one : view.members)
    if (one.who.host != self_.host)
      others_.push_back(one.who);
  relay_.set_members(share_members(view), time_.now());
}

void share_exchange::on_message(const routing_message& message) {
  if (!message.news.empty())
    dispatch_.merge(message.news);
  const std::scoped_lock lock{mutex_};
  for (const share_report& report : message.shares)
    relay_.merge(report, time_.now());
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
  const std::vector<share_report> own = measure();
  std::vector<addressed_shares> due;
  {
    const std::scoped_lock lock{mutex_};
    due = relay_.exchange(own, time_.now());
  }
  for (addressed_shares& one : due)
    send_to({one.to}, routing_message{std::move(one.reports), {}, {}});
  for (const share_report& report : own)
    plan(report);
}

std::vector<share_report> share_exchange::measure() {
  const std::vector<team_weight> weights = dispatch_.weights();
  std::vector<share_report> reports;
  for (const pool_id& pool : dispatch_.pools()) {
    share_report report = dispatch_.own_report(pool, self_);
    report.rate = dispatch_.figures(pool).queue.rate;
    set_weights(report, weights);
    reports.push_back(std::move(report));
  }
  return reports;
}

void share_exchange::plan(const share_report& own) {
  share_inputs inputs;
  inputs.pool_slots = dispatch_.figures(own.pool).load.places;
  inputs.own = own;
  {
    const std::scoped_lock lock{mutex_};
    inputs.all = relay_.sum(own.pool, time_.now());
  }
  inputs.pool_rate = inputs.all.rate;
  if (inputs.pool_slots <= 0.0)
    return;
  dispatch_.apply_plan(own.pool, plan_shares(inputs, dispatch_.weights(), share_policy{}));
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
