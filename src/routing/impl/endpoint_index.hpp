#pragma once

#include "kernel/kernel.hpp"

#include <absl/container/flat_hash_map.h>

#include <span>
#include <vector>

namespace sedgechute {

/// \brief Index of endpoints by pool, capability and data centre, which avoids a scan of all
/// endpoints per choice. A capability is the hash of a loaded model, version or adapter; 0 selects
/// every endpoint of the pool.
class endpoint_index {
 public:
  /// \brief Endpoints of one data centre that have a capability.
  struct bucket {
    std::uint32_t data_centre{};
    std::vector<std::uint32_t> members;

    /// \returns the member that consistent hashing assigns to `key`; every host with the same
    /// members gets the same one
    /// \pre `members` is not empty
    [[nodiscard]] std::uint32_t home_of(std::uint64_t key) const noexcept;

   private:
    friend class endpoint_index;
    struct point {
      std::uint64_t place{};
      std::uint32_t member{};
    };
    std::vector<point> ring_;
  };

  /// \brief Endpoints of one pool that have a capability, by data centre.
  struct group {
    std::vector<bucket> buckets; ///< none is empty
    std::size_t size{};          ///< members of all buckets

    /// \returns the data centre's bucket, or null if it has no members
    [[nodiscard]] const bucket* in(std::uint32_t data_centre) const noexcept;
  };

  /// \param identity  stable hash of the endpoint's name, which determines its positions on the
  /// hash ring
  void add(std::uint32_t slot, std::uint64_t identity, std::uint64_t pool,
           std::span<const std::uint64_t> capabilities, std::uint32_t data_centre);
  void remove(std::uint32_t slot, std::uint64_t pool, std::span<const std::uint64_t> capabilities,
              std::uint32_t data_centre);

  /// \returns the group, or null if it is empty
  [[nodiscard]] const group* find(std::uint64_t pool, std::uint64_t capability) const noexcept;

 private:
  void add_to(group& members, std::uint32_t slot, std::uint64_t identity,
              std::uint32_t data_centre);

  absl::flat_hash_map<std::uint64_t, group> groups_;
};

} // namespace sedgechute
