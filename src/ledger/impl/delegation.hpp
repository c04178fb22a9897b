#pragma once

#include "ledger/impl/units.hpp"

#include <algorithm>
#include <vector>

namespace sedgechute::ledger {

enum class delegation_state : std::uint8_t {
  live,
  reclaimed, ///< its witness sealed it; what was opened and not reported is written off
  abandoned, ///< holder and witness were lost; all that was not reported is written off
  closed,    ///< its holder ended it; what remains is in transfers that no receiver has reported
};

/// \brief One epoch as the log shows it.
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
  token_count opened{}; ///< least that the witness of this term has to count as countersigned
  token_count received{};
  token_count spent{};
  token_count returned{}; ///< given back by its holder, or released by an operator
  token_count lost{};
  token_count sent{};         ///< as reported by the sender, which counts only in its closing
  token_count moved{};        ///< of `sent`, reported by receivers
  token_count gone{};         ///< returned by reclaim or close
  std::uint32_t moved_upto{}; ///< every transfer up to this sequence number has been reported
  std::vector<std::uint32_t> moved_after; ///< those reported above `moved_upto`, sorted
  epoch_number next_of_team{};

  /// \returns tokens that are neither spent nor given back nor moved elsewhere.
  [[nodiscard]] token_count remainder() const noexcept {
    return granted + received - spent - returned - moved - gone;
  }
  [[nodiscard]] token_count written_off() const noexcept {
    // What a receiver reports to have moved was not lost, whatever the sender has reported yet.
    return state == delegation_state::live ? std::min(lost, remainder()) : remainder();
  }
  [[nodiscard]] token_count outstanding() const noexcept { return remainder() - written_off(); }

  /// \returns whether this transfer has been reported by its receiver.
  [[nodiscard]] bool has_moved(std::uint32_t sequence) const noexcept;
  void note_moved(std::uint32_t sequence);
};

/// \brief Sums of one team.
struct team_totals {
  token_count contract{}; ///< bought, as the contract says
  token_count spent{};
  token_count outstanding{}; ///< delegated and not known to be spent
  token_count written_off{};

  [[nodiscard]] token_count committed() const noexcept { return spent + outstanding + written_off; }
  /// \returns bought tokens; a reduced contract never takes back what is committed.
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
