#pragma once

#include "daemon/impl/budget_service.hpp"
#include "daemon/impl/claim_service.hpp"
#include "daemon/impl/dispatch_service.hpp"
#include "daemon/impl/document_service.hpp"
#include "daemon/impl/order_service.hpp"
#include "daemon/impl/state_cut.hpp"

#include <atomic>
#include <deque>

namespace sedgechute {

/// \brief What every host replays from the log: documents, ledger and claims, in one order.
///
/// One thread applies; others may ask for the position, the tail or a snapshot.
class replicated_state {
 public:
  replicated_state(document_service& documents, budget_service& budgets, claim_service& claims,
                   dispatch_service& dispatch, order_service& orders)
      : documents_{documents}, budgets_{budgets}, claims_{claims}, dispatch_{dispatch},
        orders_{orders} {}

  /// \brief Applies the record at `offset`, which must be above `position()`; lower ones are
  /// known already and are skipped.
  void apply(std::uint64_t offset, const std::string& data);

  /// \returns offset of the last record applied.
  [[nodiscard]] std::uint64_t position() const noexcept { return position_; }

  /// \returns the present state, to be read in parts.
  [[nodiscard]] std::unique_ptr<state_cut> cut();
  /// \returns a value that is equal on hosts that applied the same records.
  [[nodiscard]] std::uint64_t digest();

  /// \brief Takes the next part of another host's cut; the first starts over.
  /// \throws error `invalid_document` when it is damaged, older than this state, or of another cut
  void restore_part(const std::string& bytes);
  /// \brief Goes to the state whose parts were given.
  /// \throws error `invalid_document` when they are not whole
  void finish_restore();
  /// \brief Gives up a restore that did not come to its end.
  void abandon_restore();
  /// \returns whether a restore was given up half done: only another one can mend this state.
  [[nodiscard]] bool incomplete() const noexcept { return incomplete_; }

  /// \returns records after an offset, as far as they are still kept.
  [[nodiscard]] wire::records_reply records_after(std::uint64_t after, std::size_t most) const;

  /// \returns records that no part could read; each was reported when it was met.
  [[nodiscard]] std::uint64_t unreadable() const noexcept { return unreadable_; }

 private:
  void apply_document(std::uint64_t offset, const wire::document_record& record);
  void keep(std::uint64_t offset, const std::string& data);

  document_service& documents_;
  budget_service& budgets_;
  claim_service& claims_;
  dispatch_service& dispatch_;
  order_service& orders_;
  std::atomic<std::uint64_t> position_{0};
  std::atomic<std::uint64_t> unreadable_{0};
  std::uint64_t arriving_{0}; ///< offset of the cut that is being restored
  std::optional<claims_snapshot> arrived_claims_;
  std::vector<decided_pool> arrived_pools_;
  std::atomic<bool> incomplete_{false};
  mutable ordered_mutex applying_{lock_rank::lifecycle};
  mutable ordered_mutex tail_mutex_{lock_rank::telemetry};
  std::deque<log_entry> tail_;
  std::uint64_t tail_after_{0}; ///< every record after this offset is in the tail
  std::size_t tail_bytes_{0};
};

} // namespace sedgechute
