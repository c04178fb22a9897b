#include "relay/impl/crash_evidence.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

bool crash_evidence::note_cut(const endpoint_id& endpoint, endpoint_hash incarnation,
                              const broken_run& run, time_ms now) {
  const auto [at, first] = incarnations_.try_emplace(incarnation, incarnation_state{endpoint});
  if (at->second.lost)
    return true;
  if (cuts_ < options_.max_cut_runs) {
    at->second.cuts.push_back({run, now});
    ++cuts_;
  }
  return false;
}

std::vector<broken_run> crash_evidence::note_lost(const endpoint_id& endpoint,
                                                  endpoint_hash incarnation, loss_source source,
                                                  time_ms now) {
  const auto [at, first] = incarnations_.try_emplace(incarnation, incarnation_state{endpoint});
  incarnation_state& of = at->second;
  of.lost = true;
  of.lost_at = now;
  const time_ms window =
      source == loss_source::unlisted ? options_.list_proof_window : options_.proof_window;
  std::vector<broken_run> runs;
  for (const cut& one : std::exchange(of.cuts, {})) {
    --cuts_;
    if (now - one.at <= window)
      runs.push_back(one.run);
  }
  return runs;
}

std::vector<broken_run> crash_evidence::note_alive(const endpoint_id& endpoint,
                                                   endpoint_hash incarnation, time_ms sent) {
  std::vector<broken_run> whole;
  const auto at = incarnations_.find(incarnation);
  if (at == incarnations_.end() || at->second.endpoint != endpoint)
    return whole;
  for (const cut& one : at->second.cuts)
    if (one.at < sent && one.run.answered)
      whole.push_back(one.run);
  cuts_ -= std::erase_if(at->second.cuts, [&](const cut& one) { return one.at < sent; });
  if (at->second.lost && at->second.lost_at < sent)
    at->second.lost = false;
  return whole;
}

void crash_evidence::forget_cuts() noexcept {
  for (auto& [incarnation, of] : incarnations_)
    of.cuts.clear();
  cuts_ = 0;
}

void crash_evidence::expire(time_ms now) {
  for (auto& [incarnation, of] : incarnations_) {
    cuts_ -= std::erase_if(
        of.cuts, [&](const cut& one) { return now - one.at > options_.list_proof_window; });
    if (now - of.lost_at > options_.proof_window)
      of.lost = false;
  }
  std::erase_if(incarnations_,
                [](const auto& known) { return known.second.cuts.empty() && !known.second.lost; });
}

} // namespace sedgechute
