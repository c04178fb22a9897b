#include "relay/impl/request_accounting.hpp"

#include "relay/impl/request_content.hpp"

#include <algorithm>
#include <optional>

namespace sedgechute {

namespace {

// A caller that retries sooner may find the budget unchanged.
constexpr time_ms min_retry_after{50};

// The earlier of two times: when this host expects to hold the tokens, and when a retry may reach
// another host that holds them.
time_ms soonest_retry(std::optional<time_ms> covered_here, time_ms elsewhere) noexcept {
  return std::max(std::min(covered_here.value_or(elsewhere), elsewhere), min_retry_after);
}

// Three quarters of the target are left for the endpoint.
time_ms longest_token_wait(time_ms latency_target) noexcept {
  constexpr std::int64_t part = 4;
  return std::max(time_ms{latency_target.count() / part}, time_ms{1});
}

double seconds(time_ms span) noexcept {
  constexpr double ms_per_second = 1000;
  return static_cast<double>(span.count()) / ms_per_second;
}

} // namespace

std::uint64_t reserve_tokens(budget_manager& budgets, const admitted_request& request,
                             time_ms retry_after) {
  const team_terms* team = request.team;
  if (!request.terms.generation || team == nullptr || !team->prepaid)
    return 0;
  const std::uint64_t bound = request.terms.generation->bound();
  const token_demand demand{.team = team->name.str(),
                            .tokens = bound,
                            .request = request.terms.id,
                            .max_promise_wait =
                                time_ms{request.on_route->latency_target.count() / 2},
                            .max_wait = longest_token_wait(request.on_route->latency_target)};
  switch (budgets.reserve(demand)) {
  case reserve_outcome::reserved:
    return bound;
  case reserve_outcome::exhausted:
    throw error{error_kind::budget_exhausted, team->name.str(),
                "the remaining budget does not cover " + std::to_string(bound) + " tokens"};
  case reserve_outcome::short_here:
    throw error{error_kind::budget_unreachable, team->name.str(),
                "this host holds too few tokens at present",
                soonest_retry(budgets.covered_after(demand.team, bound), retry_after)};
  }
  return 0;
}

std::uint64_t tokens_used(const admitted_request& request, std::uint64_t reserved,
                          bool may_have_run, std::uint64_t events) noexcept {
  if (reserved == 0 || !may_have_run)
    return 0;
  return request.terms.generation->prompt_tokens + events * request.event_tokens;
}

void record_send(const request_records& into, const admitted_request& request,
                 const send_record& sent) {
  const placement& place = sent.place;
  into.figures.add(metric::attempts, {request.service});
  into.figures.add(metric::placements_off_cheapest, {request.service}, place.off_cheapest ? 1 : 0);
  into.log.write(
      severity::info, "send_ended", {request.terms.id, request.team_name(), place.endpoint.str()},
      {{log_field::content, content_text(request.content)},
       {log_field::attempt, sent.number},
       {log_field::kind, name_of(sent.end)},
       {log_field::address, place.address},
       {log_field::count, place.candidates},
       {log_field::open, place.expected_open},
       {log_field::age_ms, place.load_age},
       {log_field::unread_tokens, place.unread_before},
       {log_field::missing_tokens, place.missing_tokens},
       {log_field::estimate_ms, static_cast<std::int64_t>(place.estimated_wait_ms.value_or(-1))},
       {log_field::peer, place.fetch_from},
       {log_field::duration_ms, into.time.now() - sent.began}});
}

void record_end(const request_records& into, const admitted_request& request,
                const end_record& ended) {
  const std::string_view kind =
      request.on_route != nullptr ? std::string_view{request.on_route->name} : "none";
  const time_ms received = ended.in.received;
  const std::optional<time_ms> first = ended.answer.first_ready();
  const time_ms duration = into.time.now() - received;
  into.figures.add(metric::requests, {request.team_name(), kind, std::to_string(ended.status)});
  into.figures.observe(metric::request_seconds, {kind}, seconds(duration));
  if (first)
    into.figures.observe(metric::first_token_seconds, {kind}, seconds(*first - received));
  into.log.write(severity::info, "request_ended",
                 {request.terms.id, request.team_name(), ended.last_endpoint},
                 {{log_field::path, kind},
                  {log_field::status, ended.status},
                  {log_field::reason, ended.reason},
                  {log_field::attempt, ended.sends},
                  {log_field::version, request.config ? request.config->version : 0},
                  {log_field::tokens, ended.reserved},
                  {log_field::used, ended.used},
                  {log_field::count, ended.answer.events().events()},
                  {log_field::on_connection, ended.in.on_connection},
                  {log_field::idle_ms, ended.in.idle},
                  {log_field::first_event_ms, first ? (*first - received).count() : -1},
                  {log_field::duration_ms, duration}});
}

} // namespace sedgechute
