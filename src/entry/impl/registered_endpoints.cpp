#include "entry/impl/registered_endpoints.hpp"

#include <iterator>
#include <utility>

namespace sedgechute {

namespace {

/// \returns the last change of each entry
std::map<endpoint_id, const endpoint_change*> last_of_each(const endpoint_changes& changes) {
  std::map<endpoint_id, const endpoint_change*> last;
  for (const endpoint_change& change : changes.changes)
    last[change.id] = &change;
  return last;
}

} // namespace

registered_endpoints::registered_endpoints(endpoint_directory& endpoints, entry_faults& faults,
                                           structured_log& log)
    : endpoints_{endpoints}, faults_{faults}, log_{log} {}

// The entry of a running endpoint may expire while the store is down. An invalid entry was written,
// so its endpoint is removed at once.
void registered_endpoints::apply(const endpoint_changes& changes, bool all) {
  const auto last = last_of_each(changes);
  for (const endpoint_change& change : changes.changes)
    if (change.entry && last.at(change.id) != &change)
      endpoints_.note_listed(*change.entry); // replaced before this host has read it
  for (const auto& [id, change] : last) {
    checked_ = false;
    lapsed_.erase(id);
    if (change->entry) {
      services_[id] = change->entry->service;
      endpoints_.put(*change->entry);
    } else if (change->fault.empty()) {
      lapsed_.insert(id);
    } else {
      faults_.note(entry_topic::endpoints, id.str(), change->fault);
      remove(id);
    }
  }
  if (!all)
    return;
  for (const auto& [id, service] : services_)
    if (!last.contains(id))
      lapsed_.insert(id);
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
