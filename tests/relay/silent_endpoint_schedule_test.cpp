// Random schedules of fleets whose endpoints fall silent, all at once, in part or for good.
// Invariants: no request is lost; where all are silent, hosts that use several endpoints send
// nothing twice; what waits for an endpoint that is silent for good goes on elsewhere; repeats stay
// within the budget.

#include "relay/relay.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace sedgechute;

namespace {

constexpr time_ms step{10};
constexpr time_ms stall_after{1000};
constexpr std::size_t attempts = 2;
constexpr time_ms silent_from{3000};
constexpr time_ms length{8000};
constexpr time_ms deadline{6000}; // of each request, from its arrival
constexpr std::uint64_t longest_pause_ms = 200;
constexpr std::int64_t shortest_run_ms = 300;
constexpr std::uint64_t longer_run_ms = 2500;

/// Injected faults that the schedules must find.
enum class mutation {
  none,
  always_beside, ///< the silence of the other endpoints is not looked at
  never_beside,
  leave_at_once, ///< a silent endpoint is left before it is known whether another one answers
  no_budget      ///< retries are not taken from the budget
};

struct shape {
  std::size_t hosts{9};
  std::size_t endpoints{12};
  double silent_part{1.0};
  time_ms silence{1300};
  double requests_per_second{15}; ///< of each host
};

constexpr time_ms for_good{60000};

struct open_run {
  placement place;
  std::size_t endpoint{};
  time_ms next_event;
};

struct open_request {
  time_ms arrived;
  time_ms ends; ///< if no endpoint falls silent
  time_ms last_heard;
  time_ms next_check;
  std::optional<silence_decision> noted;
  std::vector<endpoint_hash> avoid;
  std::vector<open_run> runs; ///< the last one was begun beside the others
};

struct host_state {
  std::unique_ptr<endpoint_directory> directory;
  retry_limiter retries{{.slack = 50}};
  std::vector<open_request> open;
  double owed{0}; ///< part of the next request
};

struct outcome {
  std::size_t requests{};
  std::size_t lost{};
  std::size_t repeats{};
  time_ms longest_silence; ///< of a request that went on afterwards
};

class schedule {
 public:
  schedule(std::uint64_t seed, const shape& of, mutation fault)
      : random_{seed}, shape_{of}, fault_{fault}, hosts_(of.hosts), silent_(of.endpoints) {
    for (std::size_t i = 0; i < of.endpoints; ++i)
      silent_[i] = static_cast<double>(i) < of.silent_part * static_cast<double>(of.endpoints);
    for (host_state& host : hosts_) {
      host.directory = std::make_unique<endpoint_directory>(data_centre_id{"dc"}, choice_weights{},
                                                            time_, random_source{random_()});
      for (std::size_t i = 0; i < of.endpoints; ++i)
        host.directory->put({endpoint_id{"e" + std::to_string(i)}, "s", "127.0.0.1:1",
                             data_centre_id{"dc"}, 64, false, time_ms{1}});
    }
  }

  void run() {
    for (; time_.now() < length + deadline; time_.advance(step))
      for (host_state& host : hosts_) {
        if (time_.now() < length)
          take_requests(host);
        for (open_request& one : host.open)
          serve(host, one);
        std::erase_if(host.open, [](const open_request& one) { return one.runs.empty(); });
      }
  }

  [[nodiscard]] const outcome& seen() const noexcept { return seen_; }

 private:
  [[nodiscard]] time_ms draw_ms(std::uint64_t most) {
    return time_ms{static_cast<std::int64_t>(random_.below(most))};
  }

  [[nodiscard]] bool is_silent(std::size_t endpoint) const {
    return silent_[endpoint] && time_.now() >= silent_from &&
           time_.now() < silent_from + shape_.silence;
  }

  void take_requests(host_state& host) {
    constexpr double second_ms = 1000;
    host.owed += shape_.requests_per_second * static_cast<double>(step.count()) / second_ms *
                 random_.unit() * 2;
    for (; host.owed >= 1; host.owed -= 1) {
      open_request made;
      made.arrived = made.last_heard = time_.now();
      made.ends = time_.now() + time_ms{shortest_run_ms} + draw_ms(longer_run_ms);
      made.next_check = time_.now() + stall_after;
      ++seen_.requests;
      host.retries.note_request("s", time_.now());
      if (begin(host, made, {}))
        host.open.push_back(std::move(made));
    }
  }

