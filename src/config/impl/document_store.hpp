#pragma once

#include "config/impl/contract_set.hpp"
#include "config/impl/document_cut.hpp"
#include "config/impl/document_snapshot.hpp"
#include "config/impl/document_tail.hpp"
#include "config/impl/fleet_settings.hpp"
#include "config/impl/outcome_window.hpp"

#include <map>

namespace sedgechute {

using fleet_ptr = std::shared_ptr<const revised<fleet_settings>>;

/// \brief Tells the tokens of a team that are spent, reserved or granted at the place of the log
/// that is being replayed.
using committed_tokens = std::function<std::int64_t(const team_id&)>;

/// \brief What replaying a record did.
struct applied_document {
  publish_outcome outcome;
  bool repeated{false}; ///< the record id was seen before; nothing changed
  bool relayed{false};  ///< another host had passed it on before; nothing changed
  contract_ptr agreed;  ///< the contract that this record put in force, also if it was relayed
  fleet_ptr fleet;      ///< the settings that it put in force, also if it was relayed
};

enum class relay_result {
  applied,
  known,    ///< this host has it already
  gap,      ///< a record before it is missing: ask from `last_offset`, or restore a snapshot
  diverged, ///< it contradicts what this host replayed: report it, and restore from a checkpoint
};

template <>
struct enum_names<relay_result> {
  static constexpr auto entries = enum_table<relay_result>({{relay_result::applied, "applied"},
                                                            {relay_result::known, "known"},
                                                            {relay_result::gap, "gap"},
                                                            {relay_result::diverged, "diverged"}});
};

/// \brief The contracts and fleet settings in force, by replay of the log. The first valid record
/// that names the revision in force wins; its offset is the next revision. Not thread-safe.
class document_store {
 public:
  /// \param window records whose outcome is remembered; the same on every host of a fleet
  explicit document_store(std::size_t window = outcome_window_size) : outcomes_{window} {}

  /// \brief Replays the document record at `offset` of the log. Offsets must ascend.
  /// \throws error `internal` when the record was relayed so long ago that its outcome is gone
  applied_document apply(std::uint64_t offset, const document_record& record,
                         const committed_tokens& committed);

  /// \brief Takes a record that another host replayed, with that host's verdict: the budget
  /// checks need the ledger, which a host that is cut off from the log can't replay.
  relay_result accept(const relayed_document& relayed);

  /// \returns what would become of the record if it were the next one
  [[nodiscard]] publish_outcome preview(const document_record& record,
                                        const committed_tokens& committed) const;

  /// \returns the outcome of a record, or null when it is unknown or too long ago
  [[nodiscard]] const publish_outcome* outcome_of(std::string_view record_id) const;

  [[nodiscard]] contract_ptr contract_of(const team_id& team);
  /// \returns the contract whose bearer key this is, or null
  [[nodiscard]] contract_ptr authenticate(std::string_view bearer);
  /// \returns the fleet settings, or null before the first
  [[nodiscard]] const fleet_ptr& fleet() const noexcept { return fleet_; }
  [[nodiscard]] document_revision revision_of(document_kind kind, std::string_view name) const;
  /// \returns the document in force as JSON text in the order of its schema; empty when none
  [[nodiscard]] std::string body_of(document_kind kind, std::string_view name);
  [[nodiscard]] const contract_set& contracts() const noexcept { return contracts_; }

  [[nodiscard]] std::uint64_t last_offset() const noexcept { return last_offset_; }
  [[nodiscard]] std::uint64_t sequence() const noexcept { return sequence_; }
  [[nodiscard]] const document_tail& tail() const noexcept { return tail_; }
  /// \returns whether a document of a newer schema was published: this host then misses it, and
  /// must not be ready until its program is replaced
  [[nodiscard]] bool needs_newer_program() const noexcept { return unreadable_; }

  [[nodiscard]] document_snapshot snapshot() const;
  /// \brief Goes to a snapshot's state.
  /// \throws error `invalid_document` when it is damaged, or older than this store's own state
  void restore(const document_snapshot& snapshot);

  /// \brief Starts to read the present state in parts; records may be applied between them.
  [[nodiscard]] cut_number open_cut();
  /// \returns the next part of about `most` contracts or outcomes, or nothing after the last
  /// \throws error `internal` when the store was replaced since the cut
  [[nodiscard]] std::optional<document_snapshot> next_part(cut_number cut, std::size_t most);
  void close_cut(cut_number cut);

  /// \brief Fills an empty store by the parts of a cut, in their order.
  /// \throws error `invalid_document` when it is damaged
  void add_part(const document_snapshot& part);
  /// \brief Goes to the state of a store that was filled by parts.
  /// \throws error `invalid_document` when it is not whole, or older than this one
  void take_over(document_store filled);

  /// \returns a value that is equal on hosts that replayed the same records
  [[nodiscard]] std::uint64_t digest() const;

 private:
  struct judgement {
    publish_verdict verdict{publish_verdict::invalid};
    std::string reason;
    std::optional<contract> agreed;
    std::optional<fleet_settings> fleet;
  };

  [[nodiscard]] judgement judge(const document_record& record,
                                const committed_tokens& committed) const;
  void judge_contract(const document_record& record, const committed_tokens& committed,
                      judgement& result) const;
  void judge_fleet(const document_record& record, judgement& result) const;
  [[nodiscard]] std::optional<publish_outcome> earlier_outcome(const document_record& record) const;
  [[nodiscard]] std::uint64_t record_hash_of(document_kind kind, std::string_view name) const;
  [[nodiscard]] applied_document known(const document_record& record, std::uint64_t offset) const;
  applied_document enforce(std::uint64_t offset, const document_record& record, judgement result);
  void advance(std::uint64_t offset, const document_record& record, const publish_outcome& outcome,
               bool repeated);

  void keep_image(std::string_view team);
  void require_newer(std::uint64_t last_offset) const;

  contract_set contracts_;
  fleet_ptr fleet_;
  std::uint64_t fleet_record_hash_{0};
  outcome_window outcomes_;
  document_tail tail_;
  std::uint64_t last_offset_{0};
  std::uint64_t sequence_{0};
  bool unreadable_{false};
  std::map<cut_number, document_cut> cuts_;
  cut_number last_cut_{0};
  std::uint64_t stated_digest_{0}; ///< by the parts that filled this store
};

} // namespace sedgechute
