#pragma once

#include "routing/impl/endpoint_table.hpp"
#include "routing/impl/fair_queue.hpp"

#include <array>
#include <optional>

namespace sedgechute {

/// \brief Chooses the endpoint for one attempt. Candidates are two random endpoints of this data
/// centre, one of another, those that probably cache the prompt's prefix, and the one on which the
/// prefix is placed by hash; they are compared by the expected time to the first token.
/// \param here  this host's data centre
/// \returns the choice, or nothing if no endpoint that is not leaving meets the need
[[nodiscard]] std::optional<route_choice> choose_endpoint(const endpoint_table& table,
                                                          const route_need& need,
                                                          const data_centre_id& here,
                                                          random_source& random, time_ms now);

/// \brief Conditions under which the next request may be sent to its chosen endpoint.
struct start_policy {
  /// Places that each class leaves free at an endpoint for more urgent classes.
  std::array<double, work_class_count> reserved_places{0.0, 2.0, 4.0};
  /// After this wait a class may use any place within this host's credit.
  std::array<time_ms, work_class_count> wait_for_place{time_ms{0}, time_ms{500}, time_ms{3000}};
  /// Longest expected wait at the endpoint, in ms, for which a class is sent there. With a longer
  /// one it stays in this host's queue, where it can still be reordered.
  std::array<double, work_class_count> max_queue_ms{400.0, 800.0, 1500.0};
  /// Places that a team beyond its share leaves free at an endpoint.
  double reserved_places_beyond_share{6.0};
  /// Fraction of this host's credit that such a team leaves unused.
  double reserved_credit_beyond_share{0.2};
  /// Fraction of the pool used by teams within their share from which the reserves apply in full.
  double full_reserve_at{0.3};
};

/// \returns whether the next request may be sent to the chosen endpoint now: into a place that is
/// estimated to be free, even beyond this host's credit, or else within that credit
[[nodiscard]] bool may_start(const fair_queue& queue, const queue_head& head,
                             const route_choice& choice, const start_policy& policy) noexcept;

/// \brief Narrows `filter` to requests more urgent than a head that may not start, so that the head
/// does not block them.
/// \returns false if no requests are left to consider
[[nodiscard]] bool narrow(queue_filter& filter, const queue_head& head) noexcept;

/// \brief Decides without regard to classes, for pools that have only one.
[[nodiscard]] bool may_start(const fair_queue& queue, const route_choice& choice) noexcept;

} // namespace sedgechute