  bool begin(host_state& host, open_request& of, const std::vector<endpoint_hash>& silent) {
    placement_request request{.service = "s", .avoid = of.avoid};
    request.avoid.insert(request.avoid.end(), silent.begin(), silent.end());
    auto place = host.directory->place(request);
    if (!place)
      return false;
    host.directory->note_sent(*place);
    of.avoid.push_back(place->incarnation);
    const std::size_t endpoint = std::stoul(place->endpoint.str().substr(1));
    of.runs.push_back({std::move(*place), endpoint, time_.now() + draw_ms(longest_pause_ms)});
    return true;
  }

  void end(host_state& host, open_request& of, send_outcome how) {
    for (const open_run& one : of.runs)
      host.directory->release(one.place, how, true);
    of.runs.clear();
  }

  void serve(host_state& host, open_request& of) {
    const time_ms now = time_.now();
    for (std::size_t i = 0; i < of.runs.size(); ++i) {
      open_run& run = of.runs[i];
      if (is_silent(run.endpoint) || now < run.next_event)
        continue;
      run.next_event = now + draw_ms(longest_pause_ms);
      run.place.heard->note(now);
      seen_.longest_silence = std::max(seen_.longest_silence, now - of.last_heard);
      of.last_heard = now;
      of.next_check = now + stall_after;
      of.noted.reset();
      keep_only(host, of, i);
      break;
    }
    if (now >= of.ends && of.runs.size() == 1 && of.last_heard == now)
      return end(host, of, send_outcome::answered);
    if (now - of.arrived >= deadline) {
      ++seen_.lost;
      return end(host, of, send_outcome::timed_out);
    }
    if (now >= of.next_check)
      consider(host, of);
  }

  void keep_only(host_state& host, open_request& of, std::size_t kept) {
    for (std::size_t i = 0; i < of.runs.size(); ++i)
      if (i != kept)
        host.directory->release(of.runs[i].place,
                                i < kept ? send_outcome::stalled : send_outcome::superseded, true);
    std::swap(of.runs.front(), of.runs[kept]);
    of.runs.resize(1);
  }

  void leave(host_state& host, open_request& of) {
    const bool allowed =
        of.avoid.size() < attempts && host.retries.take_retry("s", hosts_.size(), time_.now());
    if (!allowed && of.avoid.size() == attempts)
      return; // the last endpoint is waited for
    host.directory->note_stalled(of.runs.front().place);
    end(host, of, send_outcome::stalled);
    of.next_check = time_.now() + stall_after;
    if (allowed && begin(host, of, {}))
      ++seen_.repeats;
    else
      ++seen_.lost;
  }

  void consider(host_state& host, open_request& of) {
    const time_ms now = time_.now();
    if (fault_ == mutation::leave_at_once)
      return leave(host, of);
    const time_ms silent_for = now - of.last_heard;
    const service_activity others =
        host.directory->activity("s", now - activity_window(silent_for));
    const bool alone = fault_ == mutation::always_beside;
    const silence_decision decision = decide_on_silence(
        {.silent_for = silent_for,
         .stall_after = stall_after,
         .time_left = of.arrived + deadline - now,
         .may_run_again = of.avoid.size() < attempts && fault_ != mutation::never_beside,
         .all_were_silent = of.noted == silence_decision::all_silent,
         .retry_left =
             fault_ == mutation::no_budget || host.retries.has_retry("s", hosts_.size(), now),
         .heard = alone ? 1 : others.heard,
         .unused = others.unused,
         .silent = others.silent.size() - static_cast<std::size_t>(std::ranges::count(
                                              others.silent, of.runs.front().place.incarnation))});
    if (is_fault_of_one(decision) && of.noted != decision)
      host.directory->note_stalled(of.runs.front().place);
    of.noted = decision;
    of.next_check = now + silence_check_interval();
    if (decision != silence_decision::send_beside || !begin(host, of, others.silent))
      return;
    (void)host.retries.take_retry("s", hosts_.size(), now);
    ++seen_.repeats;
  }

