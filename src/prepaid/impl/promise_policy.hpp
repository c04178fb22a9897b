#pragma once

#include "prepaid/impl/prepaid_options.hpp"

#include <cstdint>

namespace sedgechute {

/// \brief What a host's use of a team's tokens rests on when it writes a record.
struct promise_inputs {
  double unused{};          ///< tokens that the host holds and has not used
  double rate{};            ///< tokens a second that it uses lately
  double mean_request{};    ///< tokens
  double lent_fraction{};   ///< of the rate: lent to other hosts
  double unpromised_rate{}; ///< tokens a second that others asked for, held here and not promised
  double remaining_fraction{1}; ///< of the team's budget: not used by any host
};

/// \brief What a host will have used at most until its next record, beyond what the record says.
struct usage_promise {
  std::uint64_t burst{};       ///< tokens, at once
  std::uint64_t pace{};        ///< tokens a second, until `later`
  std::uint64_t outage_pace{}; ///< the same, from then on
  time_ms outage_after{};
};

/// \returns what a record promises. What is promised and not used is lost to the team when the host
///   is killed; what is not promised cannot be used while the host is cut off from the log.
[[nodiscard]] usage_promise make_promise(const promise_inputs& demand,
                                         const prepaid_options& options) noexcept;

} // namespace sedgechute
