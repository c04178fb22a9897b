#pragma once

#include "ledger/impl/delegation.hpp"
#include "ledger/impl/ledger_cut.hpp"
#include "ledger/impl/ledger_snapshot.hpp"
#include "ledger/impl/name_table.hpp"
#include "ledger/impl/options.hpp"
#include "ledger/impl/records.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace sedgechute::ledger {

/// \brief Deterministic replay of the ledger's records. Every host that has replayed the log up to
/// the same offset has the same state, and so the same `digest()`.
///
/// Invariant for each team after each record: pool + outstanding + spent + written off = bought,
/// none of them negative.
class ledger_state {
 public:
  explicit ledger_state(const ledger_options& options);

  /// \brief Sets the tokens that the team has bought, 0 for a cancelled contract. Committed tokens
  /// are never taken back: a smaller contract is reached as tokens return to the pool.
  void on_contract(log_offset offset, const team_id& team, token_count bought);

  /// \brief Applies a record; offsets ascend. A record at or below `offset()` is ignored.
  /// \returns the verdict; for a batch, that of its first rejected item, else `applied`
  record_verdict on_record(log_offset offset, const ledger_record& record);

  /// \returns the teams that the last contract or record may have changed.
  [[nodiscard]] std::span<const name_index> touched() const noexcept { return touched_; }

  [[nodiscard]] log_offset offset() const noexcept { return offset_; }
  /// \returns the ids of grants and releases within the repeat window, oldest first.
  [[nodiscard]] const std::deque<ledger_snapshot::recent_id>& recent() const noexcept {
    return recent_;
  }
  [[nodiscard]] std::size_t team_count() const noexcept { return teams_.size(); }
  /// \returns the written-off tokens of all teams. Takes time linear in the number of teams.
  [[nodiscard]] token_count written_off() const noexcept;
  [[nodiscard]] std::size_t delegation_count() const noexcept { return delegations_.size(); }

  /// \returns the index of a known team, else `no_name`.
  [[nodiscard]] name_index find_team(const team_id& team) const;
  /// \returns the team's index; a new team has bought 0 tokens.
  name_index intern_team(const team_id& team);
  [[nodiscard]] team_id team_name(name_index team) const;
  [[nodiscard]] team_totals totals(name_index team) const;
  /// \returns tokens lost with entry hosts in epochs that are over.
  [[nodiscard]] token_count orphaned(name_index team) const;

  /// \returns the epoch, or null once it is over. Valid until the next record.
  [[nodiscard]] const delegation* find(epoch_number epoch) const;
  /// \brief Calls `visit(const delegation&)` for each epoch of the team, newest first.
  template <typename Visit>
  void for_each_of(name_index team, Visit&& visit) const {
    for (epoch_number epoch = teams_[team].first_epoch; epoch != 0;) {
      const delegation& d = delegations_.at(epoch);
      epoch = d.next_of_team;
      visit(d);
    }
  }
  /// \brief Calls `visit(const delegation&)` for each epoch, in no stated order.
  template <typename Visit>
  void for_each(Visit&& visit) const {
    for (const auto& [epoch, d] : delegations_)
      visit(d);
  }

  name_index intern_host(const incarnation& host);
  [[nodiscard]] std::size_t host_count() const noexcept { return hosts_.size(); }
  [[nodiscard]] const incarnation& host(name_index index) const { return hosts_[index]; }
  name_index intern_data_centre(const data_centre_id& data_centre);
  [[nodiscard]] data_centre_id data_centre(name_index index) const;

  /// \returns a hash of all state that the verdicts on later records depend on.
  [[nodiscard]] std::uint64_t digest() const;
  [[nodiscard]] ledger_snapshot snapshot() const;
  /// \brief Replaces the state.
  /// \throws error of kind `invalid_document` if the snapshot contradicts itself; the state is
  /// then invalid until another snapshot is restored
  void restore(const ledger_snapshot& snapshot);

  /// \brief Starts to read the current state in parts; records may be applied between them.
  [[nodiscard]] cut_number open_cut();
  /// \returns the next part of at most `most_teams` teams, or nothing after the last. The last part
  /// has the digest of the whole state; only the first has the remembered ids.
  [[nodiscard]] std::optional<ledger_snapshot> next_part(cut_number cut, std::size_t most_teams);
  void close_cut(cut_number cut);

  /// \brief Starts to replace the state part by part. Each part replaces its teams at once. Until
  /// `finish_restore` no record may be applied and `offset()` does not change.
  void begin_restore();
  /// \brief Replaces the teams of one part.
  /// \returns the teams that were replaced
  /// \throws error of kind `invalid_document` if the part contradicts itself
  std::vector<name_index> restore_part(const ledger_snapshot& part);
  /// \brief Removes the teams that no part contained and sets `offset()`.
  /// \throws error of kind `invalid_document` if the restored state does not have the digest of the
  /// last part
  void finish_restore();

 private:
  struct team_row {
    token_count contract{};
    token_count spent{};
    token_count outstanding{};
    token_count written_off{};
    token_count orphaned{};
    epoch_number first_epoch{};
  };

  record_verdict apply(log_offset offset, const record_id& id, const grant& body);
  record_verdict apply(log_offset offset, const record_id& id, const report& body);
  record_verdict apply(log_offset offset, const record_id& id, const reclaim_batch& body);
  record_verdict apply(log_offset offset, const record_id& id, const abandon& body);
  record_verdict apply(log_offset offset, const record_id& id, const replace_witness& body);
  record_verdict apply(log_offset offset, const record_id& id, const release& body);

  record_verdict create_epoch(log_offset offset, const grant& body, name_index team);
  record_verdict extend_epoch(const grant& body, name_index team);
  record_verdict apply_report(const epoch_report& item);
  record_verdict apply_reclaim(const reclaim& item);
  void apply_receipts(delegation& to, const epoch_report& item);
  void close(delegation& d, const epoch_report& item);
  record_verdict release_orphaned(name_index team, const release& body);

  [[nodiscard]] std::uint64_t row_digest(const ledger_snapshot::team_row& row,
                                         std::span<const delegation> delegations) const;
  [[nodiscard]] std::uint64_t epoch_digest(const delegation& d) const;
  [[nodiscard]] ledger_cut::team_image image_of(name_index team) const;
  [[nodiscard]] std::vector<name_index> teams_of(const ledger_record& record) const;
  void save_image(name_index team);
  void clear_team(name_index team);
  void add_delegation(const delegation& given, const std::vector<name_index>& teams,
                      const std::vector<name_index>& hosts,
                      const std::vector<name_index>& data_centres);

  [[nodiscard]] delegation* find_mutable(epoch_number epoch);
  void subtract_from_totals(const delegation& d);
  void add_to_totals(const delegation& d);
  void erase_if_finished(epoch_number epoch);
  void touch(name_index team);

  [[nodiscard]] bool remember_id(log_offset offset, const record_id& id);
  void forget_old_ids(log_offset offset);

  log_offset repeat_window_;
  mutation fault_;
  log_offset offset_{0};
  name_table team_names_;
  std::deque<team_row> teams_;
  absl::flat_hash_map<epoch_number, delegation> delegations_;
  std::deque<incarnation> hosts_;
  absl::flat_hash_map<incarnation, name_index> host_indices_;
  name_table data_centres_;
  std::deque<ledger_snapshot::recent_id> recent_;
  absl::flat_hash_set<record_id> recent_ids_;
  std::vector<name_index> touched_;
  std::map<cut_number, ledger_cut> cuts_;
  cut_number last_cut_{0};
  std::optional<restore_progress> restoring_;
};

} // namespace sedgechute::ledger
