#include "daemon/impl/host_status.hpp"

#include <absl/strings/str_format.h>

#include <utility>

namespace sedgechute {

namespace {

constexpr double ms_per_second = 1000.0;

double seconds(time_ms span) {
  return static_cast<double>(span.count()) / ms_per_second;
}

std::string outcome_text(const ended_request& ended) {
  if (!ended.refused)
    return "answered";
  return std::string{name_of(answer_for(*ended.refused).outcome)};
}

// What the team's own doing ended says nothing about the service that it got.
bool counts_for_objective(const ended_request& ended) {
  if (!ended.refused)
    return true;
  switch (*ended.refused) {
  case error_kind::budget_exhausted:
  case error_kind::rate_limited:
  case error_kind::concurrency_limited:
  case error_kind::invalid_parameter:
  case error_kind::quarantined:
  case error_kind::caller_gone:
  case error_kind::key_reused:
    return false;
  default:
    return true;
  }
}

bool met_objective(const ended_request& ended) {
  if (ended.refused)
    return false;
  return !ended.first_token || ended.objective == time_ms{0} ||
         *ended.first_token <= ended.objective;
}

} // namespace

host_status::host_status(incarnation self, structured_log& log, metrics& figures,
                         decision_events& events, burn_tracker& burn)
    : self_{std::move(self)}, log_{log}, metrics_{figures}, events_{events}, burn_{burn} {}

void host_status::set_not_ready(const std::string& reason) {
  {
    const std::scoped_lock lock{mutex_};
    if (not_ready_ == reason)
      return;
    not_ready_ = reason;
  }
  log_.write(severity::info, reason.empty() ? "ready" : "not_ready", {},
             {{log_field::reason, reason}});
}

void host_status::announce_stop() {
  const std::scoped_lock lock{mutex_};
  stop_announced_ = true;
}

void host_status::stop_entry() {
  const std::scoped_lock lock{mutex_};
  stop_announced_ = true;
  entry_stopped_ = true;
}

void host_status::wait_until_empty() {
  std::unique_lock lock{mutex_};
  left_.wait(lock, [this] { return inside_ == 0; });
}

std::size_t host_status::inside() const {
  const std::scoped_lock lock{mutex_};
  return inside_;
}

std::string host_status::not_ready_reason() {
  const std::scoped_lock lock{mutex_};
  return stop_announced_ ? std::string{stopping_reason} : not_ready_;
}

void host_status::enter() {
  const std::scoped_lock lock{mutex_};
  if (entry_stopped_)
    throw error{error_kind::stopping, "", ""};
  if (!not_ready_.empty())
    throw error{error_kind::not_ready, "", not_ready_};
  ++inside_;
}

void host_status::leave() noexcept {
  const std::scoped_lock lock{mutex_};
  --inside_;
  if (inside_ == 0)
    left_.notify_all();
}

std::string host_status::metrics_text() {
  metrics_.sample_process();
  metrics_.set(metric::streams_open, {}, static_cast<double>(inside()));
  return metrics_.text();
}

// The incarnation's random number makes ids of two lives of a host differ, so that an engine never
// joins a new request to an old run.
request_id host_status::new_request_id() {
  return request_id{absl::StrFormat("r%016x-%x", self_.number, next_request_++)};
}

void host_status::request_ended(const ended_request& ended) {
  count(ended);
  remember(ended);
  const log_subject subject{ended.id.str(), ended.team.str(), ended.endpoint.str()};
  if (!ended.refused) {
    log_.write(severity::debug, "request_answered", subject,
               {{log_field::attempt, ended.attempts},
                {log_field::tokens, static_cast<std::int64_t>(ended.tokens_billed)},
                {log_field::duration_ms, ended.total}});
    return;
  }
  log_.write(severity::info, "request_refused", subject,
             {{log_field::kind, name_of(*ended.refused)},
              {log_field::reason, ended.reason},
              {log_field::attempt, ended.attempts},
              {log_field::duration_ms, ended.total}});
}

void host_status::count(const ended_request& ended) {
  const std::string outcome = outcome_text(ended);
  metrics_.add(metric::requests, {ended.team.str(), ended.class_name, outcome});
  metrics_.observe(metric::request_seconds, {ended.class_name}, seconds(ended.total));
  if (ended.first_token)
    metrics_.observe(metric::first_token_seconds, {ended.class_name}, seconds(*ended.first_token));
  if (ended.tokens_billed > 0)
    metrics_.add(metric::tokens_billed, {ended.team.str()},
                 static_cast<double>(ended.tokens_billed));
  if (ended.attempts > 0)
    metrics_.add(metric::attempts, {ended.pool.str()}, ended.attempts);
  if (ended.refused)
    count_refusal(ended.team, *ended.refused);
  if (!counts_for_objective(ended))
    return;
  metrics_.add(metric::slo_total, {ended.team.str(), ended.class_name});
  burn_.record(ended.team.str(), ended.class_name, ended.objective_share, met_objective(ended),
               wall_time());
  if (met_objective(ended))
    metrics_.add(metric::slo_good, {ended.team.str(), ended.class_name});
}

void host_status::count_refusal(const team_id& team, error_kind kind) {
  metrics_.add(metric::refusals, {team.str(), name_of(kind)});
  if (kind == error_kind::budget_exhausted)
    metrics_.add(metric::budget_refusals, {team.str(), "exhausted"});
  if (kind == error_kind::budget_unreachable)
    metrics_.add(metric::budget_refusals, {team.str(), "unreachable"});
}

void host_status::remember(const ended_request& ended) {
  decision happened{ended.refused ? decision_kind::refused : decision_kind::answered};
  happened.at = wall_time();
  happened.request = ended.id.str();
  happened.team = ended.team.str();
  happened.subject = ended.endpoint.empty() ? ended.pool.str() : ended.endpoint.str();
  happened.reason = ended.refused ? std::string{name_of(*ended.refused)} + ": " + ended.reason
                                  : "attempts " + std::to_string(ended.attempts);
  happened.amount = static_cast<std::int64_t>(ended.tokens_billed);
  events_.record(std::move(happened));
}

void host_status::note_internal_error(const std::string& what) noexcept {
  try {
    log_.write(severity::error, "internal_error", {}, {{log_field::reason, what}});
  } catch (const std::exception&) {
    return; // a failing log must not end the request that is being served
  }
}

} // namespace sedgechute
