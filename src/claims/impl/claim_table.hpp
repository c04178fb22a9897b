#pragma once

#include "claims/impl/claim_rules.hpp"
#include "claims/impl/packed_claim.hpp"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief A state of a claim that the witness has not yet accepted.
struct proposed_claim {
  claim next;
  std::uint64_t serial{};
};

/// \brief The claims of one shard. States of a claim are ordered by attempt, then by progress, so
/// that merging them gives the same result in any order.
class claim_table {
 public:
  /// \brief Returns whether a claim may be removed.
  using expiry_predicate = std::function<bool(const stored_key&, const packed_claim&)>;

  explicit claim_table(claim_pool& pool) : pool_{&pool} {}
  claim_table(const claim_table&) = delete;
  claim_table& operator=(const claim_table&) = delete;
  ~claim_table();

  /// \returns the stored states of the claim, or nothing if there are none
  [[nodiscard]] std::optional<stored_claim> find(const claim_id& id) const;
  /// \brief Stores a countersigned state unless a later one is stored.
  /// \returns whether the stored state is now `subject`
  bool merge(time_ms now, const claim& subject);
  /// \brief Merges a claim of an earlier epoch that was unknown when this table was created.
  void merge_recovered(time_ms now, const claim& subject);
  /// \brief Marks all claims because later attempts may have been granted that this table lacks.
  void assume_all_may_have_run();
  /// \returns all claims; their keys are in the form written by `text_of`, since texts are not
  /// stored
  [[nodiscard]] std::vector<claim> committed() const;

  /// \param serial  number of the proposal, unique on this host
  void propose(time_ms now, const claim& next, std::uint64_t serial);
  void withdraw(const claim_id& id);
  void withdraw_all();
  /// \returns the proposal, or null if it was withdrawn or replaced by a later one
  [[nodiscard]] const claim* proposed(std::uint64_t serial) const;
  /// \returns the proposals that were proposed or last returned at least `interval` ago
  [[nodiscard]] std::vector<proposed_claim> due_proposals(time_ms now, time_ms interval);

  /// \brief Checks the next `1 / parts` of the table and removes its expired claims.
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
  claims claims_; ///< a key may occur once per team
  std::map<claim_id, proposal> proposals_;
  std::unordered_map<std::uint64_t, claim_id> proposal_ids_; ///< by serial
  std::size_t next_bucket_{0};
};

} // namespace sedgechute
