#pragma once

#include "ledger/impl/host_context.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace sedgechute::ledger {

enum class slice_state : std::uint8_t {
  live,
  ended,   ///< the log ended the epoch; open reservations may still settle
  closing, ///< no longer used; waits for its last report to be read back from the log
};

/// \brief A transfer to another holder that is not yet acknowledged.
struct pending_transfer {
  std::uint32_t sequence{};
  epoch_number to{};
  name_index to_host{no_name};
  token_count tokens{};
  time_ms sent_at;
};

/// \brief One epoch as its holder sees it; sums in tokens. `free()` is never negative.
struct slice {
  epoch_number epoch{};
  slice_state state{};
  witness_term term{};
  name_index witness{no_name};
  std::uint32_t version{};
  token_count granted{};
  token_count opened{};  ///< countersigned by the witness
  token_count opening{}; ///< requested from the witness, at least `opened`
  token_count received{};
  token_count sent{};
  token_count spent{};
  token_count reserved{};
  token_count returned{};
  token_count lost{};
  bool refused{};                     ///< the witness of this term refused to countersign more
  std::optional<record_id> replacing; ///< `replace_witness` record that was not read back yet
  time_ms open_sent;
  time_ms reported;   ///< when the newest report was made
  time_ms report_due; ///< when a change that must not wait for a regular report is reported
  std::vector<transfer_receipt> receipts; ///< receipts not yet read back from the log
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

/// \brief A token request of another holder that was not answered yet.
struct pending_token_request {
  name_index from{no_name};
  std::uint32_t round{};
  epoch_number to{};
  token_count tokens{};
  time_ms deadline;
};

/// \brief One round of token requests to all other holders of a team.
struct token_request_round {
  struct queried_holder {
    epoch_number epoch{};
    bool answered{};
  };
  std::uint32_t number{};
  time_ms started;
  time_ms sent;
  std::vector<queried_holder> holders;
  bool tokens_received{}; ///< a holder sent tokens, so another round may bring more

  [[nodiscard]] bool complete() const noexcept;
  void mark_answered(epoch_number epoch);
};

/// \brief Least amount that another holder has spent, by its own message. Sums only grow, so it
/// stays a valid lower bound.
struct peer_spend {
  epoch_number epoch{};
  token_count spent{};
};

/// \brief Recent requests from one data centre.
struct origin_count {
  name_index data_centre{no_name};
  std::uint32_t requests{};
};

/// \brief State that a holder keeps for one team.
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
  token_count largest_bound{}; ///< largest bound requested so far
  bool invited{};              ///< another holder asked this host to hold a slice
  token_request_round round;
  std::vector<peer_spend> peer_spends;

  token_count reserved_since_tick{};
  token_count spent_since_tick{};
  double reserved_rate{}; ///< tokens a second
  double spent_rate{};    ///< tokens a second
  double team_rate{};     ///< tokens a second that the whole fleet has reported as spent
  token_count team_spent{};
  time_ms rates_since;
  time_ms rates_at;
  std::vector<origin_count> origins;
  time_ms origins_since;

  [[nodiscard]] slice* live_slice() noexcept;
  [[nodiscard]] slice* find(epoch_number epoch) noexcept;
  /// \returns the slice, or null if it is closing and its sums are final.
  [[nodiscard]] slice* usable(epoch_number epoch) noexcept;
  [[nodiscard]] token_count reserved() const noexcept;
  [[nodiscard]] token_count waiting_tokens() const noexcept;
  [[nodiscard]] bool closing() const noexcept;
  [[nodiscard]] bool empty() const noexcept;
};

} // namespace sedgechute::ledger
