// Hosts that share the endpoints of a plain service estimate its free places, each with its own
// gate and directory, in virtual time.

#include "relay/relay.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace sedgechute;

namespace {

struct flow_load {
  request_flow flow;
  double part{}; ///< of all work
  std::int64_t work_ms{60};
};

/// Endpoints as the plain ones of a large deployment: 6 slots, a queue of 24, reports on answers.
class shared_endpoints {
 public:
  shared_endpoints(std::size_t hosts, double use, std::vector<flow_load> loads, bool silent = false)
      : use_{use}, loads_{std::move(loads)}, silent_{silent}, endpoints_(5), work_ms(loads_.size()),
        offered_ms(loads_.size()) {
    time_.advance(time_ms{1});
    for (std::size_t h = 0; h < hosts; ++h) {
      hosts_.push_back(std::make_unique<host>(time_, h));
      hosts_[h]->endpoints.set_hosts(std::to_string(h), std::vector<std::string>(hosts - 1));
      for (std::size_t i = 0; i < endpoints_.size(); ++i)
        hosts_[h]->endpoints.put({endpoint_id{"e" + std::to_string(i)}, "s", "127.0.0.1:7000",
                                  data_centre_id{"dc"}, slots});
    }
  }

  void play(std::int64_t span) {
    while (now() < span) {
      time_.advance(time_ms{1});
      for (auto due = events_.begin(); due != events_.end() && due->first <= now();
           due = events_.erase(due))
        due->second();
      for (std::size_t i = 0; i < endpoints_.size(); ++i)
        run(endpoints_[i]);
      for (std::size_t h = 0; h < hosts_.size(); ++h)
        poll(h);
      arrive();
      count_idle();
    }
  }

  static constexpr std::size_t slots = 6;

 private:
  static constexpr std::int64_t way_ms = 2;
  static constexpr std::size_t max_queue = 24;
  static constexpr std::int64_t warm_up_ms = 2000;
  static constexpr std::int64_t round_trip_ms = 5;
  static constexpr std::int64_t target_factor = 5; ///< latency target in terms of the work

  struct request {
    std::size_t of{};
    std::int64_t deadline{};
    std::size_t host{};
    std::vector<endpoint_hash> sent_to;
    placement place;
  };
  using request_ptr = std::shared_ptr<request>;
  struct host {
    host(const manual_clock& time, std::size_t seed)
        : endpoints{data_centre_id{"dc"}, choice_weights{}, time, random_source{seed + 1}} {}
    endpoint_directory endpoints;
    place_gate gate;
    std::map<queue_ticket, request_ptr> waiting;
    std::int64_t look_at{};
    std::int64_t tell_at{};
    std::int64_t tell_whole_at{};
  };
  struct endpoint {
    std::vector<std::pair<std::int64_t, request_ptr>> running; ///< with its end
    std::deque<request_ptr> queue;
    std::deque<std::int64_t> free_since = std::deque<std::int64_t>(slots); ///< of each free slot
  };

  [[nodiscard]] std::int64_t now() const { return time_.now().count(); }
  void after(std::int64_t ms, std::function<void()> act) {
    events_.emplace(now() + ms, std::move(act));
  }
  [[nodiscard]] load_report report_of(const endpoint& of) const {
    return {of.running.size(), of.queue.size(), slots, 100};
  }

