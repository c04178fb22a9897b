#pragma once

#include "routing/impl/endpoint_table.hpp"
#include "routing/impl/fair_queue.hpp"

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

/// \returns whether the next request may go to the chosen endpoint now: within this host's part of
/// the pool, or beyond it while places seem free that other hosts do not use
[[nodiscard]] bool may_start(const fair_queue& queue, const route_choice& choice) noexcept;

} // namespace sedgechute
