#pragma once

#include "fault_proxy.hpp"
#include "process.hpp"
#include "promises.hpp"
#include "scripted_endpoint.hpp"
#include "standin/standin.hpp"

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sedgechute::soak {

/// \brief What may go wrong: everything, or only what operators do on purpose.
enum class soak_kind { faults, planned_work };

struct soak_shape {
  int hosts{4};
  int engines{5};
  int callers{10};
  soak_kind kind{soak_kind::faults};
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

  /// \brief One random fault or piece of planned work; earlier ones may still last.
  void inject();
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
    std::optional<time_ms> stop_sent; ///< when it was told to stop
    bool frozen{false};
    int lives{0};
  };
  struct engine {
    std::string id;
    std::unique_ptr<scripted_endpoint> program;
    std::unique_ptr<fault_proxy> link;
    std::atomic<int> mood{0}; ///< what it does wrong
    int lives{0};
    time_ms started; ///< by the clock of its machine, which may be set back between two lives
  };

  /// One caller: it keeps a connection to each host for as long as that lasts.
  struct caller {
    explicit caller(std::uint64_t seed) : random{seed} {}
    random_source random;
    std::vector<std::unique_ptr<connection>> kept; ///< by host
  };

  void inject_fault();
  void do_planned_work();
  void stop_host(host& of);
  /// Starts hosts again that have ended, or have outlasted their grace.
  void replace_ended();
  void end_planned_work();
  /// \returns the file with what the host prints in its present life
  [[nodiscard]] static std::string output_of(const host& of);
  void start_host(host& of);
  void thaw(host& of);
  void start_engine(engine& of);
  void restart_engine(engine& of);
  void list_engine(const engine& of, bool draining);
  void publish();
  [[nodiscard]] scripted_reply run(engine& on, const scripted_endpoint::seen_request& request);
  void call_forever(std::uint64_t seed);
  [[nodiscard]] int call(caller& by, const std::string& attempt);
  /// \returns the connection to use, new or kept; null when there is none to be had
  [[nodiscard]] connection* connection_to(caller& by, std::size_t number);

  soak_shape shape_;
  steady_clock time_;
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
