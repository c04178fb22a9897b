#include "relay/impl/stream_builds.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace sedgechute {

stream_key stream_key_of(std::string_view team, std::string_view attempt) noexcept {
  return mix_hash(stable_hash(team), stable_hash(attempt));
}

stream_build combine(const stream_build& a, const stream_build& b) noexcept {
  using state = stream_build::state;
  if (a.knowledge == state::unknown || a == b)
    return b;
  return b.knowledge == state::unknown ? a : stream_build{state::ambiguous, {}};
}

void stream_build_table::note(const stream_record& record, time_ms now) {
  if (record.built_by.knowledge == stream_build::state::unknown)
    return;
  if (records_.size() >= max_records_)
    expire(now);
  const auto known = records_.find(record.stream);
  const time_ms until = now + record.lifetime;
  if (known != records_.end() && known->second.until > now) {
    known->second.built_by = combine(known->second.built_by, record.built_by);
    known->second.until = std::max(known->second.until, until);
  } else if (known != records_.end() || records_.size() < max_records_) {
    records_[record.stream] = {record.built_by, until};
  }
}

stream_build stream_build_table::find(stream_key stream, time_ms now) const {
  const auto known = records_.find(stream);
  return known == records_.end() || known->second.until <= now ? stream_build{}
                                                               : known->second.built_by;
}

std::vector<stream_record> stream_build_table::records(time_ms now) const {
  std::vector<stream_record> all;
  for (const auto& [stream, known] : records_)
    if (known.until > now)
      all.push_back({stream, known.built_by, known.until - now});
  return all;
}

void stream_build_table::expire(time_ms now) {
  std::erase_if(records_, [&](const auto& known) { return known.second.until <= now; });
}

// A data centre may lose all its hosts at once, so each next holder is in a data centre with as few
// holders as any other.
std::vector<std::string> record_holders(stream_key stream, std::span<const record_host> hosts,
                                        std::size_t count) {
  std::vector<std::pair<std::uint64_t, const record_host*>> ranked;
  ranked.reserve(hosts.size());
  for (const record_host& host : hosts)
    ranked.emplace_back(mix_hash(stream, host.hash), &host);
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second->name < b.second->name;
  });
  std::vector<std::string> holders;
  while (holders.size() < count && !ranked.empty()) {
    std::set<std::string_view> centres;
    std::erase_if(ranked, [&](const auto& one) {
      if (holders.size() >= count || !centres.insert(one.second->data_centre).second)
        return false;
      holders.push_back(one.second->name);
      return true;
    });
  }
  return holders;
}

std::vector<std::string> possible_holders(stream_key stream, std::span<const record_host> hosts,
                                          std::span<const record_host> earlier, std::size_t count) {
  std::vector<std::string> holders = record_holders(stream, hosts, count);
  for (std::string& one : record_holders(stream, earlier, count))
    if (std::find(holders.begin(), holders.end(), one) == holders.end())
      holders.push_back(std::move(one));
  return holders;
}

build_lookup::build_lookup(std::vector<std::string> holders, const build_lookup_options& options,
                           time_ms now)
    : holders_{std::move(holders)},
      answered_(holders_.size(), false), options_{options}, deadline_{now + options.timeout},
      next_send_{now} {}

void build_lookup::take(std::size_t holder, const stream_build& answer) {
  if (holder >= answered_.size() || answered_[holder])
    return;
  answered_[holder] = true;
  found_ = combine(found_, answer);
}

std::vector<std::size_t> build_lookup::due(time_ms now) {
  std::vector<std::size_t> unanswered;
  if (now < next_send_ || result(now))
    return unanswered;
  next_send_ = now + options_.resend_interval;
  for (std::size_t i = 0; i < answered_.size(); ++i)
    if (!answered_[i])
      unanswered.push_back(i);
  return unanswered;
}

time_ms build_lookup::next() const noexcept {
  return std::min(next_send_, deadline_);
}

std::optional<stream_build> build_lookup::result(time_ms now) const {
  const bool all = std::find(answered_.begin(), answered_.end(), false) == answered_.end();
  if (found_.knowledge != stream_build::state::unknown || all || now >= deadline_)
    return found_;
  return std::nullopt;
}

} // namespace sedgechute
