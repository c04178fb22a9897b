#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>
#include <string>

namespace sedgechute {

enum class document_kind { contract, fleet };

/// \brief What became of a published record.
enum class publish_verdict {
  in_force,   ///< it became the document's revision
  conflict,   ///< it replaces another revision than the one in force
  invalid,    ///< its content is faulty, or doesn't fit the other documents or the budget
  expired,    ///< it was appended too long after it was written
  unreadable, ///< its schema is newer than this program
};

template <>
struct enum_names<document_kind> {
  static constexpr auto entries = enum_table<document_kind>(
      {{document_kind::contract, "contract"}, {document_kind::fleet, "fleet"}});
};

template <>
struct enum_names<publish_verdict> {
  static constexpr auto entries =
      enum_table<publish_verdict>({{publish_verdict::in_force, "in_force"},
                                   {publish_verdict::conflict, "conflict"},
                                   {publish_verdict::invalid, "invalid"},
                                   {publish_verdict::expired, "expired"},
                                   {publish_verdict::unreadable, "unreadable"}});
};

/// \brief Offset of the log record that brought a document's revision; 0 before the first.
using document_revision = std::uint64_t;

/// \brief Name under which the settings of the whole fleet are published.
inline constexpr std::string_view fleet_document_name = "fleet";

/// \brief A document as it stands in the log.
struct document_record {
  std::string record_id; ///< random; the same on every repeat
  document_kind kind{document_kind::contract};
  std::string name; ///< the team, or "fleet"
  document_revision replaces{0};
  std::uint64_t based_on{0}; ///< count of document records that the publisher's host had replayed
  std::string body;          ///< JSON text
  std::string author;        ///< the operator
  time_ms published_at;      ///< wall-clock time, for the history only

  bool operator==(const document_record&) const = default;
};

/// \brief What became of a record, the same on every host.
struct publish_outcome {
  std::string record_id;
  std::uint64_t offset{0};
  document_kind kind{document_kind::contract};
  std::string name;
  document_revision replaces{0};
  publish_verdict verdict{publish_verdict::invalid};
  document_revision current{0}; ///< the document's revision right after the record
  std::string reason;           ///< empty when in force

  bool operator==(const publish_outcome&) const = default;
};

/// \brief A record with its place in the log and its verdict, as hosts pass it on to each other.
struct relayed_document {
  document_record record;
  std::uint64_t offset{0};
  std::uint64_t previous{0}; ///< offset of the document record before it; 0 for the first
  publish_verdict verdict{publish_verdict::invalid};
  std::string reason;
  bool repeated{false}; ///< a copy of an earlier record; the verdict is the earlier one's

  bool operator==(const relayed_document&) const = default;
};

} // namespace sedgechute
