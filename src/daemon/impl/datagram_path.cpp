#include "daemon/impl/datagram_path.hpp"

#include <algorithm>

namespace sedgechute {

bool datagram_path::carries(time_ms now) {
  if (silent_ || sent_ == acknowledged_)
    return !silent_;
  const time_ms silence = now - unacknowledged_since_;
  const bool many = sent_ - acknowledged_ >= policy_.silent_after && silence >= policy_.silent_for;
  silent_ = many || silence >= policy_.longest_silence;
  return !silent_;
}

bool datagram_path::probe_due(time_ms now) const noexcept {
  return silent_ && now - last_probe_ >= policy_.probe_interval;
}

std::uint64_t datagram_path::send(time_ms now) noexcept {
  if (sent_ == acknowledged_)
    unacknowledged_since_ = now;
  last_probe_ = now;
  return ++sent_;
}

void datagram_path::hear(std::uint64_t number, std::uint64_t acknowledged, bool probe,
                         time_ms now) noexcept {
  if (number > heard_) {
    if (heard_ == told_)
      untold_since_ = now;
    heard_ = number;
  }
  probed_ = probed_ || (probe && number > 0);
  // A late datagram acknowledges less than is known; one from nobody knows where, more than was
  // sent.
  if (acknowledged <= acknowledged_)
    return;
  acknowledged_ = std::min(acknowledged, sent_);
  unacknowledged_since_ = now;
  silent_ = false;
}

bool datagram_path::acknowledgement_due(time_ms now) const noexcept {
  if (probed_)
    return true;
  return heard_ > told_ && (heard_ - told_ >= policy_.acknowledge_after ||
                            now - untold_since_ >= policy_.acknowledge_within);
}

std::uint64_t datagram_path::acknowledge() noexcept {
  told_ = heard_;
  probed_ = false;
  return heard_;
}

} // namespace sedgechute
