#include "daemon/impl/claim_service.hpp"

#include "wire/wire.hpp"

#include <absl/strings/str_format.h>

#include <utility>

namespace sedgechute {

namespace {

// The id under which endpoints know an attempt follows from the key alone, so that a host that
// never met the first attempt can ask an endpoint for its run.
request_id run_id(const team_id& team, const std::string& key, std::uint32_t attempt) {
  const std::uint64_t hash = mix_hash(stable_hash(team.str()), stable_hash(key));
  return request_id{absl::StrFormat("k%016x-%u", hash, attempt)};
}

std::string outcome_of(request_state state) {
  switch (state) {
  case request_state::answered:
    return "answered";
  case request_state::refused:
    return "not_run";
  case request_state::abandoned:
    return "outcome_unknown";
  default:
    return "running";
  }
}

} // namespace

claim_service::claim_service(const incarnation& self, const data_centre_id& here,
                             const claims_options& options, const clock& time, peer_links& peers,
                             record_appender& log, address_source addresses)
    : self_{self}, time_{time}, peers_{peers}, log_{log},
      addresses_{std::move(addresses)}, claims_{self, here, options, self.number} {}

void claim_service::on_record(std::uint64_t offset, const claims_record& record) {
  const std::scoped_lock lock{mutex_};
  claims_.on_record(time_.now(), offset, record);
  publish();
}

void claim_service::on_messages(const incarnation& from,
                                const std::vector<claims_message>& messages) {
  const std::scoped_lock lock{mutex_};
  for (const claims_message& message : messages)
    claims_.on_message(time_.now(), from, message);
  publish();
}

void claim_service::on_view(const membership_view& view) {
  std::vector<live_host> hosts;
  for (const member& one : view.members)
    hosts.push_back({one.who, one.data_centre, one.leaving});
  const std::scoped_lock lock{mutex_};
  claims_.on_members(time_.now(), hosts);
  publish();
}

void claim_service::tick() {
  const std::scoped_lock lock{mutex_};
  claims_.tick(time_.now());
  publish();
}

void claim_service::drain() {
  const std::scoped_lock lock{mutex_};
  claims_.drain(time_.now());
  publish();
}

bool claim_service::drained() const {
  const std::scoped_lock lock{mutex_};
  return claims_.drained();
}

claims_snapshot claim_service::snapshot() const {
  const std::scoped_lock lock{mutex_};
  return claims_.snapshot();
}

void claim_service::restore(const claims_snapshot& snapshot) {
  const std::scoped_lock lock{mutex_};
  claims_.restore(time_.now(), snapshot);
  publish();
}

claim_description claim_service::describe(const team_id& team, const std::string& key) {
  const std::scoped_lock lock{mutex_};
  return claims_.describe(team, key);
}

claims_statistics claim_service::statistics() const {
  const std::scoped_lock lock{mutex_};
  return claims_.statistics(time_.now());
}

key_decision claim_service::begin(const key_request& request) {
  std::unique_lock lock{mutex_};
  const std::uint64_t ticket = claims_.begin(
      time_.now(), {request.team, request.key, request.fingerprint, request.idempotent, false});
  const decision_body body = wait_for(lock, ticket);
  lock.unlock();
  key_decision decision;
  if (const auto* go = std::get_if<proceed_decision>(&body))
    return proceed(request, ticket, *go);
  if (const auto* join = std::get_if<join_decision>(&body)) {
    decision.action = key_action::follow;
    decision.host = join->host.host;
  } else if (const auto* kept = std::get_if<retained_decision>(&body)) {
    decision.action = key_action::replay;
    decision.answer = {kept->answer.endpoint, kept->answer.status, kept->answer.content_type,
                       kept->answer.body};
  } else {
    decision.action = key_action::refuse;
    decision.kind = std::get<refuse_decision>(body).kind;
  }
  return decision;
}

key_decision claim_service::proceed(const key_request& request, std::uint64_t ticket,
                                    const proceed_decision& go) const {
  key_decision decision;
  decision.action = key_action::proceed;
  decision.ticket = ticket;
  decision.run = run_id(request.team, request.key, go.attempt);
  decision.may_have_run = go.may_have_run;
  decision.resume_only = go.resume_only;
  const std::string address = go.endpoint.empty() ? "" : addresses_(go.endpoint);
  if (!address.empty())
    decision.earlier =
        earlier_run{go.endpoint, address, run_id(request.team, request.key, go.run_attempt)};
  decision.run_attempt = go.run_attempt;
  return decision;
}

void claim_service::dispatching(std::uint64_t ticket, const endpoint_id& endpoint) {
  const std::scoped_lock lock{mutex_};
  claims_.progress(time_.now(), ticket, endpoint, 0);
  publish();
}

// Whoever takes the run up next must ask for it by the attempt that started it, not by this one.
void claim_service::resuming(std::uint64_t ticket, const endpoint_id& endpoint,
                             std::uint32_t run_attempt) {
  const std::scoped_lock lock{mutex_};
  claims_.progress(time_.now(), ticket, endpoint, 0, run_attempt);
  publish();
}

void claim_service::answered(std::uint64_t ticket, const kept_answer& answer) {
  retained_answer retained;
  retained.complete = true;
  retained.endpoint = answer.endpoint;
  retained.status = answer.status;
  retained.content_type = answer.content_type;
  retained.body = answer.body;
  const std::scoped_lock lock{mutex_};
  claims_.finish_answered(time_.now(), ticket, retained);
  publish();
}

error_kind claim_service::refused(std::uint64_t ticket, error_kind kind) {
  std::unique_lock lock{mutex_};
  claims_.finish_refused(time_.now(), ticket, kind);
  const decision_body body = wait_for(lock, ticket);
  const auto* refuse = std::get_if<refuse_decision>(&body);
  return refuse == nullptr ? error_kind::outcome_unknown : refuse->kind;
}

void claim_service::unknown(std::uint64_t ticket) {
  const std::scoped_lock lock{mutex_};
  claims_.finish_unknown(time_.now(), ticket);
  publish();
}

std::string claim_service::mint() {
  const std::scoped_lock lock{mutex_};
  const auto key = claims_.mint_key(time_.now());
  publish();
  return key.value_or("");
}

key_status claim_service::look_up(const team_id& team, const std::string& key) {
  std::unique_lock lock{mutex_};
  const std::uint64_t ticket = claims_.look_up(time_.now(), team, key);
  const decision_body body = wait_for(lock, ticket);
  const claim_description known = claims_.describe(team, key);
  key_status status;
  if (known.known) {
    status.state = std::string{name_of(known.state)};
    status.host = known.entry.host;
    status.run = run_id(team, key, known.attempt);
    status.outcome = outcome_of(known.state);
  }
  if (std::holds_alternative<retained_decision>(body)) {
    status.state = "answered";
    status.outcome = "answered";
  } else if (const auto* join = std::get_if<join_decision>(&body)) {
    status.state = "dispatched";
    status.outcome = "running";
    status.host = join->host.host;
  } else if (const auto* refuse = std::get_if<refuse_decision>(&body);
             refuse != nullptr && !known.known && refuse->kind != error_kind::key_unknown) {
    status.state = std::string{name_of(refuse->kind)};
    status.outcome = std::string{name_of(answer_for(refuse->kind).outcome)};
  }
  return status;
}

claim_service::decision_body claim_service::wait_for(std::unique_lock<ordered_mutex>& lock,
                                                     std::uint64_t ticket) {
  waiter self;
  waiting_.emplace(ticket, &self);
  publish();
  self.decided.wait(lock, [&] { return self.decision.has_value(); });
  waiting_.erase(ticket);
  return *self.decision;
}

void claim_service::publish() {
  claims_output output = claims_.take_output();
  for (claims_bundle& bundle : bundle_messages(std::move(output.messages))) {
    wire::envelope envelope;
    *envelope.mutable_claims() =
        to_wire(claims_envelope{self_, bundle.to, std::move(bundle.messages)});
    peers_.send(bundle.to, std::move(envelope));
  }
  for (const claims_record& record : output.records) {
    wire::log_record stored;
    *stored.mutable_claims() = to_wire(record);
    log_.append(stored.SerializeAsString());
  }
  for (claim_decision& decision : output.decisions) {
    const auto found = waiting_.find(decision.ticket);
    if (found == waiting_.end())
      continue;
    found->second->decision = std::move(decision.body);
    found->second->decided.notify_all();
  }
}

} // namespace sedgechute
