#pragma once

#include "config/impl/contract_set.hpp"

namespace sedgechute {

/// \brief All of a document store's state at one place of the log.
struct document_snapshot {
  std::uint64_t last_offset{0}; ///< of the last document record replayed
  std::uint64_t sequence{0};    ///< document records replayed since the fleet began
  document_revision fleet_revision{0};
  std::uint64_t fleet_record_hash{0};
  std::string fleet_body;
  std::vector<std::string> terms;
  std::vector<packed_contract> contracts;
  std::vector<publish_outcome> outcomes;
  std::uint64_t digest{0};

  bool operator==(const document_snapshot&) const = default;
};

} // namespace sedgechute
