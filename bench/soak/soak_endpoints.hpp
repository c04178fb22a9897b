#pragma once

#include "agenda.hpp"
#include "fault_proxy.hpp"
#include "observations.hpp"
#include "scripted_endpoint.hpp"
#include "soak_shape.hpp"
#include "standin/standin.hpp"

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace sedgechute::soak {

/// \brief The endpoints of a run, their entries in the list and the links to them. All but the
/// requests that they run is done on one thread.
class soak_endpoints {
 public:
  soak_endpoints(const soak_shape& shape, standin::topic_store& store, recorder& seen,
                 agenda& later, const clock& time, std::uint64_t seed);

  /// \brief One crashes and starts again under its id, later or at once.
  void restart_one();
  /// \brief Removes the endpoints that a request has crashed, and has others start in their place.
  void replace_crashed();
  /// \brief Several crash within a short time.
  void crash_many();
  /// \brief One says that it leaves, or only disappears from the list, and ends some time later.
  /// Its address is then used by another, of either service.
  void retire_one();
  /// \brief One says that it leaves and soon after that it stays.
  void waver_one();
  /// \brief The entry of one lapses for a while, or is overwritten by what is no entry.
  void spoil_entry();
  /// \brief Earlier writes of some reach the list once more, behind later ones.
  void write_late();
  /// \brief One answers wrongly from now on, or rightly again.
  void misbehave_one();
  /// \brief The endpoints of one service, most of them or one endpoint send nothing for a second or
  /// two, and go on. They take connections and requests all the while.
  void fall_silent();
  /// \brief One names a limit for some time, or what is no limit.
  void limit_one();
  /// \brief One refuses all requests for some time and asks for pauses, or says in its answers that
  /// it leaves, before the list does, and ends later.
  void ask_hosts();
  /// \brief The endpoints of one service say that they are brittle, for some time, and then hold
  /// fewer requests and end when they have to refuse too many.
  void make_brittle();
  /// \brief One ends, and those that start from now on are of either build.
  void mix_builds();
  /// \brief Counts the sound endpoints of each build.
  void count_builds();
  /// \returns how many sound endpoints of a build there were at the last count; thread-safe
  [[nodiscard]] int serving(const std::string& build) const;
  void harm_link();
  void reset_link();
  /// \brief Connections of one machine to all endpoints are reset, or silent for good.
  void reset_connections_from(const std::string& ip);
  void silence_connections_from(const std::string& ip);
  /// \brief Lets all work as they should.
  void heal();

 private:
  /// What an endpoint does wrong.
  enum class mood { good, full, fails, resets, hangs, garbles, overflows };
  static constexpr std::uint64_t moods = 7;

  struct endpoint {
    std::string id;
    std::string service;
    std::string build;
    int data_centre{};
    std::unique_ptr<scripted_endpoint> program; ///< null while it is down
    std::unique_ptr<fault_proxy> link;
    std::atomic<mood> does{mood::good};
    std::atomic<std::int64_t> harmed_until{0};  ///< ms; requests that run by then may fail
    std::atomic<std::int64_t> left_list{stays}; ///< ms, when the list first said so
    std::atomic<double> limit{0};               ///< requests a second that it names; 0: none
    std::atomic<std::int64_t> limit_from{0};    ///< ms
    std::atomic<bool> names_nonsense{false};    ///< instead of a limit
    std::atomic<std::int64_t> refuses_until{0}; ///< ms; refuses all by then and asks for a pause
    std::atomic<std::int64_t> pause_ms{0};      ///< that it asks for
    std::atomic<bool> says_leaving{false};      ///< in all its answers
    std::vector<std::int64_t> busy_until;       ///< ms, of the requests that it holds
    std::vector<arrival> refused;               ///< within the last second
    bool leaving{false};
    int lives{0};
    time_ms started; ///< by the clock of its machine, which may be set back between two lives
    std::uint64_t sequence{0};           ///< of its newest entry
    std::optional<bool> listed_draining; ///< as its entry says; nothing: it has none
    std::vector<std::string> written;    ///< its entries, the newest last
  };
  static constexpr std::int64_t stays = -1;
  static constexpr std::size_t brittle_slots = 2;

  [[nodiscard]] endpoint& any();
  void start(endpoint& of);
  void become(endpoint& of, const std::string& service);
  /// \returns the refusals a second that the endpoint bears; nothing: it is not brittle
  [[nodiscard]] std::optional<std::size_t> refusals_borne_by(const endpoint& of);
  enum class room_check { taken, refused, fell };
  /// \brief Has an endpoint hold a request, or refuse it where it is brittle and has no room.
  [[nodiscard]] room_check check_room(endpoint& on, const arrival& seen);
  /// \brief Ends the process of an endpoint; another one starts at its address later.
  void crash(endpoint& of);
  /// \returns whether its service has another endpoint to go to
  [[nodiscard]] bool is_spare(const endpoint& of) const;
  /// \returns the service that needs an endpoint most, or any
  [[nodiscard]] std::string service_for_new();
  void list(endpoint& of, bool draining);
  void unlist(endpoint& of);
  void write_late(endpoint& of);
  /// \brief Writes the state of its entry once more, as a heartbeat does.
  void renew_entry(endpoint& of);
  void note_leaving(endpoint& of, bool leaves);
  void harm(endpoint& of);
  /// \brief Ends the process of an endpoint without waiting for what it still sends.
  void end(endpoint& of);
  void tell(const endpoint& of, const std::string& what);

  [[nodiscard]] scripted_reply take(endpoint& on, const scripted_endpoint::seen_request& request);
  [[nodiscard]] scripted_reply reply(endpoint& on, const scripted_endpoint::seen_request& request,
                                     arrival& seen);

  soak_shape shape_;
  standin::topic_store& store_;
  recorder& seen_;
  agenda& later_;
  const clock& time_;
  random_source random_;
  int named_{0};
  std::atomic<std::uint64_t> marks_{0};
  time_ms next_silence_{};
  bool mixed_{false}; ///< there are endpoints of several builds
  std::array<std::atomic<int>, 2> serving_{};
  std::mutex brittle_mutex_;
  std::string brittle_service_;     ///< empty: none
  std::int64_t brittle_from_{};     ///< ms
  std::size_t refusals_borne_{};    ///< a second
  std::size_t brittle_endpoints_{}; ///< as it began
  bool brittle_ends_{false};        ///< an end is planned
  std::vector<std::unique_ptr<endpoint>> all_;
  std::vector<std::jthread> ending_; ///< wait for processes that end
};

} // namespace sedgechute::soak
