#include "relay/impl/planned_stop.hpp"

namespace sedgechute {

planned_stop::planned_stop(const stop_bounds& bounds, const clock& time)
    : bounds_{bounds}, time_{time} {}

void planned_stop::begin() noexcept {
  began_ = time_.now().count();
}

void planned_stop::cut() noexcept {
  end_taking();
  cut_.open();
}

time_ms planned_stop::since() const noexcept {
  return begun() ? time_.now() - time_ms{began_} : time_ms{0};
}

bool planned_stop::notice_over() const noexcept {
  return begun() && since() >= bounds_.notice;
}

// Also checks the clock: after a pause of the machine across the cut, a request's thread may run
// before the thread that calls `cut`.
bool planned_stop::taking() const noexcept {
  return taking_ && since() < cut_after(bounds_);
}

bool planned_stop::may_take(const run_forecast& run) const noexcept {
  return taking() && (!begun() || sedgechute::may_take(bounds_, since(), run));
}

bool planned_stop::may_end(std::size_t open) const noexcept {
  return begun() && sedgechute::may_end(bounds_, since(), open);
}

} // namespace sedgechute
