#pragma once

#include "load/impl/load_call.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace sedgechute::load {

/// \brief What hosts say about a team's budget.
struct budget_state {
  std::int64_t bought{0};
  std::int64_t spent{0};
  std::int64_t reserved{0};
};

/// \brief What the answers of a team's calls say it used, each key once.
struct team_use {
  std::int64_t tokens{0};
  bool all_answered{true};
};

/// \brief Compares what callers were told with what the stand-ins really ran and what the hosts
/// billed.
class audit {
 public:
  /// \param endpoints  admin side of the stand-in engines and services
  /// \param admins     admin side of the hosts; may be empty
  /// \param service_tokens  what a call of a plain service is billed
  audit(std::vector<Poco::Net::SocketAddress> endpoints,
        std::vector<Poco::Net::SocketAddress> admins, std::string admin_key,
        std::int64_t service_tokens = 0);

  /// \brief Notes a call's outcome; safe for any number of threads.
  void note(const load_call& call, const call_outcome& outcome);

  /// \brief Reads what the stand-ins counted.
  /// \throws Poco::Exception when one cannot be reached
  void read_runs();

  /// \returns non-idempotent requests that ran more than once
  [[nodiscard]] std::uint64_t ran_twice() const;
  /// \returns calls told "not run" that ran
  [[nodiscard]] std::uint64_t ran_though_refused() const;

  [[nodiscard]] const std::map<std::string, team_use>& use_by_team() const noexcept {
    return use_by_team_;
  }

  /// \returns a team's budget as the first host that answers tells it
  [[nodiscard]] std::optional<budget_state> budget_of(const std::string& team) const;

 private:
  struct noted_call {
    std::string fingerprint;
    std::string key;
    bool non_idempotent{false};
    bool told_not_run{false};
  };

  [[nodiscard]] std::uint64_t runs_of(const noted_call& call) const;

  std::vector<Poco::Net::SocketAddress> endpoints_;
  std::vector<Poco::Net::SocketAddress> admins_;
  std::string admin_key_;
  std::int64_t service_tokens_{0};
  std::mutex mutex_;
  std::vector<noted_call> calls_;
  std::map<std::string, team_use> use_by_team_;
  std::set<std::string> keys_counted_; ///< by team and key
  std::map<std::string, std::uint64_t> runs_by_fingerprint_;
  std::map<std::string, std::uint64_t> runs_by_key_;
};

} // namespace sedgechute::load
