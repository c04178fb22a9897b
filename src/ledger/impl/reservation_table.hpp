#pragma once

#include "ledger/impl/host_context.hpp"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>
#include <vector>

namespace sedgechute::ledger {

enum class reservation_state : std::uint8_t {
  open,
  settled,  ///< billed; remembered so that late attempts and settles change nothing
  orphaned, ///< its entry hosts died; the bound is written off unless an attempt turns up
};

/// \brief The tokens of one request, shared by all its attempts.
struct reservation {
  epoch_number epoch{};
  token_count bound{};
  reservation_state state{};
  token_count bill{};
  bool disowned{};    ///< an attempt that may have used tokens has gone without a bill
  time_ms next_check; ///< when it is to be looked at again; earlier entries of the queue are stale
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

/// \brief The reservations of one holder, with the times at which each is to be looked at again.
class reservation_table {
 public:
  [[nodiscard]] reservation* find(const reservation_key& key);
  reservation& add(const reservation_key& key, reservation made, time_ms due);
  void erase(const reservation_key& key) { reservations_.erase(key); }
  /// \brief Asks for the key to be handed out by `next_due` from `due` on.
  void schedule_check(const reservation_key& key, reservation& r, time_ms due);
  /// \returns a key that is due, or an empty one.
  [[nodiscard]] std::optional<reservation_key> next_due(time_ms now);
  [[nodiscard]] std::size_t size() const noexcept { return reservations_.size(); }

 private:
  struct due_key {
    time_ms due;
    reservation_key key;
  };

  absl::flat_hash_map<reservation_key, reservation> reservations_;
  // One queue a span of waiting, each ordered by time because spans are constant.
  std::deque<due_key> first_queue_;
  std::deque<due_key> second_queue_;
};

} // namespace sedgechute::ledger
