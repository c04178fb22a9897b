#pragma once

#include "ledger/impl/host_context.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace sedgechute::ledger {

enum class slice_state : std::uint8_t {
  live,
  ended,   ///< the log ended the epoch; open reservations may still settle
  closing, ///< nothing of it is used again; waits for its last report in the log
};

/// \brief A transfer to another holder that was not yet acknowledged.
struct pending_transfer {
  std::uint32_t sequence{};
  epoch_number to{};
  name_index to_host{no_name};
  token_count tokens{};
  time_ms sent_at;
};

/// \brief One epoch as its holder sees it. `free()` is never negative.
struct slice {
  epoch_number epoch{};
  slice_state state{};
  witness_term term{};
  name_index witness{no_name};
  std::uint32_t version{};
  token_count granted{};
  token_count opened{};  ///< countersigned
  token_count opening{}; ///< asked of the witness, at least `opened`
  token_count received{};
  token_count sent{};
  token_count spent{};
  token_count reserved{};
  token_count returned{};
  token_count lost{};
  bool refused{};                     ///< by the witness of this term
  std::optional<record_id> replacing; ///< a replacement of the witness is on its way
  time_ms open_sent;
  time_ms reported;   ///< when the newest report was made
  time_ms report_due; ///< of a change that should not wait for the next regular report
  std::vector<transfer_receipt> receipts; ///< not yet in the log
  std::vector<pending_transfer> transfers;
  std::uint32_t next_transfer{};

  [[nodiscard]] token_count free() const noexcept {
    return opened + received - sent - spent - reserved - returned - lost;
  }
  [[nodiscard]] token_count unopened() const noexcept { return granted - opened; }
};

/// \brief A reservation that waits for tokens.
struct waiting_attempt {
  attempt_id attempt;
  request_id key;
  token_count bound{};
  time_ms since;
  time_ms deadline;
};

/// \brief Another holder that wants tokens.
struct pending_token_request {
  name_index from{no_name};
  std::uint32_t round{};
  epoch_number to{};
  token_count tokens{};
  time_ms deadline;
};

/// \brief One round of asking every other holder of a team for tokens.
struct token_request_round {
  struct queried_holder {
    epoch_number epoch{};
    bool answered{};
  };
  std::uint32_t number{};
  time_ms started;
  time_ms sent;
  std::vector<queried_holder> holders;
  bool tokens_received{}; ///< someone sent tokens, so asking again may bring more

  [[nodiscard]] bool complete() const noexcept;
  void mark_answered(epoch_number epoch);
};

/// \brief What another holder said it has spent; sums only grow, so it never becomes untrue.
struct peer_spend {
  epoch_number epoch{};
  token_count spent{};
};

/// \brief Requests that came from one data centre lately.
struct origin_count {
  name_index data_centre{no_name};
  std::uint32_t requests{};
};

/// \brief All that a holder keeps of one team.
struct account {
  name_index team{no_name};
  std::uint64_t team_hash{};
  std::vector<slice> slices; ///< at most one live
  std::deque<waiting_attempt> waiting;
  std::vector<pending_token_request> token_requests;
  std::optional<record_id> grant_sent;
  log_offset grant_basis{};
  time_ms grant_sent_at;
  time_ms last_used;
  token_count largest_bound{}; ///< asked for so far
  bool invited{};              ///< asked to hold a slice
  token_request_round round;
  std::vector<peer_spend> peer_spends;

  token_count reserved_since_tick{};
  token_count spent_since_tick{};
  double reserved_rate{}; ///< tokens a second
  double spent_rate{};    ///< tokens a second
  double team_rate{};     ///< tokens a second in the whole fleet, as far as reported
  token_count team_spent{};
  time_ms rates_since;
  time_ms rates_at;
  std::vector<origin_count> origins;
  time_ms origins_since;

  [[nodiscard]] slice* live_slice() noexcept;
  [[nodiscard]] slice* find(epoch_number epoch) noexcept;
  /// \returns the slice, or null once its last report has been made: its sums are then final.
  [[nodiscard]] slice* usable(epoch_number epoch) noexcept;
  [[nodiscard]] token_count reserved() const noexcept;
  [[nodiscard]] token_count waiting_tokens() const noexcept;
  [[nodiscard]] bool closing() const noexcept;
  [[nodiscard]] bool empty() const noexcept;
};

} // namespace sedgechute::ledger
