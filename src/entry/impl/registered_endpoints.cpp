#include "entry/impl/registered_endpoints.hpp"

#include <iterator>
#include <utility>

namespace sedgechute {

namespace {

std::uint64_t content_of(const endpoint_entry& entry) {
  std::uint64_t hash = stable_hash(entry.service);
  for (const std::string& text :
       {entry.address, entry.data_centre.str(), entry.version.value_or("")})
    hash = mix_hash(hash, stable_hash(text));
  hash = mix_hash(hash, entry.slots);
  return mix_hash(hash, static_cast<std::uint64_t>(entry.cold_left.count()));
}

entry_stamp stamp_of(const endpoint_entry& entry) {
  return {entry.started, entry.sequence.value_or(0), content_of(entry), entry.draining};
}

} // namespace

registered_endpoints::registered_endpoints(endpoint_directory& endpoints, time_ms settle,
                                           entry_faults& faults, structured_log& log)
    : endpoints_{endpoints}, settle_{settle}, faults_{faults}, log_{log} {}

void registered_endpoints::apply(const endpoint_changes& changes, bool all, time_ms now) {
  const effective_changes last = select_effective(changes, now);
  for (const endpoint_change& change : changes.changes) {
    const auto at = last.find(change.id);
    if (change.entry && (at == last.end() || at->second != &change))
      endpoints_.note_listed(*change.entry); // replaced or older than what this host knows
  }
  for (const auto& [id, change] : last)
    apply(*change);
  if (!all)
    return;
  std::set<endpoint_id> missing;
  for (const auto& [id, service] : services_)
    missing.insert(id);
  for (const auto& [id, entry] : rejected_)
    missing.insert(id);
  for (const endpoint_change& change : changes.changes)
    missing.erase(change.id);
  for (const endpoint_id& id : missing)
    lapse(id);
}

// A write may be executed behind later ones, also behind those that are read together with it, so
// every change is classified before the last of each endpoint is applied.
registered_endpoints::effective_changes
registered_endpoints::select_effective(const endpoint_changes& changes, time_ms now) {
  effective_changes last;
  for (const endpoint_change& change : changes.changes)
    if (takes_effect(change, now))
      last[change.id] = &change;
  return last;
}

bool registered_endpoints::takes_effect(const endpoint_change& change, time_ms now) {
  if (change.entry) {
    const entry_verdict verdict = classify_and_record(*change.entry, now);
    if (is_rejected(verdict))
      reject(*change.entry, verdict, now);
    else
      rejected_.erase(change.id);
    return verdict == entry_verdict::newest;
  }
  rejected_.erase(change.id);
  if (change.fault.empty())
    histories_.record_removal(change.id);
  else
    histories_.record_unusable(change.id);
  return true;
}

entry_verdict registered_endpoints::classify_and_record(const endpoint_entry& entry, time_ms now) {
  if (!entry.sequence)
    return entry_verdict::newest;
  const entry_stamp stamp = stamp_of(entry);
  const entry_verdict verdict = histories_.classify(entry.id, stamp);
  histories_.record(entry.id, stamp, verdict, now);
  return verdict;
}

void registered_endpoints::reject(const endpoint_entry& entry, entry_verdict verdict, time_ms now) {
  rejected_entries& of = rejected_[entry.id];
  const entry_stamp stamp = stamp_of(entry);
  const entry_verdict among = sedgechute::classify(of.history, stamp);
  record(of.history, stamp, among, now);
  if (among == entry_verdict::newest)
    of.newest = entry;
  std::string why{name_of(verdict)};
  why += ": " + std::to_string(*entry.sequence);
  if (const entry_history* known = histories_.find(entry.id); known != nullptr && known->newest)
    why += " after " + std::to_string(known->newest->sequence);
  faults_.note_outdated(entry_topic::endpoints, entry.id.str(), why);
}

// The entry of a running endpoint may expire while the store is down. An invalid entry was written,
// so its endpoint is removed at once.
void registered_endpoints::apply(const endpoint_change& change) {
  checked_ = false;
  lapsed_.erase(change.id);
  if (change.entry) {
    put(*change.entry);
  } else if (change.fault.empty()) {
    lapsed_.insert(change.id);
  } else {
    faults_.note(entry_topic::endpoints, change.id.str(), change.fault);
    remove(change.id);
  }
}

void registered_endpoints::put(const endpoint_entry& entry) {
  services_[entry.id] = entry.service;
  endpoints_.put(entry);
}

void registered_endpoints::lapse(const endpoint_id& id) {
  histories_.record_removal(id);
  rejected_.erase(id);
  lapsed_.insert(id);
}

// Whoever numbers the entries of another writer too high would shut that one out for good, and so
// would an endpoint that starts to count anew.
void registered_endpoints::adopt_settled(time_ms followed_since, time_ms now) {
  for (auto at = rejected_.begin(); at != rejected_.end();) {
    const entry_history* const known = histories_.find(at->first);
    if (known != nullptr && !is_settled(*known, followed_since, settle_, now)) {
      ++at;
      continue;
    }
    const endpoint_entry entry = std::move(at->second.newest);
    at = rejected_.erase(at);
    histories_.record(entry.id, stamp_of(entry), entry_verdict::newest, now);
    log_.write(severity::warning, "entry_adopted", {.endpoint = entry.id.str()},
               {{log_field::sequence, *entry.sequence}});
    apply({entry.id, entry, {}});
  }
}

void registered_endpoints::remove(const endpoint_id& id) {
  if (services_.erase(id) == 0)
    return;
  endpoints_.remove(id);
  log_.write(severity::info, "endpoint_gone", {.endpoint = id.str()});
}

void registered_endpoints::drop_lapsed() {
  for (const endpoint_id& id : std::exchange(lapsed_, {})) {
    faults_.clear(entry_topic::endpoints, id.str());
    remove(id);
  }
}

void registered_endpoints::check_services(const config_ptr& config) {
  if (!config || (checked_ && checked_by_ == config->version))
    return;
  checked_ = true;
  checked_by_ = config->version;
  for (const auto& [id, service] : services_) {
    if (config->find_service(service) != nullptr)
      faults_.clear(entry_topic::endpoints, id.str());
    else
      faults_.note(entry_topic::endpoints, id.str(),
                   "no configuration in force describes its service " + service);
  }
}

} // namespace sedgechute
