#pragma once

#include "kernel/kernel.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace sedgechute {

/// \brief Requests that a host has taken and not yet sent to an endpoint.
struct preparing_load {
  std::size_t total{};
  std::size_t of_team{}; ///< of these, of the team whose request is decided about
  std::size_t teams{};   ///< that have some, this one included
};

/// \brief Whether one more request of a team is to be refused.
///
/// Load pattern: one team's callers, dealt to one host, bring many times what its processor
/// carries within a second. Each request that is taken delays all that are being prepared.
/// \param most  requests in preparation that the host's processor gets through in time
[[nodiscard]] bool exceeds_share(const preparing_load& load, std::size_t most) noexcept;

/// \brief Requests in preparation of a processor's part.
/// \param processor_share  of a core
[[nodiscard]] std::size_t most_preparing(double processor_share) noexcept;

/// \brief Counts requests in preparation, all and by team. Thread-safe.
class preparing_requests {
 public:
  /// \brief One request in preparation, until it is destroyed or `end` is called.
  class mark {
   public:
    mark() = default;
    mark(preparing_requests& in, std::string team);
    mark(mark&& other) noexcept;
    mark& operator=(mark&& other) noexcept;
    mark(const mark&) = delete;
    mark& operator=(const mark&) = delete;
    ~mark();

    void end() noexcept;
    [[nodiscard]] bool begun() const noexcept { return in_ != nullptr; }
    /// \brief Its team has become known.
    void belong_to(std::string_view team);

   private:
    preparing_requests* in_{nullptr};
    std::string team_;
  };

  /// \param team  empty where it is not known yet
  [[nodiscard]] mark begin(std::string_view team);
  [[nodiscard]] std::size_t total() const;
  /// \returns the load as a request of `team` meets it
  [[nodiscard]] preparing_load load(std::string_view team) const;

 private:
  void leave(const std::string& team) noexcept;

  mutable ordered_mutex mutex_{lock_rank::queues};
  std::size_t total_{0};
  std::unordered_map<std::string, std::size_t> by_team_;
};

} // namespace sedgechute
