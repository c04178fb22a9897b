#pragma once

#include "gateway/gateway.hpp"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace sedgechute::testing {

/// \brief One team whose key is `good-key`, one model `m`, one service `s`.
class fake_access final : public access_port {
 public:
  team_id authenticate(const std::string& bearer) override;
  access_grant admit(const access_request& request) override;
  std::vector<model_id> models(const std::string& bearer) override;

  bool idempotent_by_default{true};
  std::uint64_t max_output_tokens{2000};
  time_ms answer_timeout{5000};
};

/// \brief Counts who is inside and keeps the ends that were reported.
class fake_host final : public host_port {
 public:
  std::string not_ready_reason() override { return {}; }
  void enter() override;
  void leave() noexcept override;
  std::string metrics_text() override { return "up 1\n"; }
  request_id new_request_id() override;
  void request_ended(const ended_request& ended) override;
  void note_internal_error(const std::string& what) noexcept override;

  [[nodiscard]] int inside() const;
  [[nodiscard]] std::vector<ended_request> ends() const;
  [[nodiscard]] std::vector<std::string> internal_errors() const;

 private:
  mutable std::mutex mutex_;
  int inside_{0};
  int next_id_{0};
  std::vector<ended_request> ends_;
  std::vector<std::string> internal_errors_;
};

class fake_budgets final : public budget_port {
 public:
  token_reservation reserve(const team_id& team, const std::string& key,
                            std::uint64_t bound) override;
  void settle(const token_reservation& reservation, std::uint64_t used) override;
  std::uint64_t remaining(const team_id& team) override;

  [[nodiscard]] std::size_t open() const;
  [[nodiscard]] std::size_t made() const;
  [[nodiscard]] std::vector<std::uint64_t> bills() const;

 private:
  mutable std::mutex mutex_;
  std::uint64_t next_{1};
  std::map<std::uint64_t, std::uint64_t> open_;
  std::vector<std::uint64_t> bills_;
};

/// \brief Gives turns on the endpoints in their order, passing over those to be avoided.
class fake_dispatch final : public dispatch_port {
 public:
  dispatch_turn acquire(const dispatch_request& request,
                        const std::function<bool()>& abandoned) override;
  void release(const dispatch_turn& turn, const dispatch_request& request,
               const turn_report& report) override;
  std::optional<time_ms> retry_after_failure(const dispatch_request& request,
                                             int attempts) override;

  /// \brief Keeps later requests waiting until `open_gate`.
  void close_gate();
  void open_gate();
  void add(const std::string& name, const std::string& address);

  [[nodiscard]] std::size_t waiting() const;
  [[nodiscard]] std::size_t held() const;
  [[nodiscard]] std::vector<turn_outcome> outcomes() const;
  /// \returns how often a retry was taken from the budget.
  [[nodiscard]] int retries_taken() const noexcept { return retries_taken_; }

 private:
  [[nodiscard]] dispatch_turn choose(const dispatch_request& request);

  mutable std::mutex mutex_;
  bool gate_closed_{false};
  std::size_t waiting_{0};
  std::uint64_t next_{1};
  std::set<std::uint64_t> held_;
  std::vector<dispatch_turn> endpoints_;
  std::vector<turn_outcome> outcomes_;
  std::atomic<int> retries_taken_{0};
};

/// \brief Claims of one data centre: a key runs once, and its answer is kept.
class fake_claims final : public claim_port {
 public:
  key_decision begin(const key_request& request) override;
  void dispatching(std::uint64_t ticket, const endpoint_id& endpoint) override;
  void answered(std::uint64_t ticket, const kept_answer& answer) override;
  error_kind refused(std::uint64_t ticket, error_kind kind) override;
  void unknown(std::uint64_t ticket) override;
  std::string mint() override { return "minted"; }
  key_status look_up(const team_id& team, const std::string& key) override;

  /// \brief Makes the next `dispatching` fail.
  void fail_next_dispatching();

  [[nodiscard]] std::size_t open() const;
  [[nodiscard]] std::string state_of(const std::string& key) const;

 private:
  struct claim {
    std::uint64_t fingerprint{};
    std::uint64_t ticket{};
    std::string state;
    kept_answer answer;
  };

  claim& by_ticket(std::uint64_t ticket);

  mutable std::mutex mutex_;
  std::uint64_t next_{1};
  bool fail_dispatching_{false};
  std::map<std::string, claim> claims_;
};

class fake_peers final : public peer_answers_port {
 public:
  follow_end follow(const host_id& host, const team_id& team, const std::string& key,
                    answer_sink& sink) override;
};

} // namespace sedgechute::testing
