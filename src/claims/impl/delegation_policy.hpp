#pragma once

#include "claims/impl/shard_server.hpp"

#include <map>
#include <optional>

namespace sedgechute {

/// \brief Proposes holders and witnesses of shards as log records. A proposal takes effect when it
/// is read back from the log, where only the first record that replaces the current epoch is valid.
class delegation_policy {
 public:
  delegation_policy(incarnation self, data_centre_id data_centre, const claims_options& options,
                    const shard_map& shards, host_list& hosts, shard_server& server,
                    std::uint64_t seed, std::vector<claims_record>& records);

  void tick(time_ms now);
  void drain() noexcept { draining_ = true; }
  /// \returns whether this host holds and witnesses no shard, or is the only host
  [[nodiscard]] bool drained() const;

 private:
  using record_body = std::variant<claim_delegation, claim_rotation>;
  struct proposal {
    claims_record record;
    time_ms next_append;
  };
  struct seen_number {
    std::uint64_t number{};
    time_ms since; ///< local time at which it was first seen
  };
  struct load {
    std::size_t holds{};
    std::size_t witnesses{};
    [[nodiscard]] std::size_t sum() const noexcept { return holds + witnesses; }
  };

  void evaluate_unassigned(time_ms now, const claim_shard& shard);
  void evaluate_shard(time_ms now, const shard_status& status);
  void evaluate_as_holder(time_ms now, const shard_status& status);
  void evaluate_as_witness(time_ms now, const shard_status& status);
  void evaluate_lost(time_ms now, const shard_status& status);
  void rotate_if_due(time_ms now, const shard_status& status);
  [[nodiscard]] bool both_ended(time_ms now, const shard_status& status) const;
  [[nodiscard]] time_ms epoch_age(time_ms now, const shard_status& status);
  void balance(time_ms now);
  bool hand_over(time_ms now, const shard_status& status);
  void propose(time_ms now, const claim_shard& shard, const record_body& wanted);
  [[nodiscard]] record_body reuse_witness(const proposal& earlier, const record_body& wanted) const;
  [[nodiscard]] incarnation pick_witness(const claim_shard& shard, const incarnation& holder);
  /// \returns a host with at least three roles fewer than `than`, with an empty name if there is
  /// none
  [[nodiscard]] incarnation less_loaded_witness(std::size_t than);
  [[nodiscard]] std::vector<const live_host*> possible_witnesses(const incarnation& holder) const;
  [[nodiscard]] bool is_initiator(const claim_shard& shard, const data_centre_id& among) const;
  [[nodiscard]] bool is_missing(time_ms now, const incarnation& who, time_ms wait);
  [[nodiscard]] bool is_usable(const incarnation& who) const;
  [[nodiscard]] load load_of(const incarnation& who);

  incarnation self_;
  data_centre_id data_centre_;
  claims_options options_;
  const shard_map* shards_;
  host_list* hosts_;
  shard_server* shard_server_;
  random_source random_;
  std::vector<claims_record>* records_;
  std::vector<claim_shard> creatable_shards_; ///< shards that a host of this data centre may create
  std::map<claim_shard, proposal> proposals_;
  std::map<incarnation, load> loads_; ///< of this tick, computed on first use
  std::map<claim_shard, seen_number> marks_;
  std::map<claim_shard, seen_number> epochs_;
  std::optional<time_ms> first_evaluation_;
  time_ms next_evaluation_;
  time_ms next_balance_;
  bool draining_{false};
};

} // namespace sedgechute