  void arrive() {
    const double capacity = static_cast<double>(slots * endpoints_.size());
    for (std::size_t i = 0; i < loads_.size(); ++i) {
      const double per_ms =
          use_ * capacity * loads_[i].part / static_cast<double>(loads_[i].work_ms);
      for (double left = per_ms; random_.unit() < left; left -= 1) {
        // A sixteenth of the hosts gets half of the requests.
        const std::size_t busy = std::max<std::size_t>(1, hosts_.size() / 16);
        const std::size_t at = random_.below(random_.unit() < 0.5 ? busy : hosts_.size());
        if (now() > warm_up_ms)
          offered_ms[i] += static_cast<double>(loads_[i].work_ms);
        enter(std::make_shared<request>(
            request{i, now() + target_factor * loads_[i].work_ms, at, {}, {}}));
      }
    }
  }
  void enter(const request_ptr& one) {
    host& at = *hosts_[one->host];
    const flow_load& load = loads_[one->of];
    const auto entered = at.gate.enter(
        {load.flow, time_.now(), time_ms{one->deadline}, time_ms{load.work_ms}},
        time_ms{target_factor * load.work_ms / 4}, at.endpoints.capacity("s"), time_.now());
    at.waiting[entered.ticket] = one;
    take(at, entered.ended);
  }
  void take(host& at, const std::vector<place_gate::event>& ended) {
    for (const auto& [ticket, end] : ended) {
      const auto found = at.waiting.find(ticket);
      const request_ptr one = found->second;
      at.waiting.erase(found);
      if (!goes_on(end))
        continue;
      send(at, one);
      at.gate.note_placed();
    }
  }
  void send(host& at, const request_ptr& one) {
    const auto place = at.endpoints.place({"s", nullptr, one->sent_to});
    if (!place)
      return;
    one->place = *place;
    one->sent_to.push_back(place->incarnation);
    (void)at.endpoints.note_sent(one->place);
    after(way_ms, [this, one] {
      endpoint& to = endpoints_[one->place.local_incarnation - 1];
      if (to.running.size() + to.queue.size() >= slots + max_queue)
        return after(way_ms, [this, one, load = report_of(to)] { end(one, load, false); });
      to.queue.push_back(one);
      run(to);
    });
  }
  void run(endpoint& at) {
    std::erase_if(at.running, [&](const auto& each) {
      if (each.first > now())
        return false;
      if (now() > warm_up_ms)
        work_ms[each.second->of] += static_cast<double>(loads_[each.second->of].work_ms);
      at.free_since.push_back(now());
      after(way_ms, [this, &at, one = each.second, load = report_of(at)] { end(one, load, true); });
      return true;
    });
    while (at.running.size() < slots && !at.queue.empty()) {
      const request_ptr one = at.queue.front();
      at.queue.pop_front();
      at.free_since.pop_front();
      at.running.emplace_back(now() + loads_[one->of].work_ms, one);
    }
  }
  void end(const request_ptr& one, const load_report& load, bool served) {
    host& at = *hosts_[one->host];
    if (!silent_)
      at.endpoints.note_load(one->place, load);
    if (served)
      at.endpoints.note_prompt_read(one->place);
    at.endpoints.release(one->place, served ? send_outcome::answered : send_outcome::not_run,
                         served);
    take(at, at.gate.update(at.endpoints.capacity("s"), time_.now()));
    if (!served && one->sent_to.size() < 3)
      enter(one);
  }
  // As place_waits and load_exchange do.
  void poll(std::size_t h) {
    host& at = *hosts_[h];
    if (at.gate.waiting() > 0 && now() >= at.look_at) {
      take(at, at.gate.update(at.endpoints.capacity("s"), time_.now()));
      at.look_at =
          now() + static_cast<std::int64_t>(std::clamp<std::size_t>(2 * at.gate.waiting(), 4, 50));
    }
    if (hosts_.size() == 1 || now() < at.tell_at)
      return;
    const bool whole = now() >= at.tell_whole_at;
    if (whole)
      at.tell_whole_at = now() + 1000;
    const use_report report{h + 1, ++numbers_, whole, at.endpoints.own_use(!whole), {}};
    const std::size_t step = std::max<std::size_t>(1, (hosts_.size() - 1) / 16);
    std::size_t told = 0;
    for (std::size_t i = 1; i < hosts_.size() && told < 16; i += step, ++told)
      if (random_.unit() > lost)
        after(way_ms, [to = hosts_[(h + i) % hosts_.size()].get(), report] {
          to->endpoints.take_report(report);
        });
    at.tell_at = now() + report_spacing({.min_interval = time_ms{20}}, told).count();
  }
  // Counts slots that stay free for longer than an answer and the next request take.
  void count_idle() {
    const bool waits =
        std::ranges::any_of(hosts_, [](const auto& each) { return each->gate.waiting() > 0; });
    for (endpoint& at : endpoints_)
      for (const std::int64_t since : at.free_since)
        idle_ms += waits && now() > warm_up_ms && now() - since > round_trip_ms ? 1 : 0;
    places_ms += now() > warm_up_ms ? slots * endpoints_.size() : 0;
    waits_ms += waits && now() > warm_up_ms ? 1 : 0;
  }

