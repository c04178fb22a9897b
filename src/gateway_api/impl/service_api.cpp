#include "gateway/gateway.hpp"

#include <chrono>
#include <memory>
#include <thread>

namespace sedgechute {

namespace {

constexpr std::string_view path_prefix = "/services/";
constexpr time_ms join_patience{10000};
constexpr std::chrono::milliseconds between_questions{100};

service_call admit(const caller_exchange& exchange, gateway& host, const caller_headers& headers) {
  const std::string rest = exchange.path.substr(path_prefix.size());
  const std::size_t slash = rest.find('/');
  service_call call;
  call.method = exchange.request.getMethod();
  call.grant = host.access.admit(
      {headers.bearer, headers.class_name, {}, rest.substr(0, slash), call.method});
  call.path = slash == std::string::npos ? "/" : rest.substr(slash);
  if (!exchange.query.empty())
    call.path += "?" + exchange.query;
  call.key = headers.key;
  call.idempotent = headers.idempotent.value_or(call.grant.idempotent_by_default);
  call.id = host.status.new_request_id();
  call.accepted = host.time.now();
  return call;
}

/// Reserves the call's price, relays it, and bills the price if an answer came.
service_result relay_and_bill(gateway& host, caller_exchange& exchange, const service_call& call,
                              service_body& body, std::uint64_t& billed) {
  const std::string& budget_key = call.key.empty() ? call.id.str() : call.key;
  const token_reservation reservation =
      host.budgets.reserve(call.grant.team, budget_key, call.grant.tokens_per_call);
  service_result result;
  try {
    result = relay_service_call(host, exchange, call, body);
  } catch (const error& failure) {
    result.refused = failure.kind();
  } catch (const std::exception& failure) {
    // Whatever went wrong, the reservation and the claim must get an end; nothing more is known.
    host.note_internal_error(failure.what());
    result.may_have_run = true;
    result.refused = error_kind::internal;
  }
  billed = result.answered ? reservation.bound : 0;
  host.budgets.settle(reservation, billed);
  return result;
}

/// Settles the key before the caller is told of a refusal, so that its retry meets the same truth.
void settle_key(gateway& host, const service_call& call, service_result& result) {
  if (call.ticket == 0)
    return;
  if (result.answered)
    host.claims.answered(call.ticket, result.kept);
  else if (result.may_have_run)
    host.claims.unknown(call.ticket);
  else
    result.refused = host.claims.refused(call.ticket, *result.refused);
}

void report(gateway& host, const service_call& call, const service_result& result,
            std::uint64_t billed) {
  ended_request ended;
  ended.id = call.id;
  ended.key = call.key;
  ended.team = call.grant.team;
  ended.class_name = call.grant.class_name;
  ended.pool = call.grant.pool;
  ended.objective_share = call.grant.objective;
  ended.endpoint = result.endpoint;
  ended.attempts = result.attempts;
  ended.refused = result.refused;
  ended.tokens_billed = billed;
  ended.total = host.time.now() - call.accepted;
  host.status.request_ended(ended);
}

void run_call(gateway& host, caller_exchange& exchange, const service_call& call,
              service_body& body) {
  std::uint64_t billed = 0;
  service_result result;
  try {
    result = relay_and_bill(host, exchange, call, body, billed);
  } catch (const error& failure) {
    result.refused = failure.kind();
  }
  settle_key(host, call, result);
  if (result.refused && !result.cut)
    send_refusal(exchange.response, {*result.refused, "", call.id, {}});
  report(host, call, result, billed);
}

void replay_kept(caller_exchange& exchange, const service_call& call, const kept_answer& kept) {
  if (kept.body.empty() && kept.status == Poco::Net::HTTPResponse::HTTP_OK)
    throw error{error_kind::answer_not_kept, "", ""};
  auto& response = exchange.response;
  response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(kept.status));
  if (!kept.content_type.empty())
    response.setContentType(kept.content_type);
  response.set("X-Request-Id", call.id.str());
  response.set("X-Sedgechute-Replayed", "true");
  response.sendBuffer(kept.body.data(), kept.body.size());
}

/// Asks for the right to run; waits for an attempt that runs elsewhere, whose answer is then kept.
key_decision decide(gateway& host, const caller_exchange& exchange, const service_call& call,
                    const service_body& body) {
  const std::uint64_t target =
      mix_hash(stable_hash(call.method + " " + call.path), stable_hash(call.grant.pool.str()));
  const std::uint64_t fingerprint = mix_hash(target, body.fingerprint());
  const key_request wanted{call.grant.team, call.key, fingerprint, call.idempotent};
  const time_ms give_up = host.time.now() + join_patience;
  for (;;) {
    key_decision decision = host.claims.begin(wanted);
    const bool wait = decision.action == key_action::follow && host.time.now() < give_up &&
                      !has_hung_up(exchange);
    if (!wait)
      return decision;
    std::this_thread::sleep_for(between_questions);
  }
}

/// A call with a key runs once; a retry gets the kept answer or the truth.
void answer_keyed_call(gateway& host, caller_exchange& exchange, service_call& call,
                       service_body& body) {
  const key_decision decision = decide(host, exchange, call, body);
  switch (decision.action) {
  case key_action::proceed:
    break;
  case key_action::replay:
    return replay_kept(exchange, call, decision.answer);
  case key_action::follow:
    throw error{error_kind::key_in_progress, call.key, "it runs on " + decision.host.str()};
  case key_action::refuse:
    throw error{decision.kind, call.key, ""};
  }
  call.ticket = decision.ticket;
  call.id = decision.run;
  if (decision.resume_only) {
    // A plain service cannot be asked for an earlier run.
    host.claims.unknown(call.ticket);
    throw error{error_kind::outcome_unknown, call.key, "an earlier attempt may have run"};
  }
  run_call(host, exchange, call, body);
}

/// Serves `/services/<name>/...`: any method, passed on to an endpoint of the service's pool.
class service_api final : public caller_api {
 public:
  void handle(caller_exchange& exchange, gateway& host) const override {
    const request_guard guard{host.status};
    const caller_headers headers = read_caller_headers(exchange);
    service_call call = admit(exchange, host, headers);
    service_body body{exchange, host.body_timeout};
    if (call.key.empty())
      return run_call(host, exchange, call, body);
    answer_keyed_call(host, exchange, call, body);
  }
};

const registry<caller_api>::entry registered{std::string{path_prefix},
                                             [] { return std::make_unique<service_api>(); }};

} // namespace
} // namespace sedgechute
