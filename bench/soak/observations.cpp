#include "observations.hpp"

#include <array>

namespace sedgechute::soak {

namespace {

// So often a lasting disturbance is written down; far below the spans that the promises name.
constexpr time_ms apart{100};

void note_moment(std::vector<time_ms>& moments, time_ms now) {
  if (moments.empty() || now - moments.back() >= apart)
    moments.push_back(now);
}

} // namespace

const call_traits& traits_of(call_kind kind) noexcept {
  static constexpr std::array<call_traits, 4> traits{{{"/safe/", "app", false, false, 2},
                                                      {"/unsafe/", "app", true, false, 1},
                                                      {"/once/", "lm", true, true, 1},
                                                      {"/stream/", "lm", false, true, 2}}};
  return traits.at(static_cast<std::size_t>(kind));
}

void recorder::note(sent_request seen) {
  const std::scoped_lock lock{mutex_};
  seen_.sent.push_back(std::move(seen));
}

void recorder::note(arrival seen) {
  const std::scoped_lock lock{mutex_};
  seen_.arrivals.push_back(std::move(seen));
}

void recorder::note(outcome seen) {
  const std::scoped_lock lock{mutex_};
  seen_.outcomes.push_back(std::move(seen));
}

void recorder::note(budget_step seen) {
  const std::scoped_lock lock{mutex_};
  seen_.budget.push_back(std::move(seen));
}

void recorder::note(publication seen) {
  const std::scoped_lock lock{mutex_};
  seen_.published.push_back(seen);
}

void recorder::acknowledged(time_ms now) {
  const std::scoped_lock lock{mutex_};
  seen_.published.back().acknowledged = now;
}

void recorder::note(process_end seen) {
  const std::scoped_lock lock{mutex_};
  seen_.ends.push_back(seen);
}

void recorder::note(readiness seen) {
  const std::scoped_lock lock{mutex_};
  seen_.ready.push_back(seen);
}

void recorder::note(disruption seen) {
  const std::scoped_lock lock{mutex_};
  seen_.disruptions.push_back(std::move(seen));
}

void recorder::note(brittle_fall seen) {
  const std::scoped_lock lock{mutex_};
  seen_.brittle_falls.push_back(std::move(seen));
}

void recorder::note(endpoint_harm seen) {
  const std::scoped_lock lock{mutex_};
  seen_.endpoint_harms.push_back(std::move(seen));
}

void recorder::disturbed(std::size_t host, time_ms now) {
  const std::scoped_lock lock{mutex_};
  if (seen_.host_disturbed.size() <= host)
    seen_.host_disturbed.resize(host + 1);
  note_moment(seen_.host_disturbed[host], now);
}

void recorder::store_disturbed(time_ms now) {
  const std::scoped_lock lock{mutex_};
  note_moment(seen_.store_disturbed, now);
}

void recorder::cut_off(std::size_t host, time_ms now) {
  const std::scoped_lock lock{mutex_};
  seen_.path_changes.push_back({host, true, now});
}

void recorder::reaches_endpoints(std::size_t host, time_ms now) {
  const std::scoped_lock lock{mutex_};
  seen_.path_changes.push_back({host, false, now});
}

void recorder::only_planned() {
  const std::scoped_lock lock{mutex_};
  seen_.only_planned = true;
}

observations recorder::so_far() const {
  const std::scoped_lock lock{mutex_};
  return seen_;
}

} // namespace sedgechute::soak
