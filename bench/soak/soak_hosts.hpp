#pragma once

#include "agenda.hpp"
#include "fault_proxy.hpp"
#include "machine_paths.hpp"
#include "observations.hpp"
#include "process.hpp"
#include "silent_address.hpp"
#include "soak_shape.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sedgechute::soak {

/// \brief The entry hosts of a run: their processes, settings, machine clocks and links. Used by
/// one thread, but for what callers ask.
class soak_hosts {
 public:
  soak_hosts(const soak_shape& shape, const std::string& store, recorder& seen, agenda& later,
             const clock& time, std::uint64_t seed);
  soak_hosts(const soak_hosts&) = delete;
  soak_hosts& operator=(const soak_hosts&) = delete;
  ~soak_hosts();

  [[nodiscard]] std::size_t count() const noexcept { return all_.size(); }
  /// \returns where callers reach a host, for any thread
  [[nodiscard]] const std::string& address(std::size_t number) const {
    return all_[number]->reached_at;
  }
  /// \returns which process of the host runs, for any thread
  [[nodiscard]] int life(std::size_t number) const noexcept { return all_[number]->lives; }
  /// \returns the name under which a host keeps its accounts
  [[nodiscard]] const std::string& identity(std::size_t number) const {
    return all_[number]->identity;
  }

  void kill_one();
  /// \brief Many or all hosts end at the same moment, by a kill or a loss of power.
  void kill_many();
  /// \brief One is replaced by another of its name at other addresses; its process goes on for a
  /// while, and whoever is connected to it stays so.
  void replace_one();
  /// \brief Sends one a datagram that no host wrote.
  void send_stray_datagram();
  /// \brief Tells one to stop; other signals may come with it and after it.
  void stop_one();
  /// \brief Tells all to stop in turn; the next before the one before has ended.
  void roll_stops();
  void freeze_one();
  /// \brief Changes the settings file of one, or writes what is none, and says so.
  void reload_one();
  /// \brief Sets the time of day of one machine, or sets it back.
  void set_clock();
  /// \brief What becomes of open connections to endpoints when a host loses its paths to them.
  enum class path_loss { resets, silence, open_connections_stay };
  using loss_handler = std::function<void(const std::string& ip, path_loss how)>;
  /// \brief One host, or most or all of a data centre, lose their paths to all endpoints for some
  /// seconds. A third of all hosts keep theirs.
  void cut_off_some(const loss_handler& lose_connections);
  void harm_store_link();
  void reset_store_link();
  void harm_callers_link();
  void reset_callers_link();
  /// \brief Starts hosts again that have ended, kills those that outlast their grace, and notes
  /// what lasts.
  void look_after();
  /// \brief Asks hosts that stop whether they are ready.
  void ask_readiness();
  /// \brief Ends all faults, and all processes as a crash would, and starts them again.
  void heal();
  /// \returns whether a host has been told to stop and has not been replaced
  [[nodiscard]] bool any_stops() const;

 private:
  struct host {
    std::size_t number{};
    std::string callers; ///< its own address for callers
    std::string peers;
    std::string status;
    std::string reached_at; ///< by callers
    std::string identity;
    std::string settings;
    std::string output;
    std::string ip;                               ///< from which it connects to endpoints
    std::string paths;                            ///< file with the state of its paths to endpoints
    int cuts{0};                                  ///< that last
    std::string clocks;                           ///< file with what its machine's clocks are ahead
    std::unique_ptr<fault_proxy> store;           ///< its own link to the store
    std::unique_ptr<fault_proxy> front;           ///< callers' link to it; null: they connect to it
    std::unique_ptr<fleet_test::process> program; ///< null while it is down
    std::optional<time_ms> stop_sent;             ///< when it was told to stop
    bool frozen{false};
    bool froze_in_stop{false};    ///< so that it may outlast its grace
    std::int64_t jump_ms{};       ///< by which its time of day is set, and set back
    std::int64_t wall_ahead_ms{}; ///< of the true time of day
    std::int64_t boot_ahead_ms{}; ///< of the true time since the machine was started
    std::atomic<int> lives{0};
    std::unique_ptr<fleet_test::process> replaced; ///< its process before, which still runs
  };

  [[nodiscard]] host& any();
  void take_addresses(host& of);
  void write_settings(const host& of, bool changed) const;
  void write_clocks(const host& of) const;
  void write_paths(const host& of, path_state state) const;
  void cut_off(host& of, path_loss how, const loss_handler& lose_connections);
  [[nodiscard]] static std::string output_of(const host& of);
  [[nodiscard]] static bool has_begun(const host& of);
  void start(host& of);
  void freeze(host& of);
  void thaw(host& of);
  /// \brief Ends the process at once; it starts again after a moment.
  void kill(host& of);
  void lose_power(host& of);
  void stop(host& of);
  void harm(fault_proxy& link, link_fault fault);
  void look_after(host& of);
  [[nodiscard]] static bool harmed(const host& of);
  void tell(const host& of, const std::string& what);

  soak_shape shape_;
  std::string store_;
  recorder& seen_;
  agenda& later_;
  const clock& time_;
  random_source random_;
  std::vector<std::unique_ptr<host>> all_;
  silent_address silent_;
};

} // namespace sedgechute::soak
