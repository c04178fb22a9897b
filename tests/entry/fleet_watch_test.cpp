#include "entry/entry.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

using namespace sedgechute;

namespace {

/// What is published, as a test changes it.
class scripted_source final : public fleet_source {
 public:
  config_changes newest_config() override {
    config_changes all = configs_from(0, time_ms{0});
    if (all.versions.size() > 1)
      all.versions.erase(all.versions.begin(), all.versions.end() - 1);
    return all;
  }

  config_changes configs_from(std::uint64_t from, time_ms) override {
    std::this_thread::sleep_for(std::chrono::milliseconds{5});
    const std::scoped_lock lock{mutex_};
    check();
    config_changes changes;
    changes.end = configs_.size();
    changes.history_lost = from > 0 && std::exchange(history_lost_, false);
    if (changes.history_lost)
      return changes;
    for (std::uint64_t i = from; i < configs_.size(); ++i)
      if (configs_[i].version)
        changes.versions.push_back(configs_[i].version);
      else
        changes.evacuations.push_back(configs_[i].evacuation);
    return changes;
  }

  endpoint_changes newest_endpoints() override {
    const std::scoped_lock lock{mutex_};
    check();
    endpoint_changes all;
    for (const auto& [name, present] : present_)
      if (present)
        all.changes.push_back({endpoint_id{name}, entry(name)});
    all.end = changes_.size();
    return all;
  }

  endpoint_changes endpoints_from(std::uint64_t from) override {
    const std::scoped_lock lock{mutex_};
    check();
    endpoint_changes some;
    some.changes.assign(changes_.begin() + static_cast<std::ptrdiff_t>(from), changes_.end());
    some.end = changes_.size();
    return some;
  }

  void publish(std::uint64_t version) {
    auto config = std::make_shared<fleet_config>();
    config->version = version;
    const std::scoped_lock lock{mutex_};
    configs_.push_back({config, {}});
  }

  void evacuate(const std::string& centre, bool evacuated, const std::string& fault = "") {
    const std::scoped_lock lock{mutex_};
    configs_.push_back({nullptr, {data_centre_id{centre}, evacuated, fault}});
  }

  /// \brief Forgets all versions, and that which is published next is the newest that is known.
  void lose_history(std::uint64_t newest) {
    auto config = std::make_shared<fleet_config>();
    config->version = newest;
    const std::scoped_lock lock{mutex_};
    configs_ = {{config, {}}};
    history_lost_ = true;
  }
  [[nodiscard]] bool history_was_read_anew() {
    const std::scoped_lock lock{mutex_};
    return !history_lost_;
  }

  void set(const std::string& name, bool present) {
    const std::scoped_lock lock{mutex_};
    present_[name] = present;
    endpoint_change change{endpoint_id{name}, std::nullopt};
    if (present)
      change.entry = entry(name);
    changes_.push_back(change);
  }

  void start_again(const std::string& name, time_ms started) {
    {
      const std::scoped_lock lock{mutex_};
      started_[name] = started;
    }
    set(name, true);
  }

  void set_away(bool away) {
    const std::scoped_lock lock{mutex_};
    away_ = away;
  }

 private:
  /// A version of the configuration, or an evacuation.
  struct operator_record {
    config_ptr version;
    evacuation_change evacuation;
  };

  endpoint_entry entry(const std::string& name) const {
    const auto started = started_.find(name);
    return {endpoint_id{name},
            "s",
            "127.0.0.1:1",
            data_centre_id{"dc"},
            4,
            false,
            started == started_.end() ? std::nullopt : std::optional{started->second}};
  }

  void check() const {
    if (away_)
      throw error{error_kind::log_unavailable, "store", "is away"};
  }

