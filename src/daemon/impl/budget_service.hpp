#pragma once

#include "daemon/impl/peer_links.hpp"
#include "daemon/impl/record_appender.hpp"
#include "gateway/gateway.hpp"
#include "ledger/ledger.hpp"
#include "membership/membership.hpp"

#include <condition_variable>
#include <optional>
#include <unordered_map>

namespace sedgechute {

/// \brief The ledger's part of this host behind one lock: callers' requests wait here for their
/// tokens. Thread-safe.
class budget_service final : public budget_port {
 public:
  budget_service(const incarnation& self, const data_centre_id& here,
                 const ledger::ledger_options& options, const clock& time, peer_links& peers,
                 record_appender& log);

  void on_contract(std::uint64_t offset, const team_id& team, std::int64_t bought);
  void on_record(std::uint64_t offset, const ledger::ledger_record& record);
  void on_message(const incarnation& from, const incarnation& to,
                  const ledger::ledger_message& message);
  void on_view(const membership_view& view);
  void tick();

  void drain();
  [[nodiscard]] bool drained() const;

  /// \returns tokens of the team that are spent, delegated or written off.
  [[nodiscard]] std::int64_t committed(const team_id& team) const;
  /// \returns tokens of all teams that are written off.
  [[nodiscard]] std::int64_t written_off() const;
  [[nodiscard]] std::optional<ledger::budget_description> describe(const team_id& team) const;
  void release_written_off(const team_id& team, std::uint64_t epoch, std::int64_t tokens,
                           ledger::release_proof proof, const std::string& statement);

  /// \brief The state in parts, as `ledger_state` gives and takes them.
  [[nodiscard]] ledger::cut_number open_cut();
  [[nodiscard]] std::optional<ledger::ledger_snapshot> next_part(ledger::cut_number cut,
                                                                 std::size_t most_teams);
  void close_cut(ledger::cut_number cut);
  void begin_restore();
  void restore_part(const ledger::ledger_snapshot& part);
  void finish_restore();

  [[nodiscard]] token_reservation reserve(const team_id& team, const std::string& key,
                                          std::uint64_t bound) override;
  void settle(const token_reservation& reservation, std::uint64_t used) override;
  [[nodiscard]] std::uint64_t remaining(const team_id& team) override;

 private:
  struct waiter {
    std::optional<ledger::budget_decision> decision;
    std::condition_variable_any decided;
  };

  /// \brief Sends, appends and decides what the last step produced; needs the lock.
  void publish();
  [[nodiscard]] ledger::budget_decision wait_for(std::unique_lock<ordered_mutex>& lock,
                                                 ledger::ticket_number ticket);

  const clock& time_;
  peer_links& peers_;
  record_appender& log_;
  mutable ordered_mutex mutex_{lock_rank::budgets};
  ledger::budget_host budgets_;
  std::unordered_map<ledger::ticket_number, waiter*> waiting_;
};

} // namespace sedgechute
