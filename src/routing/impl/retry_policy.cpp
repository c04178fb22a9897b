#include "routing/impl/retry_policy.hpp"

#include "routing/impl/attempt_rule.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr double ms_per_s = 1000.0;
constexpr std::uint32_t max_doublings = 10;

} // namespace

retry_budget::retry_budget(const retry_policy& policy)
    : policy_{policy}, level_{policy.budget_per_s} {}

double retry_budget::left(time_ms now) const noexcept {
  const double elapsed_s = static_cast<double>((now - updated_).count()) / ms_per_s;
  // Time alone fills the budget up to the reserve, successes up to its capacity. With a reserve of
  // one retry, a host with little traffic that spent it on a request that crashed an engine refused
  // the next requests, which were sent to the same engine before its death was detected.
  const double base = std::max(level_, policy_.budget_reserve);
  return std::clamp(level_ + std::max(0.0, elapsed_s) * policy_.budget_per_s, level_, base);
}

void retry_budget::note_success(time_ms now) noexcept {
  level_ = std::min(policy_.budget_capacity, left(now) + policy_.budget_share);
  updated_ = std::max(updated_, now);
}

bool retry_budget::spend(time_ms now) noexcept {
  level_ = left(now);
  updated_ = std::max(updated_, now);
  if (level_ < 1.0)
    return false;
  level_ -= 1.0;
  return true;
}

time_ms backoff(const retry_policy& policy, std::uint32_t attempts, random_source& random) {
  const std::uint32_t doublings = std::min(attempts == 0 ? 0 : attempts - 1, max_doublings);
  const std::int64_t whole =
      std::min(policy.max_backoff.count(), policy.first_backoff.count() << doublings);
  return time_ms{whole / 2 + static_cast<std::int64_t>(random.below(whole - whole / 2 + 1))};
}

retry_decision decide_retry(const failed_attempt& failed, const retry_policy& policy,
                            retry_budget& budget, random_source& random, time_ms now) {
  const bool may_have_run = failed.stage != attempt_stage::connecting && !failed.refused_before_run;
  const failed_request so_far{.may_have_run = may_have_run,
                              .idempotent = failed.idempotent,
                              .response_started = failed.stage == attempt_stage::streaming,
                              .attempts = failed.attempts,
                              .max_attempts = policy.max_attempts};
  retry_decision decision;
  decision.refusal = refusal_after(so_far);
  decision.wait = std::max(backoff(policy, failed.attempts, random), failed.retry_after);

  // Resuming a run does not repeat it, so the request need not be idempotent.
  if (failed.resumable && may_have_run && failed.attempts < policy.max_attempts) {
    decision.action = retry_action::resume;
    return decision;
  }
  if (!may_attempt_again(so_far) || now + decision.wait > failed.deadline)
    return decision;
  if (budget.spend(now))
    decision.action = retry_action::retry;
  return decision;
}

bool decide_hedge(const hedge_case& waiting, const hedge_policy& policy, retry_budget& budget,
                  time_ms now) {
  const auto usual = static_cast<std::int64_t>(
      static_cast<double>(waiting.first_token_p95.count()) * policy.p95_wait_factor);
  const time_ms wait = std::max(policy.min_wait, time_ms{usual});
  const bool safe = waiting.idempotent && waiting.cancellable && !waiting.hedged;
  const bool pays = waiting.prompt_tokens <= policy.max_prompt_tokens &&
                    waiting.pool_load < policy.max_load && waiting.waited >= wait;
  return safe && pays && budget.spend(now);
}

} // namespace sedgechute
