#pragma once

#include "clients/clients.hpp"
#include "daemon/impl/dispatch_service.hpp"
#include "daemon/impl/document_service.hpp"
#include "daemon/impl/record_appender.hpp"
#include "membership/membership.hpp"
#include "telemetry/telemetry.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief What an operator is told of a pool's orders.
struct pool_orders {
  std::optional<pool_decider> decider;
  std::vector<order_record> records; ///< given by this host, oldest first
  std::vector<std::string> withheld; ///< wanted, but not ordered by this host, and why
};

/// \brief Gives orders to engines for the pools that this host decides about. Thread-safe.
///
/// One host decides about a pool: the one whose claim was first in the log. It compares what the
/// engines report with the fleet settings and orders the difference, under the offset of its claim
/// as fencing number.
class order_service {
 public:
  order_service(incarnation self, dispatch_service& dispatch, const document_service& documents,
                record_appender& log, std::unique_ptr<weight_store_client> weights,
                const clock& time, metrics& figures, decision_events& events);

  void on_view(const membership_view& view);
  /// \brief Replays a claim.
  void on_claim(std::uint64_t offset, const pool_claim& claim);
  [[nodiscard]] std::vector<decided_pool> snapshot() const;
  void restore(const std::vector<decided_pool>& decided);

  /// \brief Claims pools whose decider is gone, and plans and sends orders for those of this host.
  /// To be called about once a second by one thread; it waits for engines.
  void tick();

  [[nodiscard]] pool_orders describe(const pool_id& pool) const;

 private:
  struct pool_state {
    order_planner planner;
    model_demand demand;
    std::uint64_t fenced{};                 ///< epoch that an engine refused as too old
    std::optional<time_ms> without_decider; ///< since when
    std::optional<time_ms> claimed;         ///< last claim appended
    std::deque<time_ms> takeovers;          ///< of late, as this host read them
    std::set<std::string> withheld;         ///< at the last round
    std::set<std::uint64_t> granted;        ///< loads that the weight store has let through
  };

  void claim_when_due(const pool_id& pool);
  [[nodiscard]] static time_ms patience(pool_state& state, time_ms now);
  [[nodiscard]] std::vector<engine_order> plan(const pool_settings& pool,
                                               const std::vector<reported_engine>& engines);
  void count_withheld(const pool_id& pool, pool_state& state);
  void give(const pool_id& pool, const engine_order& order, const std::string& address);
  [[nodiscard]] bool store_allows(const pool_id& pool, const engine_order& order);
  void note_answer(const pool_id& pool, const engine_order& order, order_answer answer);
  void record(decision_kind kind, const engine_order& order, const std::string& reason);

  incarnation self_;
  dispatch_service& dispatch_;
  const document_service& documents_;
  record_appender& log_;
  std::unique_ptr<weight_store_client> weights_;
  const clock& time_;
  metrics& metrics_;
  decision_events& events_;
  mutable ordered_mutex mutex_{lock_rank::membership};
  std::vector<incarnation> live_;
  pool_claims claims_;
  std::map<pool_id, pool_state> pools_;
};

} // namespace sedgechute
