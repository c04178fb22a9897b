#include "gateway/impl/keyed_answer.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

// Each round follows an attempt whose host then proved unreachable; two hosts may go down during
// one retry, hardly more.
constexpr int most_follow_rounds = 3;

std::uint64_t bill_of(const run_result& result, std::uint64_t bound) {
  // An engine that reports more than it was allowed is billed to the team at the bound: the team
  // prepaid for that much and the excess is the operator's to settle.
  return std::min(result.usage.total(), bound);
}

void report_end(gateway& host, const admitted_chat& request, const run_result& result,
                const std::string& key, std::uint64_t billed) {
  ended_request ended;
  ended.id = request.id;
  ended.key = key;
  ended.team = request.grant.team;
  ended.class_name = request.grant.class_name;
  ended.pool = request.grant.pool;
  ended.endpoint = result.summary.endpoint;
  ended.attempts = result.attempts;
  ended.tokens_billed = billed;
  ended.first_token = result.first_token_at
                          ? std::optional{*result.first_token_at - request.accepted}
                          : std::nullopt;
  ended.total = host.time.now() - request.accepted;
  if (result.refused) {
    ended.refused = result.refused->kind;
    ended.reason = result.refused->message;
  }
  host.status.request_ended(ended);
}

refusal refusal_of(const error& failure, const request_id& id) {
  return {failure.kind(), failure.why(), id, failure.retry_after()};
}

claim_result claim_result_of(const run_result& result) {
  if (result.answered)
    return claim_result::answered;
  return result.may_have_run ? claim_result::unknown : claim_result::refused;
}

/// Runs with the reservation held, and gives back what is not billed on every way out.
run_result run_reserved(gateway& host, const admitted_chat& request, const std::string& key,
                        answer_sink& sink, std::uint64_t& billed) {
  const token_reservation reservation =
      host.budgets.reserve(request.grant.team, key, request.chat.token_bound());
  const run_context context{host.host, host.time, host.connections, host.dispatch, host.claims};
  run_result result;
  try {
    result = run_chat(context, request, sink);
  } catch (...) {
    host.budgets.settle(reservation, 0);
    throw;
  }
  billed = bill_of(result, reservation.bound);
  host.budgets.settle(reservation, billed);
  return result;
}

run_result run_to_end(gateway& host, const admitted_chat& request, const std::string& key,
                      answer_sink& sink) {
  std::uint64_t billed = 0;
  run_result result;
  try {
    result = run_reserved(host, request, key, sink, billed);
  } catch (const error& failure) {
    result.refused = refusal_of(failure, request.id);
  } catch (const std::exception& failure) {
    // Whatever went wrong, the claim and the caller must get an end; nothing more is known.
    host.note_internal_error(failure.what());
    result.may_have_run = true;
    result.refused = refusal{error_kind::internal, "", request.id, {}};
  }
  if (result.answered) {
    result.summary.tokens_billed = billed;
    result.summary.tokens_remaining = host.budgets.remaining(request.grant.team);
    sink.complete(result.summary);
  } else {
    sink.fail(*result.refused);
  }
  report_end(host, request, result, key, billed);
  return result;
}

/// Records the answer for retries while it passes it on to the caller that is here now.
class recording_sink final : public answer_sink {
 public:
  recording_sink(answer_record& record, answer_sink& caller) : record_{record}, caller_{caller} {}

  bool event(const stream_event& event) override {
    (void)record_.event(event);
    if (caller_here_)
      caller_here_ = caller_.event(event);
    return true;
  }
  void complete(const answer_summary& summary) override {
    record_.complete(summary);
    if (caller_here_)
      caller_.complete(summary);
  }
  void fail(const refusal& refused) override {
    record_.fail(refused);
    if (caller_here_)
      caller_.fail(refused);
  }
  [[nodiscard]] bool delivered() const noexcept override { return record_.delivered(); }
  [[nodiscard]] bool gone() noexcept override { return false; }

 private:
  answer_record& record_;
  answer_sink& caller_;
  bool caller_here_{true};
};

void run_claimed(gateway& host, admitted_chat& request, const std::string& key,
                 const claim_decision& decision, answer_sink& sink) {
  request.claim = decision.number;
  request.id = decision.run;
  if (!decision.endpoint.empty())
    request.earlier = dispatch_turn{0, decision.endpoint, decision.endpoint_address};
  const auto record = host.answers.create(request.grant.team, key);
  recording_sink both{*record, sink};
  const run_result result = run_to_end(host, request, key, both);
  host.claims.finish(request.claim, claim_result_of(result));
  host.answers.trim();
}

/// \returns whether the answer's end reached the sink.
bool follow(gateway& host, const admitted_chat& request, const std::string& key,
            const claim_decision& decision, answer_sink& sink) {
  if (decision.host != host.host)
    return host.peers.follow(decision.host, request.grant.team, key, sink) !=
           follow_end::unreachable;
  const auto record = host.answers.find(request.grant.team, key);
  return record && record->play(sink);
}

} // namespace

void run_and_bill(gateway& host, const admitted_chat& request, const std::string& budget_key,
                  answer_sink& sink) {
  (void)run_to_end(host, request, budget_key, sink);
}

void answer_keyed(gateway& host, admitted_chat& request, const std::string& key,
                  answer_sink& sink) {
  const claim_request wanted{request.grant.team, key, request.chat.fingerprint, request.idempotent,
                             request.id};
  for (int round = 0; round < most_follow_rounds; ++round) {
    const claim_decision decision = host.claims.begin(wanted);
    if (decision.action == claim_action::refuse)
      return sink.fail({decision.kind, "", request.id, {}});
    if (decision.action == claim_action::proceed)
      return run_claimed(host, request, key, decision, sink);
    if (follow(host, request, key, decision, sink))
      return;
    // Events of the lost answer may be with the caller already; another may not follow them.
    if (sink.delivered())
      break;
  }
  sink.fail({error_kind::outcome_unknown, "the answer cannot be reached now", request.id, {}});
}

} // namespace sedgechute
