#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

/// \brief Limits of retries, and the parameters of the retry budget and backoff.
struct retry_policy {
  std::uint32_t max_attempts{3};
  double budget_share{0.2};      ///< retries added to the budget per success
  double budget_capacity{100.0}; ///< capacity of the budget
  double budget_per_s{1.0};      ///< retries added per second, for hosts with little traffic
  double budget_reserve{5.0};    ///< level up to which time alone fills the budget
  time_ms first_backoff{50};
  time_ms max_backoff{2000};
};

/// \brief Budget of a pool's retries. Successes add to it, retries and hedges take from it, so that
/// retries stop instead of multiplying the load when a whole pool fails.
class retry_budget {
 public:
  explicit retry_budget(const retry_policy& policy = {});

  void note_success(time_ms now) noexcept;
  /// \brief Takes one retry from the budget.
  /// \returns false if the budget is exhausted
  [[nodiscard]] bool spend(time_ms now) noexcept;
  /// \returns retries left in the budget
  [[nodiscard]] double left(time_ms now) const noexcept;

 private:
  retry_policy policy_;
  double level_;
  time_ms updated_;
};

/// \brief Progress of an attempt when it failed.
enum class attempt_stage {
  connecting, ///< nothing was sent: it did not run
  sent,       ///< it may have run; nothing was received
  streaming,  ///< part of the response was received
};

template <>
struct enum_names<attempt_stage> {
  static constexpr auto entries =
      enum_table<attempt_stage>({{attempt_stage::connecting, "connecting"},
                                 {attempt_stage::sent, "sent"},
                                 {attempt_stage::streaming, "streaming"}});
};

/// \brief A failed attempt, as input to `decide_retry`.
struct failed_attempt {
  attempt_stage stage{attempt_stage::sent};
  bool refused_before_run{}; ///< the endpoint refused the request without running it
  bool idempotent{};         ///< running it twice is safe
  bool resumable{};          ///< the engine keeps the run and can send the rest
  std::uint32_t attempts{1}; ///< attempts made, including this one
  time_ms retry_after;       ///< delay requested by the endpoint
  time_ms deadline;          ///< deadline of the request
};

/// \brief How to continue after a failed attempt.
enum class retry_action {
  retry,  ///< at another endpoint, after `wait`
  resume, ///< at the same endpoint on a new connection, after `wait`
  refuse, ///< answer the caller with `refusal`
};

template <>
struct enum_names<retry_action> {
  static constexpr auto entries = enum_table<retry_action>({{retry_action::retry, "retry"},
                                                            {retry_action::resume, "resume"},
                                                            {retry_action::refuse, "refuse"}});
};

/// \brief Result of `decide_retry`.
struct retry_decision {
  retry_action action{retry_action::refuse};
  time_ms wait;
  error_kind refusal{error_kind::endpoint_failed};
};

/// \brief Decides how to continue after a failed attempt. A request that may have run and is not
/// idempotent is never sent again; a retry must fit the budget and start before the deadline.
[[nodiscard]] retry_decision decide_retry(const failed_attempt& failed, const retry_policy& policy,
                                          retry_budget& budget, random_source& random, time_ms now);

/// \returns the delay before attempt number `attempts + 1`: exponential, with jitter that takes off
/// up to half
[[nodiscard]] time_ms backoff(const retry_policy& policy, std::uint32_t attempts,
                              random_source& random);

/// \brief Limits of hedged requests.
struct hedge_policy {
  double p95_wait_factor{3.0}; ///< multiple of the class's p95 to wait before a second attempt
  time_ms min_wait{300};
  std::uint32_t max_prompt_tokens{2048}; ///< a second prefill of a longer prompt costs too much
  double max_load{0.8};                  ///< fraction of the pool's places in use
};

/// \brief A request that waits for its first token, as input to `decide_hedge`.
struct hedge_case {
  bool idempotent{};
  bool cancellable{}; ///< the slower attempt can be cancelled and is not billed
  bool hedged{};      ///< a second attempt has been started
  std::uint32_t prompt_tokens{};
  double pool_load{}; ///< requests at endpoints per place
  time_ms waited;
  time_ms first_token_p95; ///< p95 of the class's time to the first token
};

/// \returns whether to start a second attempt now, which takes one retry from the budget
[[nodiscard]] bool decide_hedge(const hedge_case& waiting, const hedge_policy& policy,
                                retry_budget& budget, time_ms now);

} // namespace sedgechute