  random_source random_;
  manual_clock time_;
  shape shape_;
  mutation fault_;
  std::vector<host_state> hosts_;
  std::vector<bool> silent_;
  outcome seen_;
};

outcome played(std::uint64_t seed, const shape& of, mutation fault = mutation::none) {
  schedule made{seed, of, fault};
  made.run();
  return made.seen();
}

constexpr int seeds = 6;
constexpr std::size_t few_hosts = 9; // which use all endpoints

} // namespace

// All endpoints of a service were silent for a second, and hosts sent each other's requests to
// them.
TEST_CASE("no schedule sends requests twice while all endpoints are silent") {
  for (const std::size_t hosts : {1, 3, 9, 30, 100, 300})
    for (int seed = 0; seed < (hosts > 30 ? 1 : seeds); ++seed) {
      const shape of{.hosts = hosts, .endpoints = std::max<std::size_t>(12, hosts)};
      const outcome made = played(8800 + seed, of);
      INFO("hosts ", hosts, " seed ", seed, " repeats ", made.repeats, " of ", made.requests);
      CHECK(made.lost == 0);
      CHECK(made.repeats == 0);
    }
}

// Requests waited for endpoints that were silent for good.
TEST_CASE("no schedule keeps requests at endpoints that are silent for good") {
  for (const std::size_t hosts : {1, 3, 9, 30, 100, 300})
    for (int seed = 0; seed < (hosts > 30 ? 1 : seeds); ++seed) {
      const shape of{.hosts = hosts,
                     .endpoints = std::max<std::size_t>(12, hosts),
                     .silent_part = 0.17,
                     .silence = for_good};
      const outcome made = played(8900 + seed, of);
      const outcome left = played(8900 + seed, of, mutation::leave_at_once);
      INFO("hosts ", hosts, " seed ", seed, " repeats ", made.repeats, " of ", made.requests,
           " lost ", made.lost, " where silent endpoints are left: ", left.lost);
      // Both are counts of independent draws: three standard deviations of their difference.
      CHECK(static_cast<double>(made.lost) <=
            static_cast<double>(left.lost) +
                3 * std::sqrt(static_cast<double>(made.lost + left.lost)));
      if (hosts <= few_hosts)
        CHECK(made.longest_silence <= stall_after + time_ms{500});
    }
}

// Six in ten endpoints were silent: their requests went on elsewhere at the cost of all retries.
TEST_CASE("no schedule loses requests while some endpoints are silent") {
  for (const std::size_t hosts : {1, 3, 9, 30, 100, 300})
    for (int seed = 0; seed < (hosts > 30 ? 1 : seeds); ++seed) {
      const shape of{
          .hosts = hosts, .endpoints = std::max<std::size_t>(12, hosts), .silent_part = 0.6};
      const outcome made = played(9000 + seed, of);
      INFO("hosts ", hosts, " seed ", seed, " repeats ", made.repeats, " of ", made.requests);
      CHECK(made.lost == 0);
      CHECK(static_cast<double>(made.repeats) <= 0.2 * static_cast<double>(made.requests) + 50);
    }
}

TEST_CASE("schedules of silent endpoints notice deliberate faults") {
  const shape all{.hosts = 100, .endpoints = 100};
  const shape dark{.silent_part = 0.17, .silence = for_good};
  const shape many{.hosts = 30, .endpoints = 30, .silent_part = 0.8, .silence = for_good};
  CHECK(played(8800, all, mutation::always_beside).repeats > 0);
  CHECK(played(8800, all, mutation::leave_at_once).lost > 0);
  CHECK(played(8900, dark, mutation::never_beside).lost >
        played(8900, dark, mutation::leave_at_once).lost);
  const outcome free = played(9000, many, mutation::no_budget);
  CHECK(static_cast<double>(free.repeats) > 0.2 * static_cast<double>(free.requests) + 50);
}
