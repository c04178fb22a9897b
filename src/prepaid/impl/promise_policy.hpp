#pragma once

#include "prepaid/impl/prepaid_options.hpp"

#include <cstdint>

namespace sedgechute {

/// \brief Inputs of the promise in a host's record of a team.
struct promise_inputs {
  double unused{};          ///< tokens that the host holds and has not used
  double rate{};            ///< recent use, in tokens per second
  double mean_request{};    ///< tokens
  double lent_fraction{};   ///< part of `rate` that was lent to other hosts
  double unpromised_rate{}; ///< tokens per second that others asked for, held here but not promised
  double remaining_fraction{1}; ///< part of the team's budget that no host has used
  bool host_active{true};       ///< further requests are to be expected at this host
  bool team_active{true};       ///< the same, at any host
};

/// \brief Upper bound on a host's use until its next record, beyond the use that the record
/// reports.
struct usage_promise {
  std::uint64_t burst{};       ///< tokens that may be used at once
  std::uint64_t pace{};        ///< tokens per second until `outage_after`
  std::uint64_t outage_pace{}; ///< tokens per second after that
  time_ms outage_after{};
};

/// \brief Least pace of a host at which further requests are to be expected: other hosts see from
/// it that the team is active.
inline constexpr std::uint64_t least_active_pace = 1;

/// \returns the promise of a record. Tokens that are promised and not used are lost to the team
/// when the host is killed; tokens that are not promised cannot be used while the host is cut off
/// from the log.
[[nodiscard]] usage_promise make_promise(const promise_inputs& demand,
                                         const prepaid_options& options) noexcept;

} // namespace sedgechute
