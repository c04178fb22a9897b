#pragma once

#include "config/config.hpp"
#include "wire/generated/document.pb.h"

#include <optional>
#include <span>

namespace sedgechute {

[[nodiscard]] wire::document_record to_wire(const document_record& record);
[[nodiscard]] wire::relayed_document to_wire(const relayed_document& document);
[[nodiscard]] wire::document_snapshot to_wire(const document_snapshot& snapshot);

/// \throws error of kind malformed_request when a name is missing or too long, a text is not of a
/// document's size, or an enumeration value is unknown; likewise below
[[nodiscard]] document_record from_wire(const wire::document_record& record);
[[nodiscard]] relayed_document from_wire(const wire::relayed_document& document);
[[nodiscard]] document_snapshot from_wire(const wire::document_snapshot& snapshot);

/// \brief Cuts a snapshot into parts of at most `part_bytes` of content each.
[[nodiscard]] std::vector<wire::document_snapshot_part>
split_snapshot(const document_snapshot& snapshot, std::size_t part_bytes);

/// \brief Puts the parts of one snapshot together, in any order, repeats included.
class snapshot_assembler {
 public:
  /// \brief Takes a part. A part of a newer snapshot drops those of an older one; a part of an
  /// older one is ignored.
  /// \returns the snapshot once it is whole
  /// \throws error of kind malformed_request when the parts don't make a snapshot
  [[nodiscard]] std::optional<document_snapshot> add(const wire::document_snapshot_part& part);

 private:
  std::uint64_t last_offset_{0};
  std::uint64_t digest_{0};
  std::vector<std::optional<std::string>> slices_;
  std::size_t missing_{0};
};

} // namespace sedgechute
