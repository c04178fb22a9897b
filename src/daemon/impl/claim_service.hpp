#pragma once

#include "claims/claims.hpp"
#include "daemon/impl/peer_links.hpp"
#include "daemon/impl/record_appender.hpp"
#include "gateway/gateway.hpp"
#include "membership/membership.hpp"

#include <condition_variable>
#include <functional>
#include <optional>
#include <unordered_map>

namespace sedgechute {

/// \brief The host's part in idempotency keys behind one lock: retries wait here for a decision.
/// Thread-safe.
class claim_service final : public claim_port {
 public:
  /// \brief Finds where an endpoint serves; empty when it is not listed.
  using address_source = std::function<std::string(const endpoint_id&)>;

  claim_service(const incarnation& self, const data_centre_id& here, const claims_options& options,
                const clock& time, peer_links& peers, record_appender& log,
                address_source addresses);

  void on_record(std::uint64_t offset, const claims_record& record);
  void on_messages(const incarnation& from, const std::vector<claims_message>& messages);
  void on_view(const membership_view& view);
  void tick();
  void drain();
  [[nodiscard]] bool drained() const;
  [[nodiscard]] claims_snapshot snapshot() const;
  void restore(const claims_snapshot& snapshot);
  [[nodiscard]] claim_description describe(const team_id& team, const std::string& key);
  [[nodiscard]] claims_statistics statistics() const;

  [[nodiscard]] key_decision begin(const key_request& request) override;
  void dispatching(std::uint64_t ticket, const endpoint_id& endpoint) override;
  void resuming(std::uint64_t ticket, const endpoint_id& endpoint,
                std::uint32_t run_attempt) override;
  void answered(std::uint64_t ticket, const kept_answer& answer) override;
  [[nodiscard]] error_kind refused(std::uint64_t ticket, error_kind kind) override;
  void unknown(std::uint64_t ticket) override;
  [[nodiscard]] std::string mint() override;
  [[nodiscard]] key_status look_up(const team_id& team, const std::string& key) override;

 private:
  using decision_body = decltype(claim_decision::body);
  struct waiter {
    std::optional<decision_body> decision;
    std::condition_variable_any decided;
  };

  void publish();
  [[nodiscard]] decision_body wait_for(std::unique_lock<ordered_mutex>& lock, std::uint64_t ticket);
  [[nodiscard]] key_decision proceed(const key_request& request, std::uint64_t ticket,
                                     const proceed_decision& decision) const;

  incarnation self_;
  const clock& time_;
  peer_links& peers_;
  record_appender& log_;
  address_source addresses_;
  mutable ordered_mutex mutex_{lock_rank::claims};
  claim_host claims_;
  std::unordered_map<std::uint64_t, waiter*> waiting_;
};

} // namespace sedgechute
