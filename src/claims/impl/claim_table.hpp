#pragma once

#include "claims/impl/claims_message.hpp"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief A claim as stored by a holder or witness.
struct stored_claim {
  std::optional<claim> committed; ///< countersigned
  std::optional<claim> proposed;  ///< waits for the witness
  time_ms touched;                ///< local time of the last change
  time_ms asked;                  ///< when the witness was last asked
};

/// \brief Counts over all tables of a host.
struct claim_counts {
  std::size_t total{0};
  std::unordered_map<team_id, std::size_t> by_team;
};

/// \brief The claims of one shard. Copies of a claim are ordered by attempt, then by progress, so
/// holder, witness and late messages merge to the same state in any order.
class claim_table {
 public:
  explicit claim_table(claim_counts& counts) : counts_{&counts} {}
  claim_table(const claim_table&) = delete;
  claim_table& operator=(const claim_table&) = delete;
  ~claim_table();

  [[nodiscard]] stored_claim* find(const claim_id& id);
  [[nodiscard]] stored_claim& insert(const claim_id& id);
  /// \brief Takes in a countersigned state unless a later one is known.
  /// \returns whether the stored state is now `subject`
  bool merge(time_ms now, const claim& subject);
  /// \brief Takes in a claim of an earlier epoch that this table began without. Both may have
  /// counted attempts on their own, so the one that is dropped still counts as a run that may have
  /// been.
  void merge_regained(time_ms now, const claim& subject);

  [[nodiscard]] std::vector<claim> committed() const;
  [[nodiscard]] std::size_t size() const noexcept { return claims_.size(); }
  /// \brief Calls `visit` for each claim that waits for the witness.
  void for_each_proposed(const std::function<void(stored_claim&)>& visit);
  void drop_proposals();
  void erase_if(const std::function<bool(const stored_claim&)>& is_over);

 private:
  claim_counts* counts_;
  std::unordered_map<claim_id, stored_claim, claim_id_hash> claims_;
};

/// \returns whether `a` is a later state of the claim than `b`; a total order, so that copies
/// converge
[[nodiscard]] bool is_later(const claim& a, const claim& b);

/// \brief What the holder can know of a key before it decides.
struct decision_basis {
  const stored_claim* stored{}; ///< null if the key is not stored
  bool may_be_lost{};           ///< may have been claimed under a lost epoch
  bool expired{};               ///< a minted key older than what is kept
  bool full{};                  ///< no room for another claim
  std::function<bool(const incarnation&)> is_live;
};

/// \brief The verdict on a request, or nothing while the state of the key is about to change.
[[nodiscard]] std::optional<claim_verdict> decide(const claim_request& request,
                                                  const decision_basis& basis);

enum class report_action {
  propose,     ///< have the witness store `next`
  acknowledge, ///< nothing to change
  wait,        ///< another change is under way; the report will be repeated
};

/// \brief What follows from a report of an entry host.
struct report_step {
  report_action action{report_action::wait};
  claim next;
  bool current{}; ///< no later attempt was granted
};

/// \param subject  the attempt as its entry host tells it; attempt 0 gives up a ticket
/// \param stored  what is known under the key, or null
[[nodiscard]] report_step judge_report(const claim& subject, const stored_claim* stored);

/// \returns the claim to propose for a granted request
[[nodiscard]] claim next_attempt(const claim_request& request, const stored_claim* stored);

} // namespace sedgechute
