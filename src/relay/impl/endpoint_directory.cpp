#include "relay/impl/endpoint_directory.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sedgechute {

namespace {

// Weight of one result in the moving average of failures: five failures in a row give 0.67.
constexpr double result_weight = 0.2;

// Half-life of the failure average, after which a failing endpoint is tried again. Crashed engines
// are back within some seconds.
constexpr double failure_half_life_ms = 1500;

// Reports of a host that has been silent for longer are discarded; hosts report once a second.
constexpr time_ms peer_timeout{3000};

// Engines evict cached prefixes: one with room for half a million tokens prefills some 10,000 new
// ones a second at its usual load.
constexpr time_ms prefix_lifetime{25000};

// Start time queries of an endpoint that may have restarted.
// More than one, as a reply may be lost; bounded, as some endpoints never report a start time.
constexpr int max_start_queries = 3;

// A change that is lost would mislead the other hosts until the next full report. Where waits are
// estimated, the reports after it repeat it.
constexpr int use_reports_per_change = 3;

double decayed(double failing, time_ms span) noexcept {
  return failing * std::exp2(-static_cast<double>(span.count()) / failure_half_life_ms);
}

} // namespace

endpoint_directory::endpoint_directory(data_centre_id here, const choice_weights& weights,
                                       const clock& time, random_source random, region_map regions,
                                       const cold_start_bounds& cold_start)
    : here_{std::move(here)}, weights_{weights}, regions_{std::move(regions)}, time_{time},
      others_{peer_timeout}, prefix_index_{prefix_lifetime}, reachability_{reachability_options{}},
      cold_start_{cold_start}, random_{random} {}

void endpoint_directory::put(endpoint_entry entry) {
  std::optional<endpoint_restart> restart;
  {
    const std::scoped_lock lock{mutex_};
    const endpoint_id id = entry.id;
    const time_ms now = time_.now();
    const time_ms cold_until = entry.cold_left > time_ms{} ? now + entry.cold_left : time_ms{};
    restart = take_entry(std::move(entry));
    state& of = endpoints_.at(id);
    of.cold_until = cold_until;
    locate(of);
  }
  notify_restart(restart);
}

void endpoint_directory::notify_restart(const std::optional<endpoint_restart>& restart) const {
  if (!restart)
    return;
  if (on_restart_)
    on_restart_(*restart);
  notify_loss(restart->endpoint, incarnation_of(restart->endpoint, restart->before),
              loss_source::restarted);
}

void endpoint_directory::notify_loss(const endpoint_id& endpoint,
                                     std::optional<endpoint_hash> incarnation,
                                     loss_source source) const {
  if (incarnation && on_loss_)
    on_loss_(endpoint, *incarnation, source);
}

// Wall clocks may be set back, so the values of two start times do not tell which is later. The
// order of the list does: its last entry holds. An endpoint may have reported a start time that the
// list does not show yet; until it does, repeated list entries belong to an earlier incarnation.
std::optional<endpoint_restart> endpoint_directory::take_entry(endpoint_entry entry) {
  const auto [at, first] = endpoints_.try_emplace(entry.id);
  state& of = at->second;
  if (first) {
    const auto listed = entry.started;
    of = new_state(std::move(entry));
    of.listed = listed;
    return std::nullopt;
  }
  const bool ahead_of_list = of.entry.started != of.listed;
  if (!entry.started)
    entry.started = of.entry.started; // the entry has no start time
  else if (ahead_of_list && entry.started == of.listed)
    return std::nullopt;
  else
    of.listed = entry.started;
  if (entry.started == of.entry.started) {
    renew_entry(of, std::move(entry));
    return std::nullopt;
  }
  const auto restart = start_incarnation(of, std::move(entry), restart_source::list);
  if (ahead_of_list)
    suspect_restart(of); // the list may still be behind what the endpoint reported
  return restart;
}

// The software of an endpoint changes with a restart only.
void endpoint_directory::renew_entry(state& of, endpoint_entry entry) {
  if (of.entry.version && entry.version != of.entry.version) {
    (void)start_incarnation(of, std::move(entry), restart_source::list);
    return;
  }
  if (!entry.draining)
    of.draining_since.reset();
  else if (!of.entry.draining)
    of.draining_since = time_.now();
  of.entry = std::move(entry);
  if (of.entry.version)
    of.build = build_of(of.entry.service, *of.entry.version);
}

