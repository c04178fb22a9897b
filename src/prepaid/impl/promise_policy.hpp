#pragma once

#include "prepaid/impl/prepaid_options.hpp"

#include <cstdint>

namespace sedgechute {

/// \brief What a host's use of a team's tokens rests on when it writes a record.
struct promise_demand {
  double unused{};        ///< tokens that the host holds and has not used
  double rate{};          ///< tokens a second that it uses lately
  double usual_request{}; ///< tokens
  double lent_part{};     ///< of the rate: lent to other hosts
  double refused_rate{};  ///< tokens a second that others asked for, held here and not promised
  double left_part{1};    ///< of the team's budget: not used by any host
};

/// \brief What a host will have used at most until its next record, beyond what the record says.
struct use_promise {
  std::uint64_t lead{};       ///< tokens, at once
  std::uint64_t pace{};       ///< tokens a second, until `later`
  std::uint64_t later_pace{}; ///< the same, from then on
  time_ms later{};
};

/// \returns what a record promises. What is promised and not used is lost to the team when the host
///   is killed; what is not promised cannot be used while the host is cut off from the log.
[[nodiscard]] use_promise promise_for(const promise_demand& demand,
                                      const prepaid_options& options) noexcept;

} // namespace sedgechute
