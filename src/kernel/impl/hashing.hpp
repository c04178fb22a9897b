#pragma once

#include "kernel/impl/identifier.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace sedgechute {

/// \brief A stable 64-bit hash: the same on every host and in every release, so it may be used for
/// placement and stored. Not for secrets.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text) noexcept;

/// \brief Mixes two hashes into one, order-sensitive.
[[nodiscard]] std::uint64_t mix_hash(std::uint64_t a, std::uint64_t b) noexcept;

/// \brief Orders hosts by rendezvous weight for `key`: the first is the key's place, the second
/// its next best. Removing a host moves only the keys that it held.
/// \returns at most `count` hosts, best first
[[nodiscard]] std::vector<host_id> rendezvous(std::string_view key, std::span<const host_id> hosts,
                                              std::size_t count);

} // namespace sedgechute