endpoint_directory::state endpoint_directory::new_state(endpoint_entry entry) {
  state made;
  if (entry.version)
    made.build = build_of(entry.service, *entry.version);
  made.local_incarnation = ++last_local_incarnation_;
  made.hash = incarnation_of(entry.id, entry.started);
  made.affinity_hash = incarnation_of(entry.id, std::nullopt);
  made.entry = std::move(entry);
  made.heard = std::make_shared<last_heard>();
  locate(made);
  expect_brittle(made);
  return made;
}

void endpoint_directory::locate(state& of) const {
  of.evacuated = evacuated_.contains(of.entry.data_centre);
  const auto region = regions_.find(of.entry.data_centre.str());
  of.region = region == regions_.end() ? std::string_view{} : region->second;
}

// The new incarnation has an empty cache and runs nothing, and it may be reachable again. Reports
// of other hosts on the earlier incarnation carry a different hash.
std::optional<endpoint_restart>
endpoint_directory::start_incarnation(state& of, endpoint_entry entry, restart_source found_by) {
  note_build_ended(of.entry);
  const std::optional<time_ms> before = of.entry.started;
  state next = new_state(std::move(entry));
  next.listed = of.listed;
  next.next_start_query = of.next_start_query;
  of = std::move(next);
  suspect_cold(of, time_.now());
  reachability_.forget(of.entry.id);
  if (!before)
    return std::nullopt; // the start time was unknown: this may be the same incarnation
  return endpoint_restart{of.entry.id, found_by, *before, *of.entry.started};
}

endpoint_directory::state* endpoint_directory::find_current(const endpoint_id& id,
                                                            std::uint64_t local_incarnation) {
  const auto at = endpoints_.find(id);
  return at != endpoints_.end() && at->second.local_incarnation == local_incarnation ? &at->second
                                                                                     : nullptr;
}

// A refused or broken connection suggests that the endpoint's process has ended. The list shows a
// restart only after the endpoint has registered and this host has read the entry; either may be
// cut off from the store for long. So the endpoint itself is queried.
void endpoint_directory::suspect_restart(state& of) {
  if (of.entry.started)
    of.start_queries_left = max_start_queries;
}

void endpoint_directory::remove(const endpoint_id& id) {
  std::optional<endpoint_hash> lost;
  {
    const std::scoped_lock lock{mutex_};
    const auto at = endpoints_.find(id);
    if (at == endpoints_.end())
      return;
    if (!at->second.entry.draining && !at->second.leaving && !at->second.said_leaving)
      lost = at->second.hash;
    note_build_ended(at->second.entry);
    endpoints_.erase(at);
    reachability_.forget(id);
  }
  notify_loss(id, lost, loss_source::unlisted);
}

void endpoint_directory::set_drain_grace(time_ms grace) {
  const std::scoped_lock lock{mutex_};
  drain_grace_ = grace;
}

void endpoint_directory::begin_list() {
  const std::scoped_lock lock{mutex_};
  list_followed_since_ = time_.now();
  earlier_builds_.clear();
}

void endpoint_directory::note_listed(const endpoint_entry& entry) {
  const std::scoped_lock lock{mutex_};
  note_build_ended(entry);
}

// More builds than any service has in its life would be written by a faulty program.
void endpoint_directory::note_build_ended(const endpoint_entry& entry) {
  constexpr std::size_t max_builds = 64;
  if (!entry.version)
    return;
  auto& builds = earlier_builds_[entry.service];
  builds[build_of(entry.service, *entry.version)] = time_.now();
  if (builds.size() <= max_builds)
    return;
  builds.clear();
  list_followed_since_ = time_.now();
}

std::optional<build_hash> endpoint_directory::sole_build(const std::string& service,
                                                         time_ms since) const {
  const std::scoped_lock lock{mutex_};
  if (!list_followed_since_ || *list_followed_since_ > since)
    return std::nullopt;
  std::optional<build_hash> sole;
  const auto differs = [&](build_hash build) {
    if (!sole)
      sole = build;
    return *sole != build;
  };
  for (const auto& [id, known] : endpoints_)
    if (known.entry.service == service && (!known.build || differs(*known.build)))
      return std::nullopt;
  if (const auto earlier = earlier_builds_.find(service); earlier != earlier_builds_.end())
    for (const auto& [build, listed] : earlier->second)
      if (listed >= since && differs(build))
        return std::nullopt;
  return sole;
}

