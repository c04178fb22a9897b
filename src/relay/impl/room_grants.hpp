#pragma once

#include "kernel/kernel.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief Random number of a request in flight, the same on all hosts.
using grant_id = std::uint64_t;

/// Younger requests are not reported: the report of one that ends meanwhile would keep its place.
inline constexpr time_ms min_reported_age{300};

/// \brief A request that has ended and may have been granted.
struct ended_request {
  std::uint64_t endpoint{}; ///< incarnation
  grant_id id{};
  bool refused{false}; ///< by the endpoint
};

/// \brief What a host has told an arbiter lately, to be told again: a message that is lost would
/// keep a place taken. Not thread-safe.
class recent_ends {
 public:
  void add(const ended_request& one, time_ms now);
  /// \returns the requests for the next message, the newest last; empty when all have been told
  /// often enough
  [[nodiscard]] std::vector<ended_request> due(time_ms now);

  static constexpr std::size_t most{8};

 private:
  struct entry {
    ended_request request;
    time_ms at;
  };

  std::vector<entry> entries_;
};

/// \brief The requests that may be in flight at one endpoint, as its arbiter knows them: those that
/// it granted and those that hosts report. A host that no longer reports loses its grants. Not
/// thread-safe.
class room_grants {
 public:
  /// \brief Grants a request if fewer than `room` are in flight. A grant that is asked for again is
  /// given again: the answer may have been lost.
  [[nodiscard]] bool take(grant_id id, std::uint64_t host, std::size_t room, time_ms now);
  /// \returns whether the request was known to be in flight
  bool end(grant_id id, time_ms now);
  /// \brief Takes all requests that a host has had in flight for `min_reported_age`.
  void renew(std::uint64_t host, const std::vector<grant_id>& open, time_ms now);
  [[nodiscard]] std::size_t in_flight(time_ms now);

 private:
  struct grant {
    std::uint64_t host{};
    time_ms granted;
    time_ms renewed;
  };

  std::unordered_map<grant_id, grant> grants_;
  std::unordered_map<grant_id, time_ms> closed_; ///< denied or ended: never granted again
  time_ms next_expiry_;
};

/// \brief Decides, at the arbiter of a brittle endpoint, whether one more request may be sent to
/// it. A request that an endpoint has a free slot for is never refused; how many may wait beside
/// those that run is not known and may shrink. Not thread-safe.
class room_arbiter {
 public:
  /// \param refusals_borne  a second
  /// \param announced       since the endpoint first said that it is brittle
  /// \returns how long the host should ask for no other; nothing: the request may be sent
  [[nodiscard]] std::optional<time_ms> refusal(grant_id id, std::uint64_t host, std::size_t slots,
                                               double refusals_borne, time_ms announced,
                                               time_ms now);
  /// \param refused  by the endpoint
  void end(grant_id id, bool refused, std::size_t slots, time_ms now);
  void renew(std::uint64_t host, const std::vector<grant_id>& open, time_ms now);
  /// \returns the requests in flight that the endpoint is assumed to take
  [[nodiscard]] double room(std::size_t slots, time_ms now) const noexcept;

 private:
  struct refused_request {
    grant_id id{};
    time_ms at;
  };

  /// \returns how long refusals are too frequent for one more, which might end the endpoint
  [[nodiscard]] time_ms closed_for(double refusals_borne, time_ms now);

  room_grants grants_;
  std::optional<time_ms> first_heard_;    ///< a message of any host
  std::vector<refused_request> refusals_; ///< oldest first
  time_ms refusal_pause_;
  bool taken_since_refusal_{true}; ///< a request that was not refused has ended
  std::optional<double> reduced_room_;
  time_ms reduced_at_;
};

} // namespace sedgechute
