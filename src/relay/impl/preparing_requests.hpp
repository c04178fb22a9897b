#pragma once

#include "kernel/kernel.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace sedgechute {

/// \brief Numbers of requests in preparation: accepted and not yet sent to an endpoint.
struct preparation_load {
  std::size_t total{};
  std::size_t of_team{}; ///< requests of the team in question
  std::size_t teams{};   ///< teams with requests, including the team in question
};

/// \brief Decides whether one more request of a team is to be refused.
///
/// Guards against bursts: within a second one team's callers at one host may send many times what
/// its processor can handle, and each accepted request delays all others in preparation.
/// \param most  number of requests in preparation that the host's processor can handle in time
[[nodiscard]] bool exceeds_share(const preparation_load& load, std::size_t most) noexcept;

/// \returns the number of requests in preparation that a share of a processor can handle in time
/// \param processor_share  number of cores; may be a fraction
[[nodiscard]] std::size_t max_preparing(double processor_share) noexcept;

/// \brief Counts requests in preparation, all and by team. Thread-safe.
class preparing_requests {
 public:
  /// \brief Counts one request as in preparation until its destruction or `end`.
  class guard {
   public:
    guard() = default;
    guard(preparing_requests& in, std::string team);
    guard(guard&& other) noexcept;
    guard& operator=(guard&& other) noexcept;
    guard(const guard&) = delete;
    guard& operator=(const guard&) = delete;
    ~guard();

    void end() noexcept;
    [[nodiscard]] bool begun() const noexcept { return in_ != nullptr; }
    /// \brief Moves the request to the count of its team, once that is known.
    void assign_team(std::string_view team);

   private:
    preparing_requests* in_{nullptr};
    std::string team_;
  };

  /// \param team  empty when it is not known yet
  [[nodiscard]] guard begin(std::string_view team);
  [[nodiscard]] std::size_t total() const;
  /// \returns the load that decides about a new request of `team`
  [[nodiscard]] preparation_load load(std::string_view team) const;

 private:
  void leave(const std::string& team) noexcept;

  mutable ordered_mutex mutex_{lock_rank::queues};
  std::size_t total_{0};
  std::unordered_map<std::string, std::size_t> by_team_;
};

} // namespace sedgechute
