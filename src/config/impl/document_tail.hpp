#pragma once

#include "config/impl/document_record.hpp"

#include <deque>
#include <functional>
#include <vector>

namespace sedgechute {

/// \brief Most records, and bytes of their bodies, kept to be passed on to other hosts.
inline constexpr std::size_t tail_records = 4096;
inline constexpr std::size_t tail_bytes = std::size_t{4} << 20U;

/// \brief The last document records with their verdicts, for hosts that can't reach the log.
class document_tail {
 public:
  /// \brief Forgets everything; the next record must follow `offset`.
  void start_after(std::uint64_t offset);
  void add(relayed_document document);

  /// \returns all that is kept, oldest first
  [[nodiscard]] const std::deque<relayed_document>& records() const noexcept { return records_; }
  /// \returns whether every document record after `offset` is still here
  [[nodiscard]] bool reaches(std::uint64_t offset) const noexcept;
  /// \returns the record at `offset`, or null
  [[nodiscard]] const relayed_document* at(std::uint64_t offset) const noexcept;
  /// \returns at most `most` records after `offset`, oldest first; none when there is a gap
  [[nodiscard]] std::vector<relayed_document> after(std::uint64_t offset, std::size_t most) const;
  /// \brief Calls `visit` for every record kept.
  void for_each_newest_first(const std::function<void(const relayed_document&)>& visit) const;

 private:
  std::deque<relayed_document> records_;
  std::size_t bytes_{0};
  std::uint64_t start_{0}; ///< records up to this offset are not here
};

} // namespace sedgechute
