#pragma once

#include "prepaid/impl/account.hpp"
#include "telemetry/telemetry.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace sedgechute {

/// \brief Account records read from the log, in log order.
struct account_page {
  std::vector<account_record> records;
  std::uint64_t end{};      ///< offset after the last record of the log
  bool history_lost{false}; ///< earlier records were deleted; read the newest of each key instead
  std::vector<entry_fault> faults{};    ///< records that are not valid, and deleted ones
  bool from_start{false};               ///< set by `retained` only: no record was ever deleted
  std::vector<budget_record> budgets{}; ///< recorded budgets, in log order
};

/// \brief One partition of the log of accounts. Functions throw `log_unavailable` when it is
/// unknown whether the call took effect.
class account_log {
 public:
  account_log() = default;
  account_log(const account_log&) = delete;
  account_log& operator=(const account_log&) = delete;
  virtual ~account_log() = default;

  /// \returns the newest record of each key; records at or after `end` may be missing
  [[nodiscard]] virtual account_page newest() = 0;
  /// \returns all records that the log retains, including superseded ones
  [[nodiscard]] virtual account_page retained() = 0;
  /// \returns the records at and after an offset
  [[nodiscard]] virtual account_page read(std::uint64_t from) = 0;
  /// \brief Appends all records, and the recorded budgets that are set in them, if the log ends at
  /// `end`, else none.
  /// \returns the new end, or nothing if the log was longer
  [[nodiscard]] virtual std::optional<std::uint64_t>
  append_at(std::uint64_t end, const std::vector<account_record>& records) = 0;
};

} // namespace sedgechute
