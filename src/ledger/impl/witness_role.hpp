#pragma once

#include "ledger/impl/host_context.hpp"

#include <absl/container/btree_map.h>

#include <optional>

namespace sedgechute::ledger {

/// \brief Tokens of one epoch that a witness has countersigned in its term.
struct countersigned_amount {
  witness_term term{};
  token_count opened{};
};

/// \brief Countersigns the use of other hosts' epochs and seals those whose holder is lost.
class witness_role {
 public:
  explicit witness_role(host_context& context) noexcept : context_{context} {}

  void on_open(name_index from, const open_chunk& message);
  /// \brief Starts or stops watching epochs after the team's delegations changed.
  void sync(name_index team);
  /// \brief Seals the epochs whose holder is not live.
  void tick(time_ms now);

  [[nodiscard]] std::optional<countersigned_amount> countersigned(epoch_number epoch) const;
  [[nodiscard]] std::size_t watched() const noexcept { return epochs_.size(); }

 private:
  struct watched_epoch {
    witness_term term{};
    token_count opened{};
    bool sealed{};
  };

  [[nodiscard]] bool may_countersign(const open_chunk& message) const;
  void start_watching(const delegation& d);

  host_context& context_;
  // Ordered so that runs are reproducible: hash tables iterate in another order in each process.
  absl::btree_map<epoch_number, watched_epoch> epochs_;
};

} // namespace sedgechute::ledger
