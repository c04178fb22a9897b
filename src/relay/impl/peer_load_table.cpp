#include "relay/impl/peer_load_table.hpp"

#include "kernel/impl/number_bytes.hpp"

namespace sedgechute {

namespace {

constexpr std::uint8_t format = 1; // first byte of a report
constexpr std::size_t head_bytes = 1 + 8 + 4 + 1 + 2;
constexpr std::size_t entry_bytes = 8 + 4 + 4;
constexpr std::size_t location_bytes = 8 + 8;

// Far above what a host can have at one endpoint. A corrupt report with larger values would make
// all hosts avoid the endpoint.
constexpr std::uint32_t max_open = 1U << 20U;
constexpr std::uint32_t max_unread_tokens = 1U << 30U;

constexpr std::endian order = std::endian::little;

} // namespace

std::string encode_use_report(const use_report& report) {
  std::string bytes;
  bytes.reserve(head_bytes + report.entries.size() * entry_bytes +
                report.prefix_locations.size() * location_bytes);
  append_number<order>(bytes, format);
  append_number<order>(bytes, report.sender);
  append_number<order>(bytes, report.number);
  append_number<order>(bytes, static_cast<std::uint8_t>(report.whole ? 1 : 0));
  append_number<order>(bytes, static_cast<std::uint16_t>(report.entries.size()));
  for (const use_entry& entry : report.entries) {
    append_number<order>(bytes, entry.endpoint);
    append_number<order>(bytes, entry.use.open);
    append_number<order>(bytes, entry.use.unread_tokens);
  }
  for (const prefix_location& location : report.prefix_locations) {
    append_number<order>(bytes, location.prefix);
    append_number<order>(bytes, location.endpoint);
  }
  return bytes;
}

std::optional<use_report> decode_use_report(std::string_view bytes) {
  if (bytes.size() < head_bytes || take_number<order, std::uint8_t>(bytes) != format)
    return std::nullopt;
  use_report report;
  report.sender = take_number<order, std::uint64_t>(bytes);
  report.number = take_number<order, std::uint32_t>(bytes);
  const auto whole = take_number<order, std::uint8_t>(bytes);
  report.whole = whole == 1;
  const std::size_t entries = take_number<order, std::uint16_t>(bytes);
  if (whole > 1 || bytes.size() < entries * entry_bytes ||
      (bytes.size() - entries * entry_bytes) % location_bytes != 0)
    return std::nullopt;
  for (std::size_t i = 0; i < entries; ++i) {
    use_entry entry;
    entry.endpoint = take_number<order, std::uint64_t>(bytes);
    entry.use.open = take_number<order, std::uint32_t>(bytes);
    entry.use.unread_tokens = take_number<order, std::uint32_t>(bytes);
    if (entry.use.open > max_open || entry.use.unread_tokens > max_unread_tokens)
      return std::nullopt;
    report.entries.push_back(entry);
  }
  while (!bytes.empty()) {
    prefix_location location;
    location.prefix = take_number<order, std::uint64_t>(bytes);
    location.endpoint = take_number<order, std::uint64_t>(bytes);
    report.prefix_locations.push_back(location);
  }
  return report;
}

void peer_load_table::replace(host_view& host, endpoint_hash endpoint, endpoint_use use) {
  endpoint_use& known = host.uses[endpoint];
  endpoint_use& sum = sums_[endpoint];
  sum.open += use.open - known.open;
  sum.unread_tokens += use.unread_tokens - known.unread_tokens;
  known = use;
  if (sum == endpoint_use{})
    sums_.erase(endpoint);
  if (use == endpoint_use{})
    host.uses.erase(endpoint);
}

void peer_load_table::take(const use_report& report, time_ms now) {
  host_view& host = hosts_[report.sender];
  if (host.number != 0 && report.number <= host.number)
    return;
  host.number = report.number;
  host.heard = now;
  if (report.whole) {
    std::unordered_map<endpoint_hash, endpoint_use> before = host.uses;
    for (const use_entry& entry : report.entries)
      before.erase(entry.endpoint);
    for (const auto& [endpoint, use] : before)
      replace(host, endpoint, {});
  }
  for (const use_entry& entry : report.entries)
    replace(host, entry.endpoint, entry.use);
}

endpoint_use peer_load_table::at(endpoint_hash endpoint) const {
  const auto found = sums_.find(endpoint);
  return found == sums_.end() ? endpoint_use{} : found->second;
}

void peer_load_table::remove_silent(time_ms now) {
  for (auto at = hosts_.begin(); at != hosts_.end();) {
    if (now - at->second.heard <= forget_after_) {
      ++at;
      continue;
    }
    const auto uses = at->second.uses;
    for (const auto& [endpoint, use] : uses)
      replace(at->second, endpoint, {});
    at = hosts_.erase(at);
  }
}

} // namespace sedgechute
