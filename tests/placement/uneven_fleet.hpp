#pragma once

#include "relay/relay.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

namespace sedgechute::uneven {

struct fleet_shape {
  std::size_t hosts{1};
  std::size_t endpoints{60};
  std::size_t slots{64};
  bool engines{true}; ///< prompts are read one after the other, then the answer keeps a slot
  double use{0.7};    ///< part of the capacity
  double tokens_a_ms{57};
  double work_ms{300};          ///< that an answer keeps a slot
  std::optional<double> liar{}; ///< percent that the first endpoint always reports; it is slow
  std::uint64_t seed{1};
};

struct fleet_result {
  double mean{};
  double p99{};
  std::size_t most_at_liar{}; ///< requests that run or wait there
};

/// \brief A queueing model of endpoints: requests take slots in the order in which they come.
class model_endpoint {
 public:
  struct run {
    double start{}, first{}, done{};
  };

  model_endpoint(const fleet_shape& shape, std::size_t number, random_source& random)
      : shape_{shape}, free_(shape.slots), random_{random()}, phase_{random.unit() * 600},
        speed_{0.6 + random.unit()}, slow_when_full_{number % 3 == 0} {
    if (shape.liar && number == 0)
      speed_ = 0.6;
  }

  [[nodiscard]] double noise(double now) const {
    random_source drawn{random_ + static_cast<std::uint64_t>((now + phase_) / 600)};
    return 0.6 + drawn.unit() * 0.9;
  }
  [[nodiscard]] run plan(double now, double tokens, double noise_then) const {
    run one;
    one.start = std::max(now, *std::min_element(free_.begin(), free_.end()));
    double factor = noise_then / speed_;
    if (slow_when_full_ &&
        static_cast<double>(open(now)) > 0.85 * static_cast<double>(free_.size()))
      factor *= 1.5;
    if (shape_.engines) {
      const double step = 3.8 + 0.1 * static_cast<double>(open(now));
      one.start = std::max(one.start, reader_free_);
      one.first = one.start + (tokens / shape_.tokens_a_ms + step) * factor;
      one.done = one.first + shape_.work_ms * factor;
    } else {
      one.first = one.done = one.start + shape_.work_ms * factor;
    }
    return one;
  }
  run take(double now, double tokens) {
    std::erase_if(runs_, [&](const run& one) { return one.done <= now; });
    const run one = plan(now, tokens, noise(plan(now, tokens, 1).start));
    *std::min_element(free_.begin(), free_.end()) = one.done;
    if (shape_.engines)
      reader_free_ = one.first;
    runs_.push_back(one);
    return one;
  }
  [[nodiscard]] std::size_t open(double now) const {
    return static_cast<std::size_t>(
        std::count_if(runs_.begin(), runs_.end(), [&](const run& one) { return one.done > now; }));
  }
  [[nodiscard]] load_report report(double now, std::optional<double> says) const {
    const auto waiting = static_cast<std::uint64_t>(
        std::count_if(runs_.begin(), runs_.end(), [&](const run& one) { return one.start > now; }));
    return {open(now) - waiting, waiting, free_.size(), says ? *says : noise(now) * 100};
  }

 private:
  const fleet_shape& shape_;
  std::vector<double> free_; ///< when each slot is free
  std::vector<run> runs_;
  double reader_free_{};
  std::uint64_t random_;
  double phase_;
  double speed_;
  bool slow_when_full_;
};

/// \brief Plays a fleet of hosts in virtual time, and the same requests with a chooser that knows
/// what each endpoint would do.
class model_fleet {
 public:
  explicit model_fleet(const fleet_shape& shape) : shape_{shape}, random_{shape.seed} {
    for (std::size_t i = 0; i < shape.endpoints; ++i)
      endpoints_.emplace_back(shape_, i, random_);
  }

  fleet_result play(bool oracle) {
    if (!oracle)
      make_hosts();
    const double per_request =
        shape_.engines ? (mean_tokens / shape_.tokens_a_ms + 3.8) * 1.05 / 1.1
                       : shape_.work_ms * 1.05 / 1.1 / static_cast<double>(shape_.slots);
    const double gap = per_request / static_cast<double>(shape_.endpoints) / shape_.use;
    double next = 0;
    while (next < end_ms) {
      next -= std::log(1 - random_.unit()) * gap;
      const std::size_t host = random_.below(shape_.hosts);
      const double tokens = 300 + random_.unit() * 2 * (mean_tokens - 300);
      if (!oracle)
        run_until(next);
      const std::size_t chosen = oracle ? best(next, host, tokens) : send(next, host, tokens);
      const auto run = endpoints_[chosen].take(next, tokens);
      if (chosen == 0)
        most_at_liar_ = std::max(most_at_liar_, endpoints_[0].open(next));
      const double first = run.first + way(host, chosen);
      if (next > warm_up_ms)
        waits_.push_back(first - next);
      if (!oracle)
        expect_answer(host, chosen, first, run.done + way(host, chosen));
    }
    std::sort(waits_.begin(), waits_.end());
    double sum = 0;
    for (const double wait : waits_)
      sum += wait;
    return {sum / static_cast<double>(waits_.size()), waits_[waits_.size() * 99 / 100],
            most_at_liar_};
  }

