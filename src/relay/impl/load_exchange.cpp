#include "relay/impl/load_exchange.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr std::size_t max_entries = 45; // of each kind per datagram, which fits an Ethernet frame

template <typename Row>
std::vector<Row> part_of(const std::vector<Row>& rows, std::size_t from) {
  const std::size_t begin = std::min(from, rows.size());
  const std::size_t end = std::min(begin + max_entries, rows.size());
  return {rows.begin() + static_cast<std::ptrdiff_t>(begin),
          rows.begin() + static_cast<std::ptrdiff_t>(end)};
}

} // namespace

// The reports that a host sends and receives grow with the number of recipients. Without a bound
// they would take processor time that the small hosts of a large data centre need for requests.
time_ms report_spacing(const report_pacing& pacing, std::size_t recipients) noexcept {
  constexpr std::size_t second_ms = 1000;
  const std::size_t least = second_ms * recipients / pacing.max_datagrams_per_second;
  return std::max(pacing.min_interval, time_ms{static_cast<std::int64_t>(least)});
}

load_exchange::load_exchange(std::uint64_t incarnation, peer_channel& channel,
                             endpoint_directory& endpoints, const load_exchange_options& options,
                             const clock& time)
    : incarnation_{incarnation}, channel_{channel},
      endpoints_{endpoints}, options_{options}, time_{time} {
  channel_.on(peer_message::load_report,
              [this](std::string_view bytes) { return take_report(bytes); });
}

load_exchange::~load_exchange() {
  stop();
}

void load_exchange::start() {
  sender_ = std::thread{[this] { send_reports(); }};
}

void load_exchange::stop() noexcept {
  pauses_.stop();
  if (sender_.joinable())
    sender_.join();
}

bool load_exchange::take_report(std::string_view bytes) {
  const auto report = decode_use_report(bytes);
  if (report)
    endpoints_.take_report(*report);
  return report.has_value();
}

std::vector<peer> load_exchange::recipients() const {
  std::vector<peer> all = channel_.peers();
  if (all.size() >= options_.max_recipients)
    std::erase_if(all,
                  [&](const peer& one) { return one.data_centre != channel_.self().data_centre; });
  return all;
}

void load_exchange::send_reports() {
  time_ms next_whole = time_.now();
  while (pauses_.pause(report_spacing(options_.pacing, recipients().size()))) {
    const bool whole = time_.now() >= next_whole;
    if (whole)
      next_whole = time_.now() + options_.whole_interval;
    send_all(endpoints_.own_use(!whole), endpoints_.take_own_prefix_locations(), whole);
  }
}

// Only a report that fits into one datagram can be marked as full.
void load_exchange::send_all(const std::vector<use_entry>& entries,
                             const std::vector<prefix_location>& prefix_locations, bool whole) {
  const std::size_t all = std::max(entries.size(), prefix_locations.size());
  if (all == 0 && !whole)
    return;
  const std::vector<peer> to = recipients();
  for (std::size_t from = 0; from == 0 || from < all; from += max_entries) {
    const std::string bytes =
        encode_use_report({incarnation_, ++number_, whole && all <= max_entries,
                           part_of(entries, from), part_of(prefix_locations, from)});
    for (const peer& one : to)
      channel_.send(one, peer_message::load_report, bytes);
  }
}

} // namespace sedgechute
