#include "relay/impl/peer_channel.hpp"

#include "kernel/impl/number_bytes.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <utility>

namespace sedgechute {

namespace {

constexpr std::size_t receive_bytes = 2048;
constexpr long stop_check_us = 200'000; // between two checks whether the receiver must stop
constexpr time_ms receive_error_pause{60};

// Header of each datagram: the type, and the sender's wall clock in milliseconds.
constexpr std::size_t head_bytes = 1 + sizeof(std::uint64_t);
constexpr std::endian order = std::endian::little;

std::string head_of(peer_message kind, time_ms wall) {
  std::string head(1, static_cast<char>(kind));
  append_number<order>(head, static_cast<std::uint64_t>(wall.count()));
  return head;
}

time_ms wall_of(std::string_view head) {
  head.remove_prefix(1);
  return time_ms{static_cast<std::int64_t>(take_number<order, std::uint64_t>(head))};
}

// Later than any real wall clock time, and small enough that differences do not overflow.
constexpr time_ms latest_wall{std::int64_t{1} << 53};

bool is_valid_wall_time(time_ms wall) noexcept {
  return wall >= time_ms{} && wall <= latest_wall;
}

} // namespace

peer_channel::peer_channel(host_entry self, host_list& hosts, fleet_clock& clocks,
                           const peer_channel_options& options, entry_faults& faults,
                           structured_log& log)
    : self_{std::move(self)}, hosts_{hosts}, clocks_{clocks}, options_{options}, faults_{faults},
      log_{log}, socket_{Poco::Net::SocketAddress{self_.address}, true} {
  socket_.setReceiveTimeout(Poco::Timespan{stop_check_us});
}

peer_channel::~peer_channel() {
  stop();
}

void peer_channel::on(peer_message kind, handler take) {
  handlers_[kind] = std::move(take);
}

void peer_channel::start() {
  receiver_ = std::thread{[this] { receive(); }};
  reader_ = std::thread{[this] { read_hosts(); }};
}

void peer_channel::stop() noexcept {
  pauses_.stop();
  for (std::thread* one : {&receiver_, &reader_})
    if (one->joinable())
      one->join();
}

std::vector<peer> peer_channel::peers() const {
  const std::scoped_lock lock{mutex_};
  return peers_;
}

std::vector<std::string> peer_channel::near_hosts() const {
  const std::scoped_lock lock{mutex_};
  std::vector<std::string> hosts;
  for (const peer& one : peers_)
    if (one.data_centre == self_.data_centre)
      hosts.push_back(one.host);
  return hosts;
}

std::optional<peer> peer_channel::find_peer(const std::string& host) const {
  const std::scoped_lock lock{mutex_};
  const auto found =
      std::find_if(peers_.begin(), peers_.end(), [&](const peer& one) { return one.host == host; });
  return found == peers_.end() ? std::nullopt : std::optional{*found};
}

bool peer_channel::near(const std::string& host) const {
  const auto found = find_peer(host);
  return found && found->data_centre == self_.data_centre;
}

void peer_channel::send(const peer& to, peer_message kind, std::string_view bytes) {
  std::string datagram = head_of(kind, wall_time());
  datagram.append(bytes);
  try {
    socket_.sendTo(datagram.data(), static_cast<int>(datagram.size()), to.address);
  } catch (const Poco::Exception& failure) {
    log_.write(severity::debug, "peer_message_not_sent", {},
               {{log_field::peer, to.host},
                {log_field::kind, name_of(kind)},
                {log_field::reason, failure.displayText()}});
  }
}

bool peer_channel::send(const std::string& host, peer_message kind, std::string_view bytes) {
  const auto to = find_peer(host);
  if (to)
    send(*to, kind, bytes);
  return to.has_value();
}

void peer_channel::receive() {
  std::array<char, receive_bytes> bytes{};
  while (!pauses_.stopped()) {
    try {
      Poco::Net::SocketAddress from;
      const int got = socket_.receiveFrom(bytes.data(), static_cast<int>(bytes.size()), from);
      take({bytes.data(), static_cast<std::size_t>(std::max(got, 0))}, from);
    } catch (const Poco::TimeoutException&) {
      continue;                               // no message; check whether to stop
    } catch (const std::exception& failure) { // also from a handler: go on with the next message
      log_.write(severity::warning, "peer_messages_not_received", {},
                 {{log_field::reason, std::string_view{failure.what()}}});
      if (!pauses_.pause(receive_error_pause))
        return;
    }
  }
}

void peer_channel::take(std::string_view bytes, const Poco::Net::SocketAddress& from) {
  const auto taker = bytes.size() < head_bytes || !is_valid_wall_time(wall_of(bytes))
                         ? handlers_.end()
                         : handlers_.find(static_cast<peer_message>(bytes.front()));
  if (taker == handlers_.end() || !taker->second(bytes.substr(head_bytes))) {
    faults_.note(entry_topic::datagrams, from.toString(), "is not a valid message");
    return;
  }
  faults_.clear(entry_topic::datagrams, from.toString());
  clocks_.observe(from.host().toString(), wall_of(bytes));
}

void peer_channel::read_hosts() {
  bool known = false;
  do {
    try {
      refresh_hosts();
      list_reachable_ = true;
      known = true;
    } catch (const std::exception& failure) {
      if (list_reachable_)
        log_.write(severity::warning, "host_list_unreachable", {},
                   {{log_field::reason, std::string_view{failure.what()}}});
      list_reachable_ = false;
    }
  } while (pauses_.pause(known ? options_.hosts_interval : options_.first_hosts_interval));
}

void peer_channel::refresh_hosts() {
  const host_listing listing = hosts_.hosts();
  const std::vector<host_entry>& known = listing.hosts;
  report_faults(listing);
  if (std::find(known.begin(), known.end(), self_) == known.end())
    hosts_.announce(self_);
  std::vector<peer> next;
  for (const host_entry& host : known)
    if (host.name != self_.name)
      next.push_back({host.name, host.data_centre, Poco::Net::SocketAddress{host.address}});
  bool changed = !hosts_known_;
  {
    const std::scoped_lock lock{mutex_};
    changed = changed || !std::equal(peers_.begin(), peers_.end(), next.begin(), next.end(),
                                     [](const peer& a, const peer& b) { return a.host == b.host; });
    peers_ = std::move(next);
  }
  hosts_known_ = true;
  if (changed && hosts_changed_)
    hosts_changed_();
}

void peer_channel::report_faults(const host_listing& listing) {
  std::set<std::string> unusable;
  for (const entry_fault& fault : listing.faults) {
    faults_.note(entry_topic::hosts, fault.key, fault.why);
    unusable.insert(fault.key);
  }
  for (const std::string& key : unusable_hosts_)
    if (!unusable.contains(key))
      faults_.clear(entry_topic::hosts, key);
  unusable_hosts_ = std::move(unusable);
}

} // namespace sedgechute
