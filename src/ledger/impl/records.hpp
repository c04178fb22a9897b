#pragma once

#include "ledger/impl/units.hpp"

#include <string>
#include <variant>
#include <vector>

namespace sedgechute::ledger {

/// \brief Delegates tokens of the pool to a holder; the offset of an applied grant is its epoch.
///
/// Takes `tokens` or the whole pool if that is less. Rejected if the pool is empty, the holder
/// already has a live epoch of the team, `extends` is not live, or `basis` is too old.
struct grant {
  team_id team;
  epoch_number extends{}; ///< live epoch to enlarge, 0 for a new one
  incarnation holder;
  incarnation witness; ///< no host for none: the holder may then use everything at once
  data_centre_id data_centre;
  token_count tokens{};
  token_count chunk{};
  log_offset basis{}; ///< offset up to which the writer had replayed
};

/// \brief Tokens that the reporting epoch received from the epoch `from`.
struct transfer_receipt {
  epoch_number from{};
  std::uint32_t sequence{};
  token_count tokens{};

  bool operator==(const transfer_receipt&) const = default;
};

/// \brief Sums of a holder's use of one epoch since its start. The highest version applies.
struct epoch_report {
  epoch_number epoch{};
  std::uint32_t version{};
  token_count spent{};
  token_count returned{};                 ///< opened tokens given back to the pool
  token_count lost{};                     ///< reserved for attempts whose entry host died
  token_count sent{};                     ///< transferred to other epochs
  bool closing{};                         ///< the holder uses this epoch no more
  std::vector<transfer_receipt> received; ///< receipts not yet read back from the log
};

/// \brief Reports of one host, in one append.
struct report {
  std::vector<epoch_report> epochs;
};

/// \brief A witness that has sealed the epoch returns the tokens that it never countersigned.
struct reclaim {
  epoch_number epoch{};
  witness_term term{};
  token_count opened{};
};

/// \brief Epochs sealed by one witness, in one append.
struct reclaim_batch {
  std::vector<reclaim> epochs;
};

/// \brief Ends an epoch whose holder and witness are both lost. Its tokens stay written off.
struct abandon {
  epoch_number epoch{};
};

/// \brief The holder appoints another witness; applied only if `term` is the current term.
struct replace_witness {
  epoch_number epoch{};
  witness_term term{};
  incarnation witness;
  token_count opened{}; ///< tokens countersigned by the earlier witnesses
};

/// \brief An operator's proof that written-off tokens were not used.
enum class release_proof {
  holder_destroyed, ///< the holder's host no longer exists and its usage is accounted for
  usage_statement,  ///< the endpoints' records show that the tokens were not used
  fencing,          ///< every endpoint has acknowledged a newer fencing number
};

/// \brief Returns written-off tokens to the pool. Rejected unless exactly `of` tokens are written
/// off at the record's offset, so that two operators cannot both release on one proof.
struct release {
  team_id team;
  epoch_number epoch{}; ///< 0 for tokens lost with entry hosts in epochs that are over
  token_count tokens{};
  token_count of{}; ///< tokens written off, as the operator saw them
  release_proof proof{};
  std::string statement; ///< who gives the proof and where it can be checked
  log_offset basis{};    ///< offset up to which the writer had replayed
};

using record_body = std::variant<grant, report, reclaim_batch, abandon, replace_witness, release>;

/// \brief A record of the ledger's log.
struct ledger_record {
  record_id id;
  record_body body;
};

/// \brief Result of replaying a record; the same in every replay of the log.
enum class record_verdict {
  applied,
  repeated,        ///< the id was seen within the window
  outdated,        ///< composed so long ago that the ids of its repeats may be forgotten
  unknown_epoch,   ///< the epoch is over or was never granted
  not_live,        ///< the epoch was reclaimed, abandoned or closed
  wrong_term,      ///< another witness has been appointed since
  wrong_holder,    ///< the epoch belongs to another incarnation
  already_holding, ///< the holder has a live epoch of this team
  pool_empty,
  out_of_range, ///< an amount that the epoch cannot have
  changed,      ///< the state differs from what the writer saw
};

} // namespace sedgechute::ledger

template <>
struct sedgechute::enum_names<sedgechute::ledger::release_proof> {
  using enum sedgechute::ledger::release_proof;
  static constexpr auto entries =
      enum_table<sedgechute::ledger::release_proof>({{holder_destroyed, "holder_destroyed"},
                                                     {usage_statement, "usage_statement"},
                                                     {fencing, "fencing"}});
};

template <>
struct sedgechute::enum_names<sedgechute::ledger::record_verdict> {
  using enum sedgechute::ledger::record_verdict;
  static constexpr auto entries =
      enum_table<sedgechute::ledger::record_verdict>({{applied, "applied"},
                                                      {repeated, "repeated"},
                                                      {outdated, "outdated"},
                                                      {unknown_epoch, "unknown_epoch"},
                                                      {not_live, "not_live"},
                                                      {wrong_term, "wrong_term"},
                                                      {wrong_holder, "wrong_holder"},
                                                      {already_holding, "already_holding"},
                                                      {pool_empty, "pool_empty"},
                                                      {out_of_range, "out_of_range"},
                                                      {changed, "changed"}});
};