  double use_;
  std::vector<flow_load> loads_;
  bool silent_;
  manual_clock time_;
  random_source random_{11};
  std::vector<endpoint> endpoints_;
  std::vector<std::unique_ptr<host>> hosts_;
  std::multimap<std::int64_t, std::function<void()>> events_;
  std::uint32_t numbers_{0};

 public:
  double lost{0.05};              ///< part of the messages between hosts
  std::vector<double> work_ms;    ///< done, by flow
  std::vector<double> offered_ms; ///< by flow
  std::size_t idle_ms{};          ///< slots that were free while requests waited
  std::size_t places_ms{};        ///< all slots
  std::size_t waits_ms{};         ///< time in which requests waited
};

const std::vector<flow_load> competing{{{0, "a"}, 0.3, 60},
                                       {{0, "b"}, 0.1, 60},
                                       {{2, "a"}, 0.1, 240},
                                       {{2, "b"}, 0.1, 30},
                                       {{2, "c"}, 0.4, 60}};

void check_free_places(std::size_t hosts) {
  for (const double use : {0.7, 0.95, 2.0}) {
    shared_endpoints at{hosts, use, competing};
    at.play(12000);
    double work = 0;
    for (const double of : at.work_ms)
      work += of;
    MESSAGE(hosts << " hosts, load " << use << ": requests wait for " << at.waits_ms << " ms, "
                  << at.idle_ms << " of " << at.places_ms << " place ms free meanwhile, "
                  << work / static_cast<double>(at.places_ms) << " in use");
    CHECK(at.idle_ms == 0);
  }
}

void check_shares(std::size_t hosts, double lost = 0.05) {
  shared_endpoints at{hosts, 2.0, competing};
  at.lost = lost;
  at.play(12000);
  std::map<int, double> work;
  for (std::size_t i = 0; i < competing.size(); ++i)
    work[competing[i].flow.priority] += at.work_ms[i];
  MESSAGE(hosts << " hosts: priorities 0 and 2 get " << work[0] << " and " << work[2] << " ms");
  CHECK(work[2] >= (work[0] + work[2]) / 10);
  CHECK(work[0] >= (work[0] + work[2]) / 10);
  for (std::size_t i = 0; i < competing.size(); ++i) {
    MESSAGE(competing[i].flow.team << " of priority " << competing[i].flow.priority << ": "
                                   << at.work_ms[i] << " of " << at.offered_ms[i] << " ms");
    CHECK(at.work_ms[i] >= std::min(work[competing[i].flow.priority], at.offered_ms[i]) / 10);
  }
}

} // namespace

// Each guards against requests that wait at hosts while endpoints have nothing to do.
TEST_CASE("1 host leaves no place free while requests wait") {
  check_free_places(1);
}
TEST_CASE("9 hosts leave no place free while requests wait") {
  check_free_places(9);
}
TEST_CASE("81 hosts leave no place free while requests wait") {
  check_free_places(81);
}
TEST_CASE("300 hosts leave no place free while requests wait") {
  check_free_places(300);
}

// Guards against a priority, a team or a size that gets next to nothing at twice the load, as hosts
// that see few of each other's requests take the places of others.
TEST_CASE("no priority, team or size is starved by 1, 9, 81 or 300 hosts that share endpoints") {
  for (const std::size_t hosts : {1U, 9U, 81U, 300U})
    check_shares(hosts);
}

// Guards against hosts that wait for each other's reports in a partition.
TEST_CASE("no priority, team or size is starved by hosts that are cut off from each other") {
  check_shares(9, 1);
}

// Guards against requests that wait by the load of endpoints that report none.
TEST_CASE("nothing waits for places at endpoints without reports") {
  shared_endpoints at{9, 2.0, competing, true};
  at.play(4000);
  CHECK(at.waits_ms == 0);
}
