#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>
#include <limits>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sedgechute::soak {

enum class call_kind { safe, unsafe, once, stream };

/// \brief What the configuration says of one kind of call, in every version.
struct call_traits {
  std::string_view prefix; ///< of its path
  std::string_view service;
  bool run_once{};         ///< may not be repeated
  bool generated{};        ///< takes tokens, answered as a stream of events
  std::size_t endpoints{}; ///< most endpoints that may run it
};

[[nodiscard]] const call_traits& traits_of(call_kind kind) noexcept;

/// \brief Configurations by the order in which they were published, from 1 on. A version that
/// allows nothing has its first behind every other.
struct version_span {
  static constexpr std::uint64_t never = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t first{1};
  std::uint64_t last{never};
};

/// \brief A request as its caller sent it.
struct sent_request {
  std::string attempt;
  call_kind kind{};
  std::string target;
  std::string body;
  std::string team;
  version_span allowed; ///< by its route and its key
  std::size_t host{};
  int life{};              ///< of the host's process
  std::uint64_t poison{0}; ///< number of the content that crashes endpoints; 0: harmless
  bool by_part{false};     ///< a part of the prompt does, whatever else the request holds
  time_ms at;
  time_ms patience;        ///< what the caller said it would wait
  std::string origin;      ///< attempt that brought the first event; empty: a new request
  int last_event{0};       ///< with `origin`: after which the stream is taken up
  bool build_serves{true}; ///< with `origin`: two sound endpoints of its build served
};

/// \brief A request as it reached an endpoint.
struct arrival {
  std::string attempt;
  std::string endpoint; ///< id
  std::string service;
  bool ran{}; ///< false: the endpoint refused it
  time_ms at;
  std::string target;
  std::string body;
  std::string team;
  std::string foreign_field; ///< one that is not the caller's to set, or that names its key
  std::optional<time_ms> deadline;
  std::optional<time_ms> left_list;  ///< when the list first said that the endpoint leaves
  std::string mark;                  ///< of the answer that the endpoint gave
  int status{};                      ///< of that answer; 0: it gave none
  double limit{0};                   ///< that the endpoint named in its answer; 0: none
  std::optional<time_ms> limit_from; ///< when it first named the limit that it names now
  time_ms pause;                     ///< that the endpoint asked for in its refusal; 0: none
  bool said_leaving{false};          ///< its answer said that the endpoint leaves
  bool sound{true};                  ///< neither the endpoint nor its link was harmed
};

/// \brief What a caller got in the end.
struct outcome {
  std::string attempt;
  int status{}; ///< 0: the connection ended without an answer
  bool whole{}; ///< the answer ended as a complete one does
  bool right{}; ///< what came belongs to this attempt, in order
  bool left{};  ///< the caller gave up
  time_ms at;
  std::string mark;             ///< of the endpoint, in the answer
  bool unasked{};               ///< bytes came on the connection while no request was open
  bool connected{true};         ///< the request could be written
  bool kept{};                  ///< the connection had carried a request before
  bool same_life{true};         ///< the host's process was the same one all the while
  bool quarantined{};           ///< refused because of its content
  int events{0};                ///< whole events of a stream that came
  std::set<std::string> builds; ///< of the endpoints that made them
};

enum class budget_step_kind { prepaid, prompt, output };

/// \brief One change of a team's budget or use, in the order in which they came.
struct budget_step {
  std::string team;
  budget_step_kind kind{};
  std::uint64_t tokens{}; ///< `prepaid`: in all
  std::string attempt;    ///< of a prompt
};

/// \brief A version of the configuration.
struct publication {
  time_ms sent;
  time_ms acknowledged{std::numeric_limits<std::int64_t>::max()}; ///< by the store
};

/// \brief The end of a host's process.
struct process_end {
  std::size_t host{};
  int code{};      ///< -1: it was killed, as its grace was over
  bool told{true}; ///< it had been told to stop
};

/// \brief What a host that was told to stop said of its readiness.
struct readiness {
  std::size_t host{};
  time_ms since_signal;
  bool ready{};
};

/// \brief A host loses its paths to all endpoints, or has them back.
struct path_change {
  std::size_t host{};
  bool lost{};
  time_ms at;
};

/// \brief An endpoint or its link is harmed, or what harmed it changes: runs may end with it.
struct endpoint_harm {
  std::string endpoint; ///< id
  time_ms at;
};

/// \brief The end of a brittle endpoint that had to refuse too many requests.
struct brittle_fall {
  std::string endpoint;
  time_ms brittle_from;             ///< when its service first said so
  std::size_t endpoints{};          ///< of the service
  std::vector<std::string> refused; ///< attempts, in the last second
};

/// \brief Something that was done to the system, for whoever traces a run.
struct disruption {
  time_ms at;
  std::string what;
};

/// \brief All that was seen from outside.
struct observations {
  std::vector<sent_request> sent;
  std::vector<arrival> arrivals;
  std::vector<outcome> outcomes;
  std::vector<budget_step> budget;
  std::vector<publication> published;
  std::vector<process_end> ends;
  std::vector<readiness> ready;
  std::vector<disruption> disruptions;
  std::vector<brittle_fall> brittle_falls;
  std::vector<endpoint_harm> endpoint_harms;
  std::vector<std::vector<time_ms>> host_disturbed; ///< by host: moments, ascending
  std::vector<time_ms> store_disturbed;             ///< moments, ascending
  std::vector<path_change> path_changes;            ///< in the order of time
  bool only_planned{}; ///< nothing but planned work happened: stops, changes, endpoints that leave
};

/// \brief Gathers observations from all threads.
class recorder {
 public:
  void note(sent_request seen);
  void note(arrival seen);
  void note(outcome seen);
  void note(budget_step seen);
  void note(publication seen);
  /// \brief The store has acknowledged the newest version.
  void acknowledged(time_ms now);
  void note(process_end seen);
  void note(readiness seen);
  void note(disruption seen);
  void note(brittle_fall seen);
  void note(endpoint_harm seen);
  /// \brief A host's process or links are harmed now. Lasting harm is noted again and again.
  void disturbed(std::size_t host, time_ms now);
  void store_disturbed(time_ms now);
  void cut_off(std::size_t host, time_ms now);
  void reaches_endpoints(std::size_t host, time_ms now);
  void only_planned();
  [[nodiscard]] observations so_far() const;

 private:
  mutable std::mutex mutex_;
  observations seen_;
};

} // namespace sedgechute::soak
