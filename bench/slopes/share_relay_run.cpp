#include "routing/routing.hpp"
#include "slopes/meter.hpp"
#include "slopes/names.hpp"
#include "slopes/runs.hpp"
#include "slopes/samples.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <numeric>
#include <unordered_map>

namespace sedgechute::slopes {

namespace {

constexpr double headers = 28.0; // IP and UDP
constexpr std::size_t teams = 830;
constexpr double requests_per_s_and_host = 5100.0 / 350.0;
constexpr double tokens_per_request = 900.0;
constexpr int seconds_before = 30;
constexpr int seconds_measured = 60;

/// Hosts that exchange reports of random demand over a loss-free network, in virtual time.
class relaying_fleet {
 public:
  explicit relaying_fleet(std::size_t count) : sent_(count), received_(count), wanted_(count) {
    std::vector<share_member> members;
    for (std::size_t i = 0; i < count; ++i) {
      members.push_back({host_name(i), data_centre_name(i), false});
      relays_.push_back(std::make_unique<share_relay>(host_name(i), data_centre_name(i)));
      places_[host_name(i).host.str()] = i;
    }
    for (const auto& relay : relays_)
      relay->set_members(members, now_);
  }

  void run(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      now_ = now_ + time_ms{1000};
      std::vector<std::pair<std::size_t, addressed_shares>> due;
      for (std::size_t host = 0; host < relays_.size(); ++host)
        for (addressed_shares& one : relays_[host]->exchange(demand(host), now_))
          due.emplace_back(host, std::move(one));
      for (auto& [from, one] : due)
        deliver(from, std::move(one));
    }
  }
  void forget_traffic() {
    std::ranges::fill(sent_, 0.0);
    std::ranges::fill(received_, 0.0);
    messages = 0;
  }
  [[nodiscard]] double most_sent() const { return *std::ranges::max_element(sent_); }
  [[nodiscard]] double sent() const { return std::accumulate(sent_.begin(), sent_.end(), 0.0); }
  [[nodiscard]] double most_received() const { return *std::ranges::max_element(received_); }

  double messages{0};

 private:
  std::vector<share_report> demand(std::size_t host) {
    auto& wanted = wanted_[host];
    wanted.assign(models, {});
    const double arrivals = requests_per_s_and_host;
    const auto count = static_cast<int>(arrivals + random_.unit());
    for (int i = 0; i < count; ++i) {
      const auto team = static_cast<std::size_t>(random_.unit() * teams);
      wanted[team % models][team] += tokens_per_request;
    }
    std::vector<share_report> reports;
    for (std::size_t pool = 0; pool < models; ++pool) {
      share_report report;
      report.pool = pool_name(pool);
      report.from = host_name(host);
      report.sequence = ++sequence_;
      report.rate = 1000.0;
      for (const auto& [team, tokens] : wanted[pool])
        report.teams.push_back({team_name(team), tokens, tokens});
      reports.push_back(std::move(report));
    }
    return reports;
  }
  void deliver(std::size_t from, addressed_shares one) {
    wire::envelope envelope = envelope_to(one.to);
    *envelope.mutable_routing() = to_wire(routing_message{std::move(one.reports), {}, {}});
    const double bytes = static_cast<double>(envelope.ByteSizeLong()) + headers;
    const std::size_t to = places_.at(one.to.host.str());
    ++messages;
    sent_[from] += bytes;
    received_[to] += bytes;
    for (const share_report& report : from_wire(envelope.routing()).shares)
      relays_[to]->merge(report, now_);
  }

  time_ms now_{1'000'000};
  random_source random_{5};
  std::uint64_t sequence_{0};
  std::vector<std::unique_ptr<share_relay>> relays_;
  std::unordered_map<std::string, std::size_t> places_;
  std::vector<double> sent_;
  std::vector<double> received_;
  std::vector<std::vector<std::map<std::size_t, double>>> wanted_;
};

} // namespace

share_traffic measure_shares(std::size_t hosts) {
  relaying_fleet fleet{hosts};
  fleet.run(seconds_before);
  fleet.forget_traffic();
  const double start = thread_cpu_us();
  fleet.run(seconds_measured);
  const double per_host = seconds_measured * static_cast<double>(hosts);
  return {fleet.most_sent() / seconds_measured, fleet.sent() / per_host,
          fleet.most_received() / seconds_measured, fleet.messages / per_host,
          (thread_cpu_us() - start) / per_host};
}

void run_shares(slope_table& table) {
  series sent{"shares", "share_most_sent", "B/s of the worst host", "host", {}};
  series mean{"shares", "share_mean_sent", "B/s of a host", "host", {}};
  series received{"shares", "share_most_received", "B/s of the worst host", "host", {}};
  series messages{"shares", "share_messages", "messages/s of a host", "host", {}};
  series cpu{"shares", "share_exchange_us", "us/s of a host", "host", {}};
  for (const std::size_t hosts : {10U, 80U, 150U, 250U, 350U}) {
    const share_traffic found = measure_shares(hosts);
    const auto x = static_cast<double>(hosts);
    sent.points.push_back({x, found.most_sent});
    mean.points.push_back({x, found.mean_sent});
    received.points.push_back({x, found.most_received});
    messages.points.push_back({x, found.messages});
    cpu.points.push_back({x, found.cpu_us});
  }
  for (const series& s : {sent, mean, received, messages, cpu})
    table.add(s);
}

} // namespace sedgechute::slopes
