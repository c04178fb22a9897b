#pragma once

#include "prepaid/impl/account.hpp"
#include "telemetry/telemetry.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace sedgechute {

/// \brief Accounts read from the log, in its order.
struct account_page {
  std::vector<account_record> records;
  std::uint64_t end{};      ///< offset behind the last record of the log
  bool history_lost{false}; ///< records before were dropped; read the newest of each key instead
  std::vector<entry_fault> faults{}; ///< records that are no accounts, and accounts dropped
  bool from_start{false};            ///< `retained` only: no record has ever been deleted
};

/// \brief One partition of the log that holds the accounts. Calls throw `log_unavailable` when it
/// is not known whether they were carried out.
class account_log {
 public:
  account_log() = default;
  account_log(const account_log&) = delete;
  account_log& operator=(const account_log&) = delete;
  virtual ~account_log() = default;

  /// \returns the newest record of each key; all records from `end` on may be missing
  [[nodiscard]] virtual account_page newest() = 0;
  /// \returns all records that the log still keeps, those that were superseded too
  [[nodiscard]] virtual account_page retained() = 0;
  /// \returns the records from an offset on
  [[nodiscard]] virtual account_page read(std::uint64_t from) = 0;
  /// \brief Appends all records, or none if the log does not end at `end`.
  /// \returns the new end; nothing when the log was longer
  [[nodiscard]] virtual std::optional<std::uint64_t>
  append_at(std::uint64_t end, const std::vector<account_record>& records) = 0;
};

} // namespace sedgechute
