#include "telemetry/impl/entry_faults.hpp"

#include <mutex>

namespace sedgechute {

namespace {

// A reason may quote what was written; no more than this of it is kept.
constexpr std::size_t longest_reason = 200;

} // namespace

entry_faults::entry_faults(structured_log& log, metrics& figures, std::size_t most_kept)
    : log_{log}, figures_{figures}, most_kept_{most_kept} {}

void entry_faults::note(entry_topic topic, std::string_view key, std::string_view why) {
  const std::string_view reason = why.substr(0, longest_reason);
  {
    const std::scoped_lock lock{mutex_};
    reasons& known = reported_[topic];
    const auto at = known.find(key);
    if (at != known.end() && at->second == reason)
      return;
    if (at == known.end() && known.size() >= most_kept_)
      known.clear();
    known.insert_or_assign(std::string{key}, std::string{reason});
  }
  figures_.add(metric::unusable_entries, {name_of(topic)});
  log_.write(severity::warning, "entry_unusable", {},
             {{log_field::document, name_of(topic)},
              {log_field::entry, key},
              {log_field::reason, reason}});
}

void entry_faults::note_outdated(entry_topic topic, std::string_view key, std::string_view why) {
  figures_.add(metric::outdated_entries, {name_of(topic)});
  log_.write(
      severity::warning, "entry_outdated", {},
      {{log_field::document, name_of(topic)}, {log_field::entry, key}, {log_field::reason, why}});
}

void entry_faults::clear(entry_topic topic, std::string_view key) {
  const std::scoped_lock lock{mutex_};
  reasons& known = reported_[topic];
  if (const auto at = known.find(key); at != known.end())
    known.erase(at);
}

void entry_faults::clear(entry_topic topic) {
  const std::scoped_lock lock{mutex_};
  reported_.erase(topic);
}

} // namespace sedgechute
