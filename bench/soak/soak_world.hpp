#pragma once

#include "fault_proxy.hpp"
#include "process.hpp"
#include "promises.hpp"
#include "scripted_endpoint.hpp"
#include "standin/standin.hpp"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sedgechute::soak {

struct soak_shape {
  int hosts{4};
  int engines{5};
  int callers{10};
  std::string programs; ///< folder of the programs
  std::string folder;   ///< for settings and logs of this run
};

/// \brief Hosts in processes, engines, a store and callers, with a proxy on every link.
class soak_world {
 public:
  soak_world(const soak_shape& shape, std::uint64_t seed);
  soak_world(const soak_world&) = delete;
  soak_world& operator=(const soak_world&) = delete;
  ~soak_world();

  /// \brief One random fault; earlier ones may still last.
  void inject_fault();
  /// \brief Ends all faults and starts what was stopped.
  void heal();
  /// \brief Waits for the fleet to serve again.
  /// \returns the part of requests that are served, tried for `tries` requests
  [[nodiscard]] double served_now(int tries);
  void stop_callers();
  [[nodiscard]] promises& kept() noexcept { return kept_; }

 private:
  struct host {
    std::string callers; ///< address
    std::string settings;
    std::string output;
    std::unique_ptr<fault_proxy> store; ///< its own link to the store
    std::unique_ptr<fleet_test::process> program;
    bool frozen{false};
    int lives{0};
  };
  struct engine {
    std::string id;
    std::unique_ptr<scripted_endpoint> program;
    std::unique_ptr<fault_proxy> link;
    std::atomic<int> mood{0}; ///< what it does wrong
  };

  void start_host(host& of);
  void thaw(host& of);
  void list_engine(const engine& of, bool draining);
  void publish();
  [[nodiscard]] scripted_reply run(engine& on, const scripted_endpoint::seen_request& request);
  void call_forever(std::uint64_t seed);
  [[nodiscard]] int call(random_source& random, const std::string& attempt);

  soak_shape shape_;
  random_source random_;
  standin::topic_store store_;
  promises kept_;
  std::vector<std::unique_ptr<engine>> engines_;
  std::vector<std::unique_ptr<host>> hosts_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> callers_;
  std::uint64_t version_{1};
  std::uint64_t paid_{40000};
  std::atomic<std::uint64_t> attempts_{0};
};

} // namespace sedgechute::soak