std::vector<endpoint_id> endpoint_directory::ids() const {
  const std::scoped_lock lock{mutex_};
  std::vector<endpoint_id> all;
  for (const auto& [id, known] : endpoints_)
    all.push_back(id);
  return all;
}

// An endpoint of a data centre that was evacuated may have become cold meanwhile, and its entry may
// not say so yet.
void endpoint_directory::set_evacuated(const evacuated_centres& centres) {
  const std::scoped_lock lock{mutex_};
  evacuated_ = centres;
  const time_ms now = time_.now();
  for (auto& [id, known] : endpoints_) {
    const bool before = known.evacuated;
    known.evacuated = centres.contains(known.entry.data_centre);
    if (before && !known.evacuated)
      suspect_cold(known, now);
  }
}

void endpoint_directory::set_cold_start(
    std::unordered_map<std::string, cold_start_terms> services) {
  const std::scoped_lock lock{mutex_};
  cold_start_.set_services(std::move(services));
}

void endpoint_directory::set_hosts(const std::string& self,
                                   const std::vector<std::string>& others) {
  std::vector<std::uint64_t> hashes;
  hashes.reserve(others.size());
  for (const std::string& other : others)
    hashes.push_back(stable_hash(other));
  const std::scoped_lock lock{mutex_};
  hosts_ = hashes.size() + 1;
  self_hash_ = stable_hash(self);
  cold_start_.set_hosts(stable_hash(self), std::move(hashes), time_.now());
}

std::size_t endpoint_directory::evacuated() const {
  const std::scoped_lock lock{mutex_};
  return evacuated_.size();
}

std::size_t endpoint_directory::cold() const {
  const std::scoped_lock lock{mutex_};
  const time_ms now = time_.now();
  return static_cast<std::size_t>(
      std::count_if(endpoints_.begin(), endpoints_.end(), [&](const auto& known) {
        return cold_start_.find_terms(known.second.entry.service) != nullptr &&
               is_cold(known.second, now);
      }));
}

void endpoint_directory::suspect_cold(state& of, time_ms now) const {
  if (const cold_start_terms* terms = cold_start_.find_terms(of.entry.service))
    of.maybe_cold_until = now + terms->duration;
}

bool endpoint_directory::cold_start_allows(const state& of, time_ms now) const {
  if (!is_cold(of, now))
    return true;
  const cold_start_terms* terms = cold_start_.find_terms(of.entry.service);
  return terms == nullptr || of.sends.count(now) < cold_start_.quota(*terms, of.affinity_hash, now);
}

replica_candidate endpoint_directory::candidate_of(const state& of, time_ms now) const {
  replica_candidate candidate;
  candidate.open_here = of.open;
  candidate.unread_tokens_here = of.unread_tokens;
  const endpoint_use elsewhere = others_.at(of.hash);
  candidate.open_elsewhere = elsewhere.open;
  candidate.unread_tokens_elsewhere = elsewhere.unread_tokens;
  candidate.load = of.load;
  candidate.load_age = now - of.load_at;
  candidate.sent_since_load = of.sent_since_load;
  candidate.slots = std::max<std::uint64_t>(of.entry.slots, 1);
  candidate.failing = decayed(of.failing, now - of.failed_at);
  candidate.other_centre = of.entry.data_centre != here_;
  return candidate;
}

bool endpoint_directory::may_serve(const state& of, const placement_request& request,
                                   time_ms now) const {
  if (of.entry.service != request.service || (request.build && !is_of_build(of, *request.build)))
    return false;
  if (!reachability_.reachable(of.entry.id, of.entry.data_centre))
    return false;
  if (!allows(request.residency, of.region) || !cold_start_allows(of, now) ||
      limit_allows(of, now) == limit_permit::none)
    return false;
  if (!of.pause.allows(now))
    return false;
  if (of.refusals_borne.holds() && (request.refused_by_brittle || now < of.full_until))
    return false;
  return std::find(request.avoid.begin(), request.avoid.end(), of.hash) == request.avoid.end();
}

