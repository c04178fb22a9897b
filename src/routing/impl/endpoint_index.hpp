#pragma once

#include "kernel/kernel.hpp"

#include <absl/container/flat_hash_map.h>

#include <span>
#include <vector>

namespace sedgechute {

/// \brief Endpoints by pool, capability and data centre, so that a choice never scans them all. A
/// capability is the hash of a model, a version or an adapter that is loaded; 0 is every endpoint
/// of the pool.
class endpoint_index {
 public:
  /// \brief One data centre's endpoints with a capability.
  struct bucket {
    std::uint32_t data_centre{};
    std::vector<std::uint32_t> members;

    /// \returns the member that `key` is placed on; the same on every host with the same members
    /// \pre there are members
    [[nodiscard]] std::uint32_t home_of(std::uint64_t key) const noexcept;

   private:
    friend class endpoint_index;
    struct point {
      std::uint64_t place{};
      std::uint32_t member{};
    };
    std::vector<point> ring_;
  };

  struct group {
    std::vector<bucket> buckets; ///< none is empty
    std::size_t size{};          ///< members of all buckets

    [[nodiscard]] const bucket* in(std::uint32_t data_centre) const noexcept;
  };

  /// \param identity  stable hash of the endpoint's name, which fixes its places on the ring
  void add(std::uint32_t slot, std::uint64_t identity, std::uint64_t pool,
           std::span<const std::uint64_t> capabilities, std::uint32_t data_centre);
  void remove(std::uint32_t slot, std::uint64_t pool, std::span<const std::uint64_t> capabilities,
              std::uint32_t data_centre);

  /// \returns the group, or null if no endpoint is in it
  [[nodiscard]] const group* find(std::uint64_t pool, std::uint64_t capability) const noexcept;

 private:
  void add_to(group& members, std::uint32_t slot, std::uint64_t identity,
              std::uint32_t data_centre);

  absl::flat_hash_map<std::uint64_t, group> groups_;
};

} // namespace sedgechute
