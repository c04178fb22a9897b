#include "relay/impl/load_exchange.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <chrono>

namespace sedgechute {

namespace {

constexpr std::size_t most_entries = 45; // of each sort in one datagram, to fit an Ethernet frame
constexpr std::size_t receive_bytes = 2048;
constexpr long receive_look_us = 200'000; // how often the receiver looks whether it shall stop

template <typename Row>
std::vector<Row> part_of(const std::vector<Row>& rows, std::size_t from) {
  const std::size_t begin = std::min(from, rows.size());
  const std::size_t end = std::min(begin + most_entries, rows.size());
  return {rows.begin() + static_cast<std::ptrdiff_t>(begin),
          rows.begin() + static_cast<std::ptrdiff_t>(end)};
}

} // namespace

load_exchange::load_exchange(host_entry self, std::uint64_t incarnation, host_list& hosts,
                             endpoint_directory& endpoints, const load_exchange_options& options,
                             const clock& time, structured_log& log)
    : self_{std::move(self)}, incarnation_{incarnation}, hosts_{hosts}, endpoints_{endpoints},
      options_{options}, time_{time}, log_{log}, socket_{Poco::Net::SocketAddress{self_.address},
                                                         true} {
  socket_.setReceiveTimeout(Poco::Timespan{receive_look_us});
}

load_exchange::~load_exchange() {
  stop();
}

void load_exchange::start() {
  sender_ = std::thread{[this] { send_reports(); }};
  receiver_ = std::thread{[this] { receive_reports(); }};
  reader_ = std::thread{[this] { read_hosts(); }};
}

void load_exchange::stop() noexcept {
  {
    const std::scoped_lock lock{mutex_};
    stopping_ = true;
    wake_.notify_all();
  }
  for (std::thread* one : {&sender_, &receiver_, &reader_})
    if (one->joinable())
      one->join();
}

bool load_exchange::pause(time_ms span) {
  std::unique_lock lock{mutex_};
  return !wake_.wait_for(lock, std::chrono::milliseconds{span.count()},
                         [&] { return stopping_.load(); });
}

std::vector<Poco::Net::SocketAddress> load_exchange::told() const {
  const std::scoped_lock lock{mutex_};
  return told_;
}

void load_exchange::send_reports() {
  time_ms next_whole = time_.now();
  while (pause(options_.gather)) {
    const bool whole = time_.now() >= next_whole;
    if (whole)
      next_whole = time_.now() + options_.whole_interval;
    send_all(endpoints_.own_use(!whole), endpoints_.take_own_sightings(), whole);
  }
}

// Only a report that fits one datagram can say that it is whole.
void load_exchange::send_all(const std::vector<use_entry>& entries,
                             const std::vector<start_sighting>& sightings, bool whole) {
  const std::size_t all = std::max(entries.size(), sightings.size());
  if (all == 0 && !whole)
    return;
  for (std::size_t from = 0; from == 0 || from < all; from += most_entries)
    send({incarnation_, ++number_, whole && all <= most_entries, part_of(entries, from),
          part_of(sightings, from)});
}

void load_exchange::send(const use_report& report) {
  const std::string bytes = encode_use_report(report);
  for (const Poco::Net::SocketAddress& to : told()) {
    try {
      socket_.sendTo(bytes.data(), static_cast<int>(bytes.size()), to);
    } catch (const Poco::Exception& failure) {
      log_.write(severity::debug, "load_report_not_sent", {},
                 {{log_field::peer, to.toString()}, {log_field::reason, failure.displayText()}});
    }
  }
}

void load_exchange::receive_reports() {
  std::array<char, receive_bytes> bytes{};
  while (!stopping_) {
    try {
      Poco::Net::SocketAddress from;
      const int got = socket_.receiveFrom(bytes.data(), static_cast<int>(bytes.size()), from);
      const auto report =
          decode_use_report({bytes.data(), static_cast<std::size_t>(std::max(got, 0))});
      if (report)
        endpoints_.take_report(*report);
      else
        log_.write(severity::warning, "load_report_unreadable", {},
                   {{log_field::peer, from.toString()}, {log_field::bytes, got}});
    } catch (const Poco::TimeoutException&) {
      continue; // nothing came; look whether to stop
    } catch (const Poco::Exception& failure) {
      log_.write(severity::warning, "load_report_not_received", {},
                 {{log_field::reason, failure.displayText()}});
      if (!pause(options_.gather))
        return;
    }
  }
}

void load_exchange::read_hosts() {
  do {
    try {
      refresh_hosts();
      list_reachable_ = true;
    } catch (const std::exception& failure) {
      if (list_reachable_)
        log_.write(severity::warning, "host_list_unreachable", {},
                   {{log_field::reason, std::string_view{failure.what()}}});
      list_reachable_ = false;
    }
  } while (pause(options_.hosts_interval));
}

void load_exchange::refresh_hosts() {
  const std::vector<host_entry> known = hosts_.hosts();
  if (std::find(known.begin(), known.end(), self_) == known.end())
    hosts_.announce(self_);
  const bool many = known.size() > options_.most_told;
  std::vector<Poco::Net::SocketAddress> next;
  for (const host_entry& host : known)
    if (host.name != self_.name && (!many || host.data_centre == self_.data_centre))
      next.emplace_back(host.address);
  const std::scoped_lock lock{mutex_};
  told_ = std::move(next);
}

} // namespace sedgechute