void endpoint_directory::gather_candidates(const placement_request& request, candidate_set& into,
                                           time_ms now) {
  const auto gather = [&](const auto& usable) {
    for (auto& [id, known] : endpoints_) {
      if (!usable(known) || !may_serve(known, request, now))
        continue;
      into.states.push_back(&known);
      into.candidates.push_back(candidate_of(known, now));
    }
  };
  gather([](const state& of) { return is_usable(of); });
  if (into.states.empty())
    gather([&](const state& of) {
      return (request.build || of.said_leaving) && is_last_resort(of, now);
    });
  // The first of equal candidates is chosen. Without a random rotation all hosts would choose the
  // same one.
  if (!into.states.empty()) {
    const auto turn = static_cast<std::ptrdiff_t>(random_.below(into.states.size()));
    std::rotate(into.states.begin(), into.states.begin() + turn, into.states.end());
    std::rotate(into.candidates.begin(), into.candidates.begin() + turn, into.candidates.end());
  }
  if (request.generation == nullptr)
    return;
  into.prefixes = shared_prefixes(*request.generation);
  if (!into.prefixes.empty())
    into.shared_tokens = into.prefixes.back().tokens;
}

// Rendezvous hashing gives each prefix a home endpoint, the one of highest weight, which is the
// same on all hosts without communication. Where prefixes were actually sent, hosts report to each
// other; an endpoint without the prefix fetches it from one that has it.
void endpoint_directory::compare_prefixes(candidate_set& among, time_ms now) const {
  if (among.shared_tokens == 0)
    return;
  std::uint64_t max_kept = 0;
  std::size_t home = 0;
  std::uint64_t home_weight = 0;
  for (std::size_t i = 0; i < among.states.size(); ++i) {
    const endpoint_hash hash = among.states[i]->hash;
    const std::uint64_t kept = prefix_index_.tokens_at(among.prefixes, hash, now);
    among.candidates[i].missing_tokens = among.shared_tokens - kept;
    if (kept >= max_kept) {
      max_kept = kept;
      among.prefix_holder = i;
    }
    const std::uint64_t weight =
        mix_hash(among.prefixes.back().hash, among.states[i]->affinity_hash);
    if (i == 0 || weight > home_weight) {
      home = i;
      home_weight = weight;
    }
  }
  for (std::size_t i = 0; i < among.states.size(); ++i) {
    among.candidates[i].fetchable_tokens =
        max_kept - std::min(max_kept, among.shared_tokens - among.candidates[i].missing_tokens);
    among.candidates[i].home = i == home;
  }
}

std::optional<placement> endpoint_directory::place(const placement_request& request) {
  const std::scoped_lock lock{mutex_};
  const time_ms now = time_.now();
  candidate_set among;
  gather_candidates(request, among, now);
  compare_prefixes(among, now);
  const std::uint64_t prompt =
      request.generation != nullptr ? request.generation->prompt_tokens : 0;
  if (const auto estimated = services_.find(request.service); estimated != services_.end()) {
    const auto choice = choose_by_estimate(among, prompt, estimated->second, now);
    if (!choice)
      return std::nullopt;
    placement place = take_place(among, choice->chosen, prompt, now);
    place.estimated_wait_ms = choice->wait_ms;
    place.off_cheapest = choice->off_cheapest;
    open_id& request_there = among.states[choice->chosen]->open_ids.back();
    request_there.met = choice->met;
    request_there.work_time = choice->work_time;
    return place;
  }
  const auto chosen = choose_replica(among.candidates, prompt, weights_);
  if (!chosen)
    return std::nullopt;
  return take_place(among, *chosen, prompt, now);
}

placement endpoint_directory::take_place(const candidate_set& among, std::size_t chosen,
                                         std::uint64_t prompt_tokens, time_ms now) {
  state& at = *among.states[chosen];
  const replica_candidate& candidate = among.candidates[chosen];
  const std::uint64_t kept =
      among.shared_tokens - candidate.missing_tokens + candidate.fetchable_tokens;
  const std::uint64_t unread = prompt_tokens - std::min(prompt_tokens, kept);
  placement place;
  place.endpoint = at.entry.id;
  place.incarnation = at.hash;
  place.local_incarnation = at.local_incarnation;
  place.address = at.entry.address;
  place.build = at.build;
  place.prompt_tokens = unread;
  place.candidates = among.candidates.size();
  place.expected_open = static_cast<std::uint64_t>(expected_open(candidate, weights_));
  place.unread_before = candidate.unread_tokens_here + candidate.unread_tokens_elsewhere;
  place.missing_tokens = candidate.missing_tokens;
  place.load_age = candidate.load ? candidate.load_age : time_ms{-1};
  if (candidate.fetchable_tokens > 0)
    place.fetch_from = among.states[among.prefix_holder]->entry.address;
  place.limit_trial = limit_allows(at, now) == limit_permit::trial;
  if (place.limit_trial)
    at.limit.begin_trial();
  place.pause_trial = at.pause.on_trial(now);
  if (place.pause_trial)
    at.pause.begin_trial();
  place.brittle = at.refusals_borne.holds();
  place.grant = random_();
  place.heard = at.heard;
  place.data_centre = at.entry.data_centre;
  place.affinity = at.affinity_hash;
  at.open_ids.push_back({.id = place.grant, .placed = now, .answered = {}});
  ++at.open;
  ++at.sent_since_load;
  at.sends.assign();
  at.unread_tokens += unread;
  for (const prompt_prefix& prefix : among.prefixes) {
    const prefix_location location{prefix.hash, at.hash};
    prefix_index_.note(location, now);
    own_prefix_locations_.push_back(location);
  }
  return place;
}

