#pragma once

#include "config/impl/document_snapshot.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>

namespace sedgechute {

/// \brief Names an open cut of a `document_store`.
using cut_number = std::uint64_t;

/// \brief A store's state as it was at one offset, read in parts while records go on being
/// applied. Contracts are read from the store; one that is replaced before it was read is copied.
struct document_cut {
  document_snapshot head; ///< without contracts and outcomes
  std::uint32_t next{0};  ///< first contract that was not read
  std::uint32_t contracts{0};
  absl::flat_hash_map<std::uint32_t, packed_contract> images;
  std::vector<std::shared_ptr<const publish_outcome>> outcomes;
  std::size_t next_outcome{0};
  bool finished{false};
};

} // namespace sedgechute
