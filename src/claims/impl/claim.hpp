#pragma once

#include "claims/impl/request_state.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief An idempotency key of a team; equal texts of two teams are different keys.
struct claim_id {
  team_id team;
  std::string key;

  auto operator<=>(const claim_id&) const = default;
};

/// \brief A hash with equal values in every process, so that a simulation is reproducible from its
/// seed.
struct claim_id_hash {
  [[nodiscard]] std::size_t operator()(const claim_id& id) const noexcept {
    return mix_hash(stable_hash(id.team.str()), stable_hash(id.key));
  }
};

/// \brief The right of one entry host to run one attempt under a key. The shard's holder and
/// witness both store it.
struct claim {
  claim_id id;
  std::uint64_t fingerprint{}; ///< of the request's body
  bool idempotent{};
  std::uint32_t attempt{};
  incarnation entry;       ///< entry host, which runs the attempt
  std::uint64_t ticket{};  ///< number of the request on the entry host
  incarnation peer;        ///< host that stores a copy of the answer and stream position
  incarnation resume_from; ///< peer of the attempt before this one
  request_state state{request_state::claimed};
  bool may_have_run{}; ///< an earlier attempt may have been dispatched
  /// Hosts of earlier attempts without a final state. Such a host may be paused and may still
  /// dispatch its attempt when it resumes.
  std::vector<incarnation> unfinished;

  bool operator==(const claim&) const = default;
};

/// \brief Most unfinished earlier attempts of one key; at this number no further one is granted.
inline constexpr std::size_t max_unfinished = 8;

/// \returns whether both are the same process; compares the random numbers first, since different
/// processes nearly always differ there
[[nodiscard]] inline bool same_process(const incarnation& a, const incarnation& b) {
  return a.number == b.number && a.host == b.host;
}

/// \returns whether both claims describe the same attempt of the same entry host
[[nodiscard]] inline bool same_attempt(const claim& a, const claim& b) {
  return a.attempt == b.attempt && a.ticket == b.ticket && same_process(a.entry, b.entry);
}

/// \returns whether both claims describe the same ticket of the same entry host
[[nodiscard]] inline bool same_request(const claim& a, const claim& b) {
  return a.ticket == b.ticket && same_process(a.entry, b.entry) && a.id == b.id;
}

/// \brief A host that is not known to be dead.
struct live_host {
  incarnation who;
  data_centre_id data_centre;
  bool leaving{};

  bool operator==(const live_host&) const = default;
};

} // namespace sedgechute