bool endpoint_directory::note_sent(placement& place) {
  const std::scoped_lock lock{mutex_};
  const time_ms now = time_.now();
  state* const at = find_current(place.endpoint, place.local_incarnation);
  if (at != nullptr && !may_send(*at, now))
    return false;
  place.sent = true;
  place.sent_at = now;
  if (at != nullptr)
    at->sends.sent(now);
  return true;
}

void endpoint_directory::note_prompt_read(const placement& place) {
  const std::scoped_lock lock{mutex_};
  state* const at = find_current(place.endpoint, place.local_incarnation);
  if (at == nullptr)
    return;
  at->unread_tokens -= std::min(at->unread_tokens, place.prompt_tokens);
  at->pause.note_taken(place.sent_at);
  note_answered(*at, place.grant, time_.now());
}

void endpoint_directory::note_load(const placement& place, const load_report& load) {
  const std::scoped_lock lock{mutex_};
  state* at = find_current(place.endpoint, place.local_incarnation);
  if (at == nullptr)
    return;
  at->load = load;
  at->load_at = time_.now();
  at->sent_since_load = 0;
  if (!load.work_time_percent)
    return;
  at->work_time.note(*load.work_time_percent, at->load_at);
  const auto [service, first] = services_.try_emplace(
      at->entry.service,
      estimated_service{service_times{initial_wait_weights(weights_)}, request_rate{}});
  note_hidden_load(*at, service->second.times);
}

void endpoint_directory::note_malformed_load(const placement& place, const std::string& report) {
  {
    const std::scoped_lock lock{mutex_};
    state* const at = find_current(place.endpoint, place.local_incarnation);
    if (at == nullptr || std::exchange(at->malformed_load, true))
      return;
  }
  if (on_malformed_load_)
    on_malformed_load_(place.endpoint, report);
}

void endpoint_directory::note_leaving(const placement& place) {
  {
    const std::scoped_lock lock{mutex_};
    state* const at = find_current(place.endpoint, place.local_incarnation);
    if (at == nullptr || std::exchange(at->leaving, true))
      return;
  }
  notify_loss(place.endpoint, place.incarnation, loss_source::replaced);
}

void endpoint_directory::note_result(state& of, bool good, time_ms now) const {
  const double before = decayed(of.failing, now - of.failed_at);
  of.failing = before + ((good ? 0.0 : 1.0) - before) * result_weight;
  of.failed_at = now;
}

void endpoint_directory::release(const placement& place, send_outcome outcome, bool started) {
  cut_detector::change change{};
  {
    const std::scoped_lock lock{mutex_};
    state* const at = find_current(place.endpoint, place.local_incarnation);
    if (at == nullptr)
      return;
    end_placement(*at, place, outcome, started);
    change = observe_paths(time_.now());
  }
  notify_cut(change);
}

