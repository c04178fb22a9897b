#pragma once

#include "claims/impl/claim_rules.hpp"
#include "claims/impl/packed_claim.hpp"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief A state of a claim that waits for the witness.
struct proposed_claim {
  claim next;
  std::uint64_t serial{};
};

/// \brief The claims of one shard. Copies of a claim are ordered by attempt, then by progress, so
/// holder, witness and late messages merge to the same state in any order.
class claim_table {
 public:
  /// \brief Decides whether a claim may be forgotten.
  using expiry_predicate = std::function<bool(const stored_key&, const packed_claim&)>;

  explicit claim_table(claim_pool& pool) : pool_{&pool} {}
  claim_table(const claim_table&) = delete;
  claim_table& operator=(const claim_table&) = delete;
  ~claim_table();

  /// \returns what is known under the key, nothing if the key is not stored
  [[nodiscard]] std::optional<stored_claim> find(const claim_id& id) const;
  /// \brief Takes in a countersigned state unless a later one is known.
  /// \returns whether the stored state is now `subject`
  bool merge(time_ms now, const claim& subject);
  /// \brief Takes in a claim of an earlier epoch that this table began without.
  void merge_recovered(time_ms now, const claim& subject);
  /// \brief Later attempts may have been granted that this table doesn't know.
  void assume_all_may_have_run();
  /// \returns all claims, their keys as `text_of` writes them: the texts are not stored
  [[nodiscard]] std::vector<claim> committed() const;

  /// \param serial  a number that this host has given to no other proposal
  void propose(time_ms now, const claim& next, std::uint64_t serial);
  void withdraw(const claim_id& id);
  void withdraw_all();
  /// \returns the proposal, or null if it was withdrawn or replaced by a later one
  [[nodiscard]] const claim* proposed(std::uint64_t serial) const;
  /// \returns the proposals last returned at least `interval` ago
  [[nodiscard]] std::vector<proposed_claim> due_proposals(time_ms now, time_ms interval);

  /// \brief Looks at the next `1 / parts` of the table and forgets what is over.
  void sweep(std::size_t parts, const expiry_predicate& over);

 private:
  struct proposal {
    proposed_claim wanted;
    time_ms asked;
  };
  using claims = std::unordered_multimap<stored_key, packed_claim, stored_key_hash>;

  [[nodiscard]] claims::const_iterator locate(const claim_id& id) const;
  [[nodiscard]] bool is_proposed(const stored_key& key) const;
  void store(time_ms now, const claim& subject);
  void erase(claims::const_iterator place);

  claim_pool* pool_;
  claims claims_; ///< of all teams that use the key
  std::map<claim_id, proposal> proposals_;
  std::unordered_map<std::uint64_t, claim_id> proposal_ids_; ///< by serial
  std::size_t next_bucket_{0};
};

} // namespace sedgechute
