#pragma once

#include "pool/impl/deployment.hpp"
#include "pool/impl/placement_policy.hpp"

#include <memory>

namespace sedgechute::pool {

/// \brief A policy of the comparison; `weights` are those of `shipped`.
[[nodiscard]] std::unique_ptr<placement_policy> make_policy(policy_kind kind, const deployment& of,
                                                            const choice_weights& weights,
                                                            std::uint64_t seed);

} // namespace sedgechute::pool
