#pragma once

#include "ledger/impl/host_context.hpp"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>
#include <vector>

namespace sedgechute::ledger {

enum class reservation_state : std::uint8_t {
  open,
  settled,  ///< billed; remembered so that late attempts and settlements have no effect
  orphaned, ///< no attempt can settle it; the bound is written off unless a retry takes it over
};

/// \brief The tokens of one request, shared by all its attempts.
struct reservation {
  epoch_number epoch{};
  token_count bound{};
  reservation_state state{};
  token_count bill{};
  bool disowned{};    ///< an attempt that may have used tokens ended without a bill
  time_ms next_check; ///< time of the next check; earlier queue entries are stale
  std::vector<attempt_id> attempts;
};

struct reservation_key {
  name_index team{no_name};
  request_id key;

  bool operator==(const reservation_key&) const = default;
  template <typename H>
  friend H AbslHashValue(H h, const reservation_key& k) { // NOLINT(readability-identifier-naming)
    return H::combine(std::move(h), k.team, k.key);
  }
};

/// \brief The reservations of one holder, each with the time of its next check.
class reservation_table {
 public:
  [[nodiscard]] reservation* find(const reservation_key& key);
  reservation& add(const reservation_key& key, reservation made, time_ms due);
  void erase(const reservation_key& key) { reservations_.erase(key); }
  /// \brief Schedules the next check: `next_due` returns the key once `due` has passed.
  void schedule_check(const reservation_key& key, reservation& r, time_ms due);
  /// \returns a key whose check is due, which leaves the queue, or nothing. It may be stale: the
  /// caller compares `next_check`.
  [[nodiscard]] std::optional<reservation_key> next_due(time_ms now);
  [[nodiscard]] std::size_t size() const noexcept { return reservations_.size(); }

 private:
  struct due_key {
    time_ms due;
    reservation_key key;
  };

  absl::flat_hash_map<reservation_key, reservation> reservations_;
  // Checks are scheduled after one of two constant waits, so two queues stay ordered by due time
  // without sorting.
  std::deque<due_key> first_queue_;
  std::deque<due_key> second_queue_;
};

} // namespace sedgechute::ledger
