#pragma once

#include "daemon/impl/budget_service.hpp"
#include "daemon/impl/claim_service.hpp"
#include "daemon/impl/document_service.hpp"
#include "daemon/impl/order_service.hpp"

#include <optional>
#include <string>

namespace sedgechute {

/// \brief The replicated state as it was at one offset, read in parts while replay goes on.
///
/// Each part is a compressed `wire::checkpoint` that names the offset and has some thousand rows.
/// Documents come before the ledger, whose last part has the digest of its whole.
class state_cut {
 public:
  /// \brief No record may be applied while it is made; afterwards any may.
  state_cut(std::uint64_t offset, document_service& documents, budget_service& budgets,
            const claim_service& claims, const order_service& orders);
  state_cut(const state_cut&) = delete;
  state_cut& operator=(const state_cut&) = delete;
  ~state_cut();

  [[nodiscard]] std::uint64_t offset() const noexcept { return offset_; }
  /// \returns the next part, or nothing after the last
  /// \throws error `internal` when the state was replaced by another one meanwhile
  [[nodiscard]] std::optional<std::string> next();
  /// \returns whether the part that `next` gave was the last.
  [[nodiscard]] bool finished() const noexcept { return finished_; }

 private:
  std::uint64_t offset_;
  document_service& documents_;
  budget_service& budgets_;
  claims_snapshot claims_;
  std::vector<decided_pool> pools_;
  cut_number document_cut_;
  ledger::cut_number ledger_cut_;
  std::optional<ledger::ledger_snapshot> ahead_; ///< read to know whether the one before was last
  bool documents_read_{false};
  bool finished_{false};
};

} // namespace sedgechute
