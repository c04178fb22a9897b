#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

struct retry_policy {
  std::uint32_t most_attempts{3};
  double budget_share{0.2};   ///< retries per recent success
  double budget_most{100.0};  ///< retries that may be saved up
  double budget_per_s{1.0};   ///< retries that time earns, for hosts with little traffic
  double budget_reserve{5.0}; ///< most that time alone saves up
  time_ms first_backoff{50};
  time_ms most_backoff{2000};
};

/// \brief Retries that a pool's traffic may still afford. Successes earn, retries and hedges
/// spend; so when a pool fails as a whole, retries end instead of doubling its load.
class retry_budget {
 public:
  explicit retry_budget(const retry_policy& policy = {});

  void note_success(time_ms now) noexcept;
  /// \returns whether one retry could be afforded; if so it is spent
  [[nodiscard]] bool spend(time_ms now) noexcept;
  [[nodiscard]] double left(time_ms now) const noexcept;

 private:
  retry_policy policy_;
  double level_;
  time_ms updated_;
};

/// \brief How far an attempt had come when it failed.
enum class attempt_stage {
  connecting, ///< nothing was sent: it did not run
  sent,       ///< it may be running, nothing came back
  streaming,  ///< part of the answer came back
};

template <>
struct enum_names<attempt_stage> {
  static constexpr auto entries =
      enum_table<attempt_stage>({{attempt_stage::connecting, "connecting"},
                                 {attempt_stage::sent, "sent"},
                                 {attempt_stage::streaming, "streaming"}});
};

/// \brief A failed attempt.
struct failed_attempt {
  attempt_stage stage{attempt_stage::sent};
  bool refused_unrun{};      ///< the endpoint said that it did not run it
  bool idempotent{};         ///< running it twice does no harm
  bool resumable{};          ///< the engine keeps the run and can be asked for the rest
  std::uint32_t attempts{1}; ///< made so far, this one included
  time_ms retry_after;       ///< asked for by the endpoint
  time_ms deadline;          ///< of the request
};

enum class retry_action {
  retry,  ///< at another endpoint, after `wait`
  resume, ///< at the same endpoint on a new connection, after `wait`
  refuse, ///< tell the caller `refusal`
};

template <>
struct enum_names<retry_action> {
  static constexpr auto entries = enum_table<retry_action>({{retry_action::retry, "retry"},
                                                            {retry_action::resume, "resume"},
                                                            {retry_action::refuse, "refuse"}});
};

struct retry_decision {
  retry_action action{retry_action::refuse};
  time_ms wait;
  error_kind refusal{error_kind::endpoint_failed};
};

/// \brief Decides about a failed attempt. What may have run and is not idempotent is never sent
/// again; a retry must be affordable and able to start before the deadline.
[[nodiscard]] retry_decision decide_retry(const failed_attempt& failed, const retry_policy& policy,
                                          retry_budget& budget, random_source& random, time_ms now);

/// \returns the wait before attempt number `attempts + 1`: exponential, between half and whole
[[nodiscard]] time_ms backoff(const retry_policy& policy, std::uint32_t attempts,
                              random_source& random);

struct hedge_policy {
  double usual_wait_factor{3.0}; ///< times the p95 of the class before a second attempt
  time_ms least_wait{300};
  std::uint32_t most_prompt_tokens{2048}; ///< a second reading of a longer prompt costs too much
  double most_load{0.8};                  ///< of the pool's places
};

/// \brief A request that waits for its first token.
struct hedge_case {
  bool idempotent{};
  bool cancellable{}; ///< the loser can be stopped and is not billed
  bool hedged{};
  std::uint32_t prompt_tokens{};
  double pool_load{}; ///< requests at endpoints per place
  time_ms waited;
  time_ms usual_p95; ///< of this class's first token
};

/// \returns whether to start a second attempt now; spends from the budget if so
[[nodiscard]] bool decide_hedge(const hedge_case& waiting, const hedge_policy& policy,
                                retry_budget& budget, time_ms now);

} // namespace sedgechute
