#include "relay/impl/path_evidence.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

// Between the two refusals. A path that is lost and back within it would look like a death.
constexpr time_ms max_span{1000};

// One endpoint may be reached although the paths to all others are lost.
constexpr std::size_t min_controls = 2;

// A single endpoint that refuses connections is more likely to be dead itself.
constexpr std::size_t min_endpoints = 2;

// All endpoints may be silent for a moment although the paths are sound.
constexpr time_ms confirmation_time{500};

// After a connection has broken, its endpoint is not known to be reached for so long.
constexpr time_ms broken_connection_timeout{1000};

// Rounds of probes, of other endpoints and then of the one that refused a connection.
constexpr int max_confirmations = 3;
constexpr time_ms confirmation_interval{200};

} // namespace

std::optional<time_ms> refusal_history::note_refused(time_ms now) {
  if (!refused_at_)
    confirmations_left_ = max_confirmations;
  return std::exchange(refused_at_, now);
}

bool refusal_history::recently_broken(time_ms now) const noexcept {
  return broken_at_ && now - *broken_at_ <= broken_connection_timeout;
}

void refusal_history::begin_confirmation(time_ms now) noexcept {
  --confirmations_left_;
  next_confirmation_ = now + confirmation_interval;
}

void path_evidence::note_reached(const endpoint_id& endpoint, const data_centre_id& centre,
                                 time_ms began, time_ms now) {
  std::erase_if(reached_, [&](const auto& one) { return now - one.second.ended > max_span; });
  reached_.insert_or_assign(endpoint, reached_endpoint{centre, began, now});
}

bool path_evidence::proves_death(const repeated_refusal& refusal) const {
  const bool most_reached = 2 * refusal.unreachable <= refusal.others + 1;
  if (!most_reached || refusal.began - refusal.refused_before > max_span)
    return false;
  std::size_t reached = 0;
  std::size_t reached_near = 0;
  for (const auto& [endpoint, one] : reached_) {
    if (one.began < refusal.refused_before || one.ended > refusal.began)
      continue;
    ++reached;
    reached_near += one.centre == refusal.centre ? 1 : 0;
  }
  return reached >= std::min(min_controls, refusal.others) &&
         reached_near >= std::min<std::size_t>(1, refusal.others_near);
}

cut_detector::change cut_detector::observe(std::size_t usable, std::size_t unreachable,
                                           time_ms now) {
  const bool all = usable >= min_endpoints && unreachable == usable;
  if (all && !std::exchange(all_unreachable_, all))
    since_ = now;
  all_unreachable_ = all;
  const bool cut = all && (cut_off_ || now - since_ >= confirmation_time);
  if (std::exchange(cut_off_, cut) == cut)
    return change::none;
  return cut ? change::begun : change::ended;
}

} // namespace sedgechute
