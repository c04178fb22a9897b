#include "entry/impl/registered_endpoints.hpp"

#include <iterator>
#include <utility>

namespace sedgechute {

namespace {

// Of several changes of one entry the last one holds.
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

// An entry that is missing after the store was away may only have lapsed, and its endpoint lives.
// One that is there and cannot be read was written by somebody: what stood there before holds no
// more, and nothing is waited for.
void registered_endpoints::apply(const endpoint_changes& changes, bool all) {
  const auto last = last_of_each(changes);
  for (const auto& [id, change] : last) {
    judged_ = false;
    lapsed_.erase(id);
    if (change->entry) {
      services_[id] = change->entry->service;
      endpoints_.put(*change->entry);
    } else if (change->fault.empty()) {
      lapsed_.insert(id);
    } else {
      faults_.note(entry_topic::endpoints, id.str(), change->fault);
      take_out(id);
    }
  }
  if (!all)
    return;
  for (const auto& [id, service] : services_)
    if (!last.contains(id))
      lapsed_.insert(id);
}

void registered_endpoints::take_out(const endpoint_id& id) {
  if (services_.erase(id) == 0)
    return;
  endpoints_.remove(id);
  log_.write(severity::info, "endpoint_gone", {.endpoint = id.str()});
}

void registered_endpoints::drop_lapsed() {
  for (const endpoint_id& id : std::exchange(lapsed_, {})) {
    faults_.clear(entry_topic::endpoints, id.str());
    take_out(id);
  }
}

void registered_endpoints::judge_services(const config_ptr& config) {
  if (!config || (judged_ && judged_by_ == config->version))
    return;
  judged_ = true;
  judged_by_ = config->version;
  for (const auto& [id, service] : services_) {
    if (config->find_service(service) != nullptr)
      faults_.clear(entry_topic::endpoints, id.str());
    else
      faults_.note(entry_topic::endpoints, id.str(),
                   "no configuration in force describes its service " + service);
  }
}

} // namespace sedgechute
