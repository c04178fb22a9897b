#include "relay/impl/endpoint_directory.hpp"

namespace sedgechute {

namespace {

// Endpoints per round of probes. A round takes some milliseconds when connections are refused, and
// up to a second when endpoints are silent.
constexpr std::size_t max_probes = 6;

// Probes of an endpoint after a broken connection. A crashing process may close its connections
// some time before its port.
constexpr int max_loss_checks = 2;
constexpr time_ms loss_check_interval{400};

constexpr time_ms start_query_interval{2000};

} // namespace

void endpoint_directory::suspect_loss(state& of) {
  of.checks_left = max_loss_checks;
}

// A host that is cut off by resets is refused by all endpoints. So a refusal proves a death only
// when the host reaches other endpoints and is then refused again; that is found out by probes.
bool endpoint_directory::note_refused(state& of, std::optional<time_ms> began, time_ms now) const {
  const std::optional<time_ms> before = of.refusals.note_refused(now);
  if (!before || !began)
    return false;
  const data_centre_id& centre = of.entry.data_centre;
  const path_counts all = count_paths([](const state&) { return true; });
  const path_counts near =
      count_paths([&](const state& one) { return one.entry.data_centre == centre; });
  const path_counts broken =
      count_paths([&](const state& one) { return one.refusals.recently_broken(now); });
  const std::size_t itself = is_usable(of) ? 1 : 0;
  const std::size_t broken_only = broken.usable - broken.unreachable;
  const bool dead =
      path_evidence_.proves_death({centre, *before, *began, near.usable - itself,
                                   all.usable - itself, all.unreachable + broken_only});
  if (dead)
    of.refusals.end_confirmation();
  return dead;
}

std::vector<const endpoint_directory::state*>
endpoint_directory::controls_of(const state& suspect) const {
  const state* near = nullptr;
  const state* any = nullptr;
  for (const auto& [id, known] : endpoints_) {
    if (&known == &suspect || !is_usable(known) || known.refusals.refused() ||
        !reachability_.reachable(id, known.entry.data_centre))
      continue;
    const bool in_centre = known.entry.data_centre == suspect.entry.data_centre;
    (near == nullptr && in_centre ? near : any) = &known;
  }
  std::vector<const state*> controls;
  for (const state* const one : {near, any})
    if (one != nullptr)
      controls.push_back(one);
  return controls;
}

endpoint_directory::probe endpoint_directory::probe_of(const state& of, time_ms now) {
  return {of.entry.id, of.entry.address, of.local_incarnation, false, now};
}

void endpoint_directory::add_confirmations(std::vector<probe>& probes, time_ms now) {
  for (auto& [id, known] : endpoints_) {
    if (!known.refusals.confirmation_due(now))
      continue;
    const std::vector<const state*> controls = controls_of(known);
    if (controls.empty() || probes.size() + controls.size() + 1 > max_probes)
      continue;
    known.refusals.begin_confirmation(now);
    for (const state* const control : controls)
      probes.push_back(probe_of(*control, now));
    probes.push_back(probe_of(known, now));
  }
}

std::vector<endpoint_directory::probe> endpoint_directory::due_probes() {
  const std::scoped_lock lock{mutex_};
  const time_ms now = time_.now();
  std::vector<probe> probes;
  add_confirmations(probes, now);
  for (const endpoint_id& id : reachability_.due(now)) {
    const auto at = endpoints_.find(id);
    if (at == endpoints_.end())
      reachability_.forget(id);
    else
      probes.push_back({id, at->second.entry.address, at->second.local_incarnation,
                        at->second.start_queries_left > 0 && !at->second.evacuated &&
                            !at->second.pause.holds(now),
                        now});
  }
  for (auto& [id, known] : endpoints_) {
    const bool query = known.start_queries_left > 0 && known.next_start_query <= now &&
                       !known.pause.holds(now); // a query is a request as well
    const bool check = known.checks_left > 0 && known.next_check <= now;
    if ((!query && !check) || known.evacuated || probes.size() >= max_probes)
      continue;
    if (!reachability_.reachable(id, known.entry.data_centre))
      continue; // queried when a probe reaches it
    if (query)
      known.next_start_query = now + start_query_interval;
    known.checks_left -= check ? 1 : 0;
    known.next_check = now + loss_check_interval;
    probes.push_back({id, known.entry.address, known.local_incarnation, query, now});
  }
  return probes;
}

void endpoint_directory::note_probe(const probe& of, bool reached, bool silent) {
  std::optional<endpoint_hash> lost;
  cut_detector::change change{};
  {
    const std::scoped_lock lock{mutex_};
    state* const at = find_current(of.endpoint, of.local_incarnation);
    if (at == nullptr)
      return;
    const data_centre_id& centre = at->entry.data_centre;
    const time_ms now = time_.now();
    if (reached) {
      reachability_.note_reachable(of.endpoint, centre);
      path_evidence_.note_reached(of.endpoint, centre, of.began, now);
      at->refusals.note_reached();
    } else {
      reachability_.note_unreachable(of.endpoint, centre, silent, now);
      at->checks_left = 0;
      // An endpoint that has said that it leaves ends as it should.
      if (!silent && note_refused(*at, of.began, now) && !at->said_leaving)
        lost = at->hash;
    }
    change = observe_paths(now);
  }
  notify_cut(change);
  notify_loss(of.endpoint, lost, loss_source::refused);
}

// A reply to a probe of an earlier local incarnation is ignored as it may be outdated.
void endpoint_directory::note_start_time(const probe& of, std::optional<time_ms> started) {
  std::optional<endpoint_restart> restart;
  {
    const std::scoped_lock lock{mutex_};
    state* at = find_current(of.endpoint, of.local_incarnation);
    if (at == nullptr)
      return;
    at->start_queries_left = started ? 0 : std::max(at->start_queries_left - 1, 0);
    if (!started || started == at->entry.started)
      return;
    endpoint_entry entry = at->entry;
    entry.started = started;
    entry.draining = false;
    entry.version.reset();
    restart = start_incarnation(*at, std::move(entry), restart_source::endpoint);
  }
  notify_restart(restart);
}

} // namespace sedgechute
