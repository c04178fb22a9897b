#pragma once

#include "daemon/impl/load_poller.hpp"
#include "daemon/impl/peer_server.hpp"
#include "daemon/impl/replicated_state.hpp"
#include "daemon/impl/share_exchange.hpp"
#include "telemetry/telemetry.hpp"

#include <atomic>

namespace sedgechute {

/// \brief Hands what other hosts send to the part of this host that it is for.
class host_listener final : public peer_listener {
 public:
  struct parts {
    budget_service& budgets;
    claim_service& claims;
    share_exchange& shares;
    load_poller& loads;
    record_appender& log;
    replicated_state& state;
    answer_table& answers;
    burn_tracker& burn;
    structured_log& lines;
    metrics& numbers;
  };

  host_listener(incarnation self, const parts& to) : self_{std::move(self)}, to_{to} {}

  void on_envelope(const wire::envelope& message) override;
  void on_impostor(const std::string& claimed) override;
  [[nodiscard]] wire::records_reply records_after(std::uint64_t after, std::size_t most) override;
  [[nodiscard]] bool state(const std::function<bool(std::string)>& send) override;
  [[nodiscard]] wire::burn_reply burn() override;
  [[nodiscard]] std::shared_ptr<answer_record> answer(const team_id& team,
                                                      const std::string& key) override;

 private:
  void hand_over(const wire::envelope& message, const incarnation& from);

  incarnation self_;
  parts to_;
  std::atomic<int> sending_state_{0};
};

} // namespace sedgechute
