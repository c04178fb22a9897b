#include "answers.hpp"
#include "running_fleet.hpp"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>
#include <vector>

using namespace sedgechute;
using namespace sedgechute::fleet_test;

namespace {

constexpr int hosts = 3;
constexpr int callers = 6;
constexpr int tokens = 15;
constexpr int check_interval_ms = 500;

/// Sends callers to hosts whose last health check was good, as the platform's balancer does.
class balancer {
 public:
  explicit balancer(const running_fleet& fleet) : fleet_{fleet} {
    for (auto& one : ready_)
      one = true;
    checks_ = std::thread{[this] { check_until_stopped(); }};
  }
  balancer(const balancer&) = delete;
  balancer& operator=(const balancer&) = delete;
  ~balancer() {
    stopped_ = true;
    checks_.join();
  }

  [[nodiscard]] int pick(int wish) const {
    for (int i = 0; i < hosts; ++i)
      if (ready_[static_cast<std::size_t>((wish + i) % hosts)])
        return (wish + i) % hosts;
    return wish % hosts;
  }
  [[nodiscard]] bool sees_ready(int host) const { return ready_[static_cast<std::size_t>(host)]; }

 private:
  void check_until_stopped() {
    while (!stopped_) {
      for (int i = 0; i < hosts; ++i)
        ready_[static_cast<std::size_t>(i)] = fleet_.get(i, "/readyz").status == 200;
      sleep_ms(check_interval_ms);
    }
  }

  const running_fleet& fleet_;
  std::array<std::atomic<bool>, hosts> ready_{};
  std::atomic<bool> stopped_{false};
  std::thread checks_;
};

/// Callers that ask without a pause, and whatever was not a whole answer.
class steady_callers {
 public:
  steady_callers(const running_fleet& fleet, const balancer& balancing)
      : fleet_{fleet}, balancing_{balancing} {
    for (int i = 0; i < callers; ++i)
      threads_.emplace_back([this, i] { ask_until_stopped(i); });
  }
  steady_callers(const steady_callers&) = delete;
  steady_callers& operator=(const steady_callers&) = delete;
  ~steady_callers() { stop(); }

  void stop() {
    stopped_ = true;
    for (std::thread& one : threads_)
      one.join();
    threads_.clear();
  }
  [[nodiscard]] int asked() const { return asked_; }
  [[nodiscard]] const std::vector<std::string>& failures() const { return failures_; }

 private:
  void ask_until_stopped(int caller) {
    for (int i = 0; !stopped_; ++i) {
      const std::string name = std::to_string(caller) + "-" + std::to_string(i);
      const bool stream = i % 2 == 0;
      const int host = balancing_.pick(caller + i);
      const auto got =
          fleet_.ask(host, "call " + name, tokens, stream, i % 3 == 0 ? "key-" + name : "");
      ++asked_;
      const bool whole = !stream || got.body.find("[DONE]") != std::string::npos;
      if (got.status != 200 || !whole || tokens_in(got.body) != tokens) {
        const std::scoped_lock lock{mutex_};
        failures_.push_back(std::to_string(host) + ": " + std::to_string(got.status) + " " +
                            got.body);
      }
    }
  }

  const running_fleet& fleet_;
  const balancer& balancing_;
  std::atomic<bool> stopped_{false};
  std::atomic<int> asked_{0};
  std::mutex mutex_;
  std::vector<std::string> failures_;
  std::vector<std::thread> threads_;
};

} // namespace

// Hosts are replaced one after the other by a new release while callers go on asking. The balancer
// sees a stop only at its next check, so requests still arrive at a host that was told to stop: a
// host that refuses them at once turns each replacement into a burst of refusals, and one that
// exits before its streams have ended cuts them.
TEST_CASE("replacing all hosts under load refuses and cuts nothing") {
  running_fleet fleet{{.hosts = hosts, .engines = 2, .token_ms = 10, .stop_notice_ms = 3000}};
  balancer balancing{fleet};
  steady_callers load{fleet, balancing};
  for (int host = 0; host < hosts; ++host) {
    const int before = load.asked();
    REQUIRE(eventually([&] { return load.asked() > before + callers; }));
    fleet.host(host).signal(SIGTERM);
    CHECK(fleet.host(host).wait(20000) == 0);
    fleet.restart(host);
    REQUIRE(fleet.wait_until_ready(host, 15000));
    REQUIRE(eventually([&] { return balancing.sees_ready(host); }));
  }
  load.stop();
  for (const std::string& failure : load.failures())
    CHECK_MESSAGE(failure.empty(), failure);
  CHECK(fleet.runs("r") + fleet.runs("k") == load.asked());
}