 private:
  static constexpr double mean_tokens = 1500;
  static constexpr double end_ms = 16000;
  static constexpr double warm_up_ms = 6000;

  struct event {
    double at;
    std::function<void()> act;
    bool operator>(const event& other) const { return at > other.at; }
  };

  void make_hosts() {
    for (std::size_t h = 0; h < shape_.hosts; ++h) {
      hosts_.push_back(std::make_unique<endpoint_directory>(
          data_centre_id{"dc" + std::to_string(h % 4)}, choice_weights{}, time_,
          random_source{shape_.seed * 1000 + h}));
      hosts_[h]->set_hosts(std::to_string(h), std::vector<std::string>(shape_.hosts - 1));
      for (std::size_t i = 0; i < shape_.endpoints; ++i) {
        hosts_[h]->put({endpoint_id{"e" + std::to_string(i)}, "service", "127.0.0.1:7000",
                        data_centre_id{"dc" + std::to_string(i % 4)}, shape_.slots, false});
        refresh(h, i, host_random_.unit() * 1500);
      }
      tell_peers(h, host_random_.unit() * 100, 0);
    }
  }
  [[nodiscard]] double way(std::size_t host, std::size_t endpoint) const {
    return host % 4 == endpoint % 4 ? 0.5 : 4.5;
  }
  [[nodiscard]] load_report report(std::size_t endpoint, double at) const {
    return endpoints_[endpoint].report(at,
                                       endpoint == 0 && shape_.liar ? shape_.liar : std::nullopt);
  }
  // A report of each endpoint is at most 1.5 s old.
  void refresh(std::size_t host, std::size_t endpoint, double at) {
    events_.push({at, [this, host, endpoint, at] {
                    placement of;
                    of.endpoint = endpoint_id{"e" + std::to_string(endpoint)};
                    of.local_incarnation = endpoint + 1;
                    hosts_[host]->note_load(of, report(endpoint, at));
                    refresh(host, endpoint, at + 1500);
                  }});
  }
  // As load_exchange does; a quarter is lost.
  void tell_peers(std::size_t host, double at, double next_whole) {
    const auto heard_by = [this, host](std::size_t other) {
      return other != host && (shape_.hosts <= 16 || other % 4 == host % 4);
    };
    events_.push(
        {at, [this, host, at, next_whole, heard_by] {
           const bool whole = at >= next_whole;
           use_report report{host + 1, ++numbers_, whole, hosts_[host]->own_use(!whole), {}};
           std::size_t recipients = 0;
           for (std::size_t other = 0; other < shape_.hosts; ++other)
             if (heard_by(other) && ++recipients > 0 && host_random_.unit() > 0.25)
               hosts_[other]->take_report(report);
           const time_ms pause = report_spacing({.min_interval = time_ms{20}}, recipients);
           tell_peers(host, at + static_cast<double>(pause.count()),
                      whole ? at + 1000 : next_whole);
         }});
  }
  void run_until(double until) {
    while (!events_.empty() && events_.top().at <= until) {
      const event one = events_.top();
      events_.pop();
      advance(one.at);
      one.act();
    }
    advance(until);
  }
  void advance(double to) {
    const time_ms then{static_cast<std::int64_t>(to)};
    if (then > time_.now())
      time_.advance(then - time_.now());
  }
  std::size_t send(double, std::size_t host, double tokens) {
    const generation_terms terms{"m", static_cast<std::uint64_t>(tokens), 100, {}};
    place_ = *hosts_[host]->place({"service", shape_.engines ? &terms : nullptr, {}});
    (void)hosts_[host]->note_sent(place_);
    return static_cast<std::size_t>(place_.local_incarnation - 1);
  }
  void expect_answer(std::size_t host, std::size_t endpoint, double first, double done) {
    events_.push({first, [this, host, endpoint, first, place = place_] {
                    hosts_[host]->note_load(place, report(endpoint, first));
                    hosts_[host]->note_prompt_read(place);
                  }});
    events_.push({done, [this, host, place = place_] {
                    hosts_[host]->release(place, send_outcome::answered, true);
                  }});
  }
  [[nodiscard]] std::size_t best(double now, std::size_t host, double tokens) const {
    std::size_t least = 0;
    double least_wait = 1e18;
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      const double wait =
          endpoints_[i].plan(now, tokens, endpoints_[i].noise(now)).first + way(host, i);
      if (wait < least_wait) {
        least_wait = wait;
        least = i;
      }
    }
    return least;
  }

  const fleet_shape shape_;
  random_source random_;
  random_source host_random_{7};
  manual_clock time_;
  std::vector<model_endpoint> endpoints_;
  std::vector<std::unique_ptr<endpoint_directory>> hosts_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::uint32_t numbers_{0};
  placement place_;
  std::vector<double> waits_;
  std::size_t most_at_liar_{0};
};

} // namespace sedgechute::uneven
