#pragma once

#include "ledger/impl/units.hpp"

#include <algorithm>
#include <vector>

namespace sedgechute::ledger {

enum class delegation_state : std::uint8_t {
  live,
  reclaimed, ///< sealed by its witness; tokens opened and not reported are written off
  abandoned, ///< holder and witness were lost; all tokens not reported are written off
  closed,    ///< ended by its holder; the remainder is in transfers that no receiver has reported
};

/// \brief One epoch as recorded in the log.
struct delegation {
  epoch_number epoch{};
  name_index team{no_name};
  name_index holder{no_name};
  name_index witness{no_name}; ///< `no_name` for none
  name_index data_centre{no_name};
  delegation_state state{};
  bool reclaim_applied{};
  witness_term term{};
  std::uint32_t version{}; ///< of the newest report applied
  token_count granted{};
  token_count opened{}; ///< lower bound of the countersigned tokens, for this term's witness
  token_count received{};
  token_count spent{};
  token_count returned{}; ///< returned by its holder or released by an operator
  token_count lost{};
  token_count sent{};         ///< as reported by the sender; used only in its closing report
  token_count moved{};        ///< part of `sent` that receivers have reported
  token_count gone{};         ///< returned to the pool by a reclaim or the closing report
  std::uint32_t moved_upto{}; ///< every transfer up to this sequence number has been reported
  std::vector<std::uint32_t> moved_after; ///< reported transfers above `moved_upto`, sorted
  epoch_number next_of_team{};

  /// \returns the tokens that are neither spent nor returned nor moved to other epochs.
  [[nodiscard]] token_count remainder() const noexcept {
    return granted + received - spent - returned - moved - gone;
  }
  [[nodiscard]] token_count written_off() const noexcept {
    // A transfer that its receiver reports was not lost, even if the sender's last report says so.
    return state == delegation_state::live ? std::min(lost, remainder()) : remainder();
  }
  [[nodiscard]] token_count outstanding() const noexcept { return remainder() - written_off(); }

  /// \returns whether this transfer has been reported by its receiver.
  [[nodiscard]] bool has_moved(std::uint32_t sequence) const noexcept;
  void note_moved(std::uint32_t sequence);
};

/// \brief Sums of one team.
struct team_totals {
  token_count contract{}; ///< tokens bought by the current contract
  token_count spent{};
  token_count outstanding{}; ///< delegated and not reported as spent
  token_count written_off{};

  [[nodiscard]] token_count committed() const noexcept { return spent + outstanding + written_off; }
  /// \returns the bought tokens, at least `committed()`: a reduced contract takes no committed
  /// tokens back.
  [[nodiscard]] token_count bought() const noexcept {
    return contract > committed() ? contract : committed();
  }
  [[nodiscard]] token_count pool() const noexcept { return bought() - committed(); }
  [[nodiscard]] bool overcommitted() const noexcept { return contract < committed(); }
};

} // namespace sedgechute::ledger

template <>
struct sedgechute::enum_names<sedgechute::ledger::delegation_state> {
  using enum sedgechute::ledger::delegation_state;
  static constexpr auto entries = enum_table<sedgechute::ledger::delegation_state>(
      {{live, "live"}, {reclaimed, "reclaimed"}, {abandoned, "abandoned"}, {closed, "closed"}});
};
