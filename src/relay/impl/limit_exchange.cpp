#include "relay/impl/limit_exchange.hpp"

#include <utility>

namespace sedgechute {

limit_exchange::limit_exchange(endpoint_directory& endpoints, peer_channel& channel,
                               const limit_exchange_options& options, const clock& time)
    : endpoints_{endpoints}, channel_{channel}, options_{options}, time_{time} {
  channel_.on(peer_message::endpoint_limits,
              [this](std::string_view bytes) { return take(bytes); });
  channel_.on(peer_message::brittle_endpoints,
              [this](std::string_view bytes) { return take_brittle(bytes); });
}

limit_exchange::~limit_exchange() {
  stop();
}

void limit_exchange::start() {
  sender_ = std::thread{[this] { send_messages(); }};
}

void limit_exchange::stop() noexcept {
  pauses_.stop();
  if (sender_.joinable())
    sender_.join();
}

bool limit_exchange::take(std::string_view bytes) {
  const auto entries = decode_rates(bytes);
  if (entries)
    endpoints_.take_limits(*entries);
  return entries.has_value();
}

bool limit_exchange::take_brittle(std::string_view bytes) {
  const auto entries = decode_rates(bytes);
  if (entries)
    endpoints_.take_brittle(*entries);
  return entries.has_value();
}

void limit_exchange::send(const std::vector<peer>& to, peer_message kind,
                          const std::vector<std::string>& messages) {
  for (const peer& one : to)
    for (const std::string& message : messages)
      channel_.send(one, kind, message);
}

void limit_exchange::send_messages() {
  time_ms next_snapshot = time_.now() + options_.snapshot_interval;
  while (pauses_.pause(report_spacing(options_.pacing, channel_.peers().size()))) {
    send(channel_.peers(), peer_message::endpoint_limits,
         encode_rates(endpoints_.take_limit_news()));
    send(channel_.peers(), peer_message::brittle_endpoints,
         encode_rates(endpoints_.take_brittle_news()));
    if (time_.now() < next_snapshot)
      continue;
    next_snapshot = time_.now() + options_.snapshot_interval;
    std::vector<peer> peers = channel_.peers();
    while (peers.size() > options_.snapshot_recipients) {
      std::swap(peers[random_.below(peers.size())], peers.back());
      peers.pop_back();
    }
    send(peers, peer_message::endpoint_limits, encode_rates(endpoints_.limits()));
    send(peers, peer_message::brittle_endpoints, encode_rates(endpoints_.brittle_first_hand()));
  }
}

} // namespace sedgechute
