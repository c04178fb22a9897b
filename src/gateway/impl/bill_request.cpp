#include "gateway/impl/bill_request.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

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
  ended.objective = request.grant.first_token_objective;
  ended.objective_share = request.grant.objective;
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

} // namespace

billed_run run_and_bill(gateway& host, const admitted_chat& request, const std::string& budget_key,
                        answer_sink& sink) {
  billed_run ended;
  try {
    ended.result = run_reserved(host, request, budget_key, sink, ended.billed);
  } catch (const error& failure) {
    ended.result.refused = refusal_of(failure, request.id);
    ended.result.may_have_run = request.may_have_run;
  } catch (const std::exception& failure) {
    // Whatever went wrong, the claim and the caller must get an end; nothing more is known.
    host.note_internal_error(failure.what());
    ended.result.may_have_run = true;
    ended.result.refused = refusal{error_kind::internal, "", request.id, {}};
  }
  if (ended.result.answered) {
    ended.result.summary.tokens_billed = ended.billed;
    ended.result.summary.tokens_remaining = host.budgets.remaining(request.grant.team);
  }
  return ended;
}

void conclude(gateway& host, const admitted_chat& request, const std::string& key,
              billed_run& ended, answer_sink& sink) {
  if (ended.result.answered)
    sink.complete(ended.result.summary);
  else
    sink.fail(*ended.result.refused);
  report_end(host, request, ended.result, key, ended.billed);
}

} // namespace sedgechute