void endpoint_directory::end_placement(state& of, const placement& place, send_outcome outcome,
                                       bool started) {
  of.open -= std::min<std::uint64_t>(of.open, 1);
  if (outcome == send_outcome::answered)
    for (const open_id& one : of.open_ids)
      if (one.id == place.grant)
        learn_speed(of, place, one, time_.now());
  std::erase_if(of.open_ids, [&](const open_id& one) { return one.id == place.grant; });
  if (!place.sent)
    of.sends.cancel();
  if (place.limit_trial)
    of.limit.end_trial();
  if (place.pause_trial)
    of.pause.end_trial();
  if (!started)
    of.unread_tokens -= std::min(of.unread_tokens, place.prompt_tokens);
  const time_ms now = time_.now();
  switch (outcome) {
  case send_outcome::unreachable:
  case send_outcome::silent:
    suspect_restart(of);
    reachability_.note_unreachable(place.endpoint, of.entry.data_centre,
                                   outcome == send_outcome::silent, now);
    if (outcome == send_outcome::unreachable)
      (void)note_refused(of, std::nullopt, now);
    return;
  case send_outcome::withheld:
  case send_outcome::stalled: // noted when it was found silent
  case send_outcome::superseded:
  case send_outcome::caller_left:
  case send_outcome::host_stopped:
    return; // not a result of the endpoint
  case send_outcome::not_run:
    break; // reachable, but full or leaving: no failure
  case send_outcome::answered:
    note_result(of, true, now);
    if (place.unframed)
      suspect_loss(of); // it may have crashed instead of ending the answer
    break;
  case send_outcome::failed:
    suspect_restart(of);
    suspect_loss(of);
    of.refusals.note_broken(now);
    note_result(of, false, now);
    break;
  case send_outcome::own_error:
  case send_outcome::timed_out:
    note_result(of, false, now);
    break;
  }
  // An old connection may live on where no new one can be opened.
  if (!place.reused || !reachability_.is_unreachable(place.endpoint))
    reachability_.note_reachable(place.endpoint, of.entry.data_centre);
}

cut_detector::change endpoint_directory::observe_paths(time_ms now) {
  const path_counts all = count_paths([](const state&) { return true; });
  return cut_detector_.observe(all.usable, all.unreachable, now);
}

void endpoint_directory::notify_cut(cut_detector::change change) const {
  if (on_cut_ && change != cut_detector::change::none)
    on_cut_();
}

std::vector<use_entry> endpoint_directory::own_use(bool changed_only) {
  const std::scoped_lock lock{mutex_};
  others_.remove_silent(time_.now());
  prefix_index_.remove_expired(time_.now());
  std::vector<use_entry> entries;
  for (auto& [id, known] : endpoints_) {
    const endpoint_use use{static_cast<std::uint32_t>(known.open),
                           static_cast<std::uint32_t>(known.unread_tokens)};
    bool unchanged = changed_only ? use == known.reported : use == endpoint_use{};
    if (changed_only && known.work_time.noted()) {
      known.use_repeats = unchanged ? known.use_repeats - 1 : use_reports_per_change;
      unchanged = known.use_repeats <= 0;
    }
    known.reported = use;
    if (!unchanged)
      entries.push_back({known.hash, use});
  }
  return entries;
}

std::vector<prefix_location> endpoint_directory::take_own_prefix_locations() {
  const std::scoped_lock lock{mutex_};
  return std::exchange(own_prefix_locations_, {});
}

void endpoint_directory::take_report(const use_report& report) {
  const std::scoped_lock lock{mutex_};
  const time_ms now = time_.now();
  others_.take(report, now);
  for (const prefix_location& location : report.prefix_locations)
    prefix_index_.note(location, now);
}

std::size_t endpoint_directory::ready(const std::string& service) const {
  const std::scoped_lock lock{mutex_};
  return static_cast<std::size_t>(
      std::count_if(endpoints_.begin(), endpoints_.end(), [&](const auto& known) {
        return known.second.entry.service == service && is_usable(known.second);
      }));
}

endpoint_directory::paths endpoint_directory::paths_to(const std::string& service,
                                                       std::optional<build_hash> build) const {
  const std::scoped_lock lock{mutex_};
  const path_counts counts = count_paths([&](const state& one) {
    return one.entry.service == service && (!build || one.build == build);
  });
  if (counts.usable == 0)
    return paths::no_endpoint;
  if (counts.unreachable == counts.usable)
    return paths::none;
  return counts.unreachable == 0 ? paths::all : paths::some;
}

std::optional<std::string> endpoint_directory::service_of(build_hash build) const {
  const std::scoped_lock lock{mutex_};
  const time_ms now = time_.now();
  for (const auto& [id, known] : endpoints_)
    if (known.build == build && (is_usable(known) || is_last_resort(known, now)))
      return known.entry.service;
  return std::nullopt;
}

bool endpoint_directory::cut_off() const {
  const std::scoped_lock lock{mutex_};
  return cut_detector_.cut_off();
}

std::size_t endpoint_directory::size() const {
  const std::scoped_lock lock{mutex_};
  return endpoints_.size();
}

} // namespace sedgechute
