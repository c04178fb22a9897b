#pragma once

#include "agenda.hpp"
#include "observations.hpp"
#include "soak_callers.hpp"
#include "soak_endpoints.hpp"
#include "soak_hosts.hpp"
#include "soak_operator.hpp"
#include "soak_shape.hpp"
#include "stalled_clients.hpp"
#include "standin/standin.hpp"

#include <Poco/Dynamic/Var.h>

#include <memory>
#include <string>
#include <vector>

namespace sedgechute::soak {

/// \brief Hosts in processes, endpoints, a store and callers, with a proxy on every link, and what
/// goes wrong there.
class soak_world {
 public:
  soak_world(const soak_shape& shape, std::uint64_t seed);
  soak_world(const soak_world&) = delete;
  soak_world& operator=(const soak_world&) = delete;
  ~soak_world();

  /// \brief Lets the world go on for a while, and begins disruptions.
  void run(time_ms span);
  /// \brief The same without new disruptions; those that were begun go on.
  void run_calm(time_ms span);
  /// \brief Ends all faults, or waits for planned work to end, and starts what was stopped.
  void heal();
  /// \returns the part of ordinary requests that are served now
  [[nodiscard]] double served_now();
  void spend_first_team() noexcept { callers_->spend_first_team(); }
  void stop_callers() { callers_->stop(); }
  [[nodiscard]] observations seen() const { return seen_.so_far(); }
  /// \returns the names of the families of disruptions that this run has
  [[nodiscard]] std::string families() const;

 private:
  /// One kind of disruption or planned work.
  struct family {
    std::string_view name;
    void (soak_world::*begin)();
  };
  [[nodiscard]] static const std::vector<family>& fault_families();
  /// \brief Those that earlier seeds do not know; drawn apart, so that these seeds stay the same.
  [[nodiscard]] static const std::vector<family>& added_fault_families();
  [[nodiscard]] static const std::vector<family>& planned_families();
  void draw_families(std::uint64_t seed);
  void draw_added_families(std::uint64_t seed);
  void step();
  void disrupt();
  void set_store(const std::string& fault, const Poco::Dynamic::Var& value);
  void calm_store();

  void kill();
  void kill_many();
  void stop();
  void roll();
  void freeze();
  void reload();
  void replace();
  void send_stray_datagram();
  void set_clock();
  void cut_off();
  void harm_store_link();
  void harm_callers_link();
  void harm_store();
  void forget_history();
  void harm_endpoint_link();
  void misbehave();
  void restart_endpoint();
  void retire_endpoint();
  void waver_endpoint();
  void spoil_entry();
  void write_entry_late();
  void spoil_account();
  void send_poison();
  void send_poison_part();
  void crash_endpoints();
  void limit_endpoint();
  void silence_endpoints();
  void pay_for_streams();
  void make_brittle();
  void ask_hosts();
  void stall_callers();
  void mix_builds();
  void pay();
  void storm();

  soak_shape shape_;
  steady_clock time_;
  random_source random_;
  agenda later_;
  recorder seen_;
  standin::topic_store store_;
  std::vector<family> families_;
  std::uint64_t poisons_{0}; ///< contents that crash endpoints, so far
  bool streams_paid_{false};
  std::weak_ptr<stalled_client_test::stalled_clients> stalled_; ///< while they are connected
  int store_faults_{0};                                         ///< that last
  std::uint64_t pace_{}; ///< by which pauses between disruptions are longer than the shortest
  time_ms next_disruption_;
  time_ms next_question_; ///< for the readiness of hosts that stop
  std::unique_ptr<soak_operator> operator_;
  std::unique_ptr<soak_endpoints> endpoints_;
  std::unique_ptr<soak_hosts> hosts_;
  std::unique_ptr<soak_callers> callers_;
};

} // namespace sedgechute::soak
