#include "relay/impl/request_admission.hpp"

#include <string>
#include <utility>

namespace sedgechute {

request_flow flow_of(const admitted_request& request) {
  return {priority_of(*request.on_route, request.team), std::string{request.team_name()}};
}

request_admission::request_admission(host_pressure pressure, const retry_hint_options& hints,
                                     const clock& time)
    : pressure_{std::move(pressure)}, hints_{hints}, time_{time} {}

std::optional<double> request_admission::selective_fraction(const config_ptr& config) const {
  return is_selective(config) ? std::optional{pressure_.refused_fraction()} : std::nullopt;
}

bool request_admission::may_shed(const config_ptr& config) const {
  if (const auto fraction = selective_fraction(config))
    return *fraction > 0;
  return pressure_.sheds && pressure_.sheds();
}

// Where the draw decides, `may_shed` has drawn already.
bool request_admission::sheds(const admitted_request& request) {
  const auto fraction = selective_fraction(request.config);
  if (!fraction)
    return true;
  const request_flow flow = flow_of(request);
  const std::uint64_t mark = stable_hash(request.terms.id);
  const std::scoped_lock lock{mutex_};
  return shedding_.refuses(flow, mark, *fraction, time_.now(), request.returning);
}

void request_admission::note_accepted(const admitted_request& request) {
  if (!is_selective(request.config))
    return;
  const request_flow flow = flow_of(request);
  const std::scoped_lock lock{mutex_};
  shedding_.note(flow, time_.now());
}

std::optional<std::uint64_t> request_admission::note_refused() {
  constexpr time_ms interval{1000}; // a line per refusal would cost more than the refusals do
  const time_ms now = time_.now();
  const std::scoped_lock lock{mutex_};
  ++refused_;
  if (logged_at_ && now - *logged_at_ < interval)
    return std::nullopt;
  logged_at_ = now;
  return std::exchange(refused_, 0);
}

double request_admission::refused_fraction() const {
  return pressure_.refused_fraction ? pressure_.refused_fraction() : 0;
}

time_ms request_admission::retry_after(const admitted_request& request, double drawn) {
  const auto busy_for = pressure_.busy_for ? pressure_.busy_for() : std::nullopt;
  const time_ms now = time_.now();
  const time_ms left = request.deadline - now;
  if (!is_selective(request.config))
    return retry_after_pressure(left, busy_for, drawn, hints_);
  const request_flow flow = flow_of(request);
  const std::scoped_lock lock{mutex_};
  return shedding_.return_after(flow,
                                {.earliest = retry_after_pressure(left, busy_for, 0, hints_),
                                 .longest = time_ms{left.count() / hints_.usable_divisor},
                                 .drawn = drawn},
                                now);
}

} // namespace sedgechute