  std::mutex mutex_;
  std::vector<operator_record> configs_;
  std::map<std::string, bool> present_;
  std::map<std::string, time_ms> started_;
  std::vector<endpoint_change> changes_;
  bool away_{false};
  bool history_lost_{false};
};

struct fixture {
  explicit fixture(time_ms endpoint_interval = time_ms{20})
      : log{{.host = "watch-test", .file = "/dev/null"}}, endpoints{data_centre_id{"dc"},
                                                                    choice_weights{}, time},
        watch{source,
              endpoints,
              [](const config_ptr&) {},
              fleet_watch_options{.config_wait = time_ms{20},
                                  .endpoint_interval = endpoint_interval,
                                  .retry_pause = time_ms{20},
                                  .lapse_grace = time_ms{400}},
              time,
              faults,
              log} {}

  template <typename Condition>
  bool soon(const Condition& met) const {
    for (int i = 0; i < 600; ++i) {
      if (met())
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    return false;
  }

  steady_clock time;
  structured_log log;
  metrics figures{"watch-test"};
  entry_faults faults{log, figures};
  scripted_source source;
  endpoint_directory endpoints;
  fleet_watch watch;
};

} // namespace

TEST_CASE("versions of the configuration only go up") {
  fixture at;
  at.source.publish(5);
  at.watch.start();
  REQUIRE(at.soon([&] { return at.watch.config() != nullptr; }));
  at.source.publish(3);
  at.source.publish(9);
  REQUIRE(at.soon([&] { return at.watch.config()->version == 9; }));
  at.source.publish(8);
  std::this_thread::sleep_for(std::chrono::milliseconds{100});
  CHECK(at.watch.config()->version == 9);
}

// The store loses its history, and the newest version that it still has is older than the one in
// force. Keys that were taken away since would be let in again.
TEST_CASE("an older configuration is not let in when the store has lost its history") {
  fixture at;
  at.source.publish(5);
  at.source.publish(9);
  at.watch.start();
  REQUIRE(at.soon([&] { return at.watch.config() != nullptr && at.watch.config()->version == 9; }));
  at.source.lose_history(7);
  REQUIRE(at.soon([&] { return at.source.history_was_read_anew(); }));
  std::this_thread::sleep_for(std::chrono::milliseconds{100});
  CHECK(at.watch.config()->version == 9);
  at.source.publish(10);
  CHECK(at.soon([&] { return at.watch.config()->version == 10; }));
}

TEST_CASE("endpoints come and go with their entries") {
  fixture at;
  at.source.set("e1", true);
  at.watch.start();
  REQUIRE(at.soon([&] { return at.endpoints.size() == 1; }));
  at.source.set("e2", true);
  at.source.set("e1", false);
  CHECK(at.soon([&] {
    const auto ids = at.endpoints.ids();
    return ids.size() == 1 && ids.front().str() == "e2";
  }));
}

// The store is away for a while, and the entries of all endpoints lapse meanwhile although the
// endpoints live. Requests go on being served; an entry that comes back in time was never missed,
// and one that does not is dropped.
TEST_CASE("an entry that lapsed while the store was away is given time to come back") {
  fixture at;
  at.source.set("lives", true);
  at.source.set("dead", true);
  at.watch.start();
  REQUIRE(at.soon([&] { return at.endpoints.size() == 2; }));
  at.source.set_away(true);
  std::this_thread::sleep_for(std::chrono::milliseconds{100});
  at.source.set("lives", false);
  at.source.set("dead", false);
  at.source.set_away(false);
  std::this_thread::sleep_for(std::chrono::milliseconds{150});
  CHECK(at.endpoints.size() == 2);
  at.source.set("lives", true);
  REQUIRE(at.soon([&] { return at.endpoints.size() == 1; }));
  CHECK(at.endpoints.ids().front().str() == "lives");
}

// A host was cut off from the store, and soon after its return an endpoint's entry is taken away.
// The host waits whether it comes back, and looked again only a whole interval after that wait was
// over: meanwhile a request went to an endpoint that had said 2.04 s before that it leaves.
TEST_CASE("what is missing when the grace after an absence ends is dropped then") {
  fixture at{time_ms{600000}};
  at.source.set_away(true);
  at.source.set("leaves", true);
  at.watch.start();
  std::this_thread::sleep_for(std::chrono::milliseconds{100});
  at.source.set_away(false);
  REQUIRE(at.soon([&] { return at.endpoints.size() == 1; }));
  at.source.set("leaves", false);
  CHECK(at.soon([&] { return at.endpoints.size() == 0; }));
}

// A replica restarts twice between two reads of the list, the second time with its machine's clock
// set back. What the list showed last holds, whichever start looks newer.
TEST_CASE("of several starts in the list the last one shown holds") {
  fixture at;
  const time_ms first{1'790'000'000'000};
  at.source.start_again("e", first);
  at.watch.start();
  REQUIRE(at.soon([&] { return at.endpoints.size() == 1; }));
  const auto early = at.endpoints.place({"s", nullptr, {}});
  REQUIRE(early.has_value());
  at.source.set_away(true);
  std::this_thread::sleep_for(std::chrono::milliseconds{50});
  at.source.start_again("e", first + time_ms{5000});
  at.source.start_again("e", first - time_ms{5000});
  at.source.set_away(false);
  const endpoint_hash last = incarnation_of(endpoint_id{"e"}, first - time_ms{5000});
  std::optional<placement> now;
  CHECK(at.soon([&] {
    now = at.endpoints.place({"s", nullptr, {}});
    at.endpoints.release(*now, send_outcome::caller_left, false);
    return now->incarnation == last;
  }));
  CHECK(now->expected_open == 0);
}

TEST_CASE("evacuations come into force and end as the operator orders them") {
  fixture at;
  at.source.publish(5);
  at.source.set("e1", true);
  at.watch.start();
  REQUIRE(at.soon([&] { return at.endpoints.ready("s") == 1; }));
  at.source.evacuate("dc", true);
  REQUIRE(at.soon([&] { return at.endpoints.ready("s") == 0; }));
  at.source.set("e2", true);
  REQUIRE(at.soon([&] { return at.endpoints.size() == 2; }));
  CHECK(at.endpoints.ready("s") == 0);
  at.source.evacuate("dc", false);
  CHECK(at.soon([&] { return at.endpoints.ready("s") == 2; }));
}

// Guards against a host that starts during an evacuation and serves before it knows of it.
TEST_CASE("a host that has a configuration knows the evacuations in force") {
  fixture at;
  at.source.set("e1", true);
  at.source.evacuate("dc", true);
  at.source.publish(5);
  at.watch.start();
  REQUIRE(at.soon([&] { return at.watch.config() != nullptr; }));
  CHECK(at.endpoints.evacuated() == 1);
}

TEST_CASE("an evacuation stays in force while the store is down") {
  fixture at;
  at.source.publish(5);
  at.source.evacuate("dc", true);
  at.watch.start();
  REQUIRE(at.soon([&] { return at.endpoints.evacuated() == 1; }));
  at.source.set_away(true);
  std::this_thread::sleep_for(std::chrono::milliseconds{100});
  CHECK(at.endpoints.evacuated() == 1);
  at.source.evacuate("dc", false);
  at.source.set_away(false);
  CHECK(at.soon([&] { return at.endpoints.evacuated() == 0; }));
}

// Guards against a data centre that stays evacuated because its withdrawal was in the lost history.
TEST_CASE("an evacuation that is not among the newest records after lost history has ended") {
  fixture at;
  at.source.publish(5);
  at.source.evacuate("dc", true);
  at.watch.start();
  REQUIRE(at.soon([&] { return at.endpoints.evacuated() == 1; }));
  at.source.lose_history(7);
  CHECK(at.soon([&] { return at.endpoints.evacuated() == 0; }));
}

TEST_CASE("an evacuation whose text cannot be parsed is in force") {
  fixture at;
  at.source.publish(5);
  at.source.evacuate("dc", true, "is not JSON");
  at.watch.start();
  CHECK(at.soon([&] { return at.endpoints.evacuated() == 1; }));
}
