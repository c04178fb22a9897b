#pragma once

#include "routing/impl/endpoint_table.hpp"
#include "routing/impl/fair_queue.hpp"

#include <array>
#include <optional>

namespace sedgechute {

/// \brief Chooses the endpoint for one attempt: two random candidates of this data centre, one of
/// another, those that probably hold the prompt's prefix and the prefix's home, compared by the
/// expected time to the first token.
/// \param here  this host's data centre
/// \returns nothing when no endpoint that is not leaving has what is needed
[[nodiscard]] std::optional<route_choice> choose_endpoint(const endpoint_table& table,
                                                          const route_need& need,
                                                          const data_centre_id& here,
                                                          random_source& random, time_ms now);

/// \brief When a request that is next may go to the endpoint chosen for it.
struct start_policy {
  /// Places that each class leaves free at an endpoint for more urgent ones.
  std::array<double, work_class_count> places_left{0.0, 2.0, 4.0};
  /// After this wait a class takes any place within this host's credit.
  std::array<time_ms, work_class_count> wait_for_place{time_ms{0}, time_ms{500}, time_ms{3000}};
  /// Expected wait at the endpoint up to which a class is sent there rather than kept here, where
  /// its order can still be changed.
  std::array<double, work_class_count> most_queue_ms{400.0, 800.0, 1500.0};
  double places_left_beyond{6.0}; ///< left at an endpoint by a team beyond its share
  double credit_left_beyond{0.2}; ///< part of this host's credit left by such a team
  double full_reserve_at{0.3};    ///< part of the pool that others use for these to hold whole
};

/// \returns whether the next request may go to the chosen endpoint now: into a place believed to be
/// free, whoever's it is, or else within this host's credit
[[nodiscard]] bool may_start(const fair_queue& queue, const queue_head& head,
                             const route_choice& choice, const start_policy& policy) noexcept;

/// \brief Leaves out of `filter` what the head that may not start stands for, so that it does not
/// hold up what is more urgent.
/// \returns false when nothing is left to consider
[[nodiscard]] bool narrow(queue_filter& filter, const queue_head& head) noexcept;

/// \brief The same without regard to classes, for pools that have only one.
[[nodiscard]] bool may_start(const fair_queue& queue, const route_choice& choice) noexcept;

} // namespace sedgechute
