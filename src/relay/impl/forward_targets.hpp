#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sedgechute {

/// \brief Another host to which requests can be forwarded.
struct forward_target {
  std::string host;
  std::string address; ///< `IP:port` for connections between hosts
  std::string region;  ///< empty when it is unknown
};

/// \brief Result of forwarding a request.
enum class forward_result {
  served,      ///< the host handled the request
  refused,     ///< the host refused it without running it
  unreachable, ///< the host was not reached, did not answer in time, or the connection broke
  abandoned,   ///< nothing is known: the caller left or this host stopped before the answer
};

template <>
struct enum_names<forward_result> {
  static constexpr auto entries =
      enum_table<forward_result>({{forward_result::served, "served"},
                                  {forward_result::refused, "refused"},
                                  {forward_result::unreachable, "unreachable"},
                                  {forward_result::abandoned, "abandoned"}});
};

struct forward_target_options {
  time_ms initial_backoff{250}; ///< after a refusal or failure; doubles up to `max_backoff`
  time_ms max_backoff{2000};
  /// Refusals in a row by different hosts after which a service counts as unavailable everywhere.
  int refusals_before_pause{6};
  time_ms max_pause{500};    ///< of the forwarding for such a service
  int refusals_per_pause{3}; ///< after which the next pause begins
  /// Number of hosts that served requests of a service beyond which no others are tried.
  std::size_t preferred_hosts{4};
  std::uint64_t explore_one_in{8}; ///< with fewer, one in so many requests goes to any host
  time_ms preferred_time{5000};    ///< time for which a host that served a request is preferred
  std::size_t max_records{4096};
};

/// \brief Chooses the hosts to which a host without a path to endpoints forwards requests. It
/// learns from the results alone which hosts can serve which service. Not thread-safe.
class forward_targets {
 public:
  explicit forward_targets(const forward_target_options& options = {}) : options_{options} {}

  void set_hosts(std::vector<forward_target> hosts);
  [[nodiscard]] bool empty() const noexcept { return hosts_.empty(); }

  using predicate = std::function<bool(const forward_target&)>;
  /// \param allowed  which hosts may be chosen
  /// \returns nothing when no host is likely to serve the request
  [[nodiscard]] std::optional<forward_target>
  choose(const std::string& service, const predicate& allowed, random_source& random, time_ms now);
  /// \brief Records the result of a request that was forwarded to the chosen host.
  void note_result(const std::string& host, const std::string& service, forward_result result,
                   time_ms now);

 private:
  struct target_record {
    std::size_t open{};
    time_ms backoff;
    time_ms not_before;
    time_ms served_until; ///< preferred until then
  };
  struct service_record {
    int refusals{};
    time_ms pause;
    time_ms not_before;
  };
  using key = std::pair<std::string, std::string>; ///< host and service

  void remove_unused(time_ms now);

  forward_target_options options_;
  std::vector<forward_target> hosts_;
  std::map<key, target_record> targets_;
  std::map<std::string, service_record> services_;
};

} // namespace sedgechute
