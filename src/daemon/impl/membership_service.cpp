#include "daemon/impl/membership_service.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <chrono>
#include <utility>

namespace sedgechute {

namespace {

constexpr std::chrono::milliseconds tick_interval{50};
constexpr std::int64_t receive_wait_us = 100'000;
constexpr std::size_t longest_datagram = 8192;
// Answers of many peers may arrive at once, and what does not fit is lost.
constexpr int receive_buffer_bytes = 1 << 20;

std::vector<listed_host> entries_of(const host_listing& list) {
  std::vector<listed_host> entries;
  for (const host_list_entry& entry : list.hosts)
    if (entry.kind == listed_kind::entry && !entry.peer_address.empty())
      entries.push_back({host_id{entry.name}, entry.data_centre, entry.peer_address,
                         entry.state == listed_state::leaving});
  return entries;
}

} // namespace

membership_service::membership_service(const incarnation& self, data_centre_id data_centre,
                                       const http_target& listen, const clock& time,
                                       datagram_seal& seal, metrics& numbers, view_listener on_view)
    : time_{time}, seal_{seal}, numbers_{numbers}, on_view_{std::move(on_view)},
      members_{self, std::move(data_centre), listen.str(), {}, self.number},
      socket_{Poco::Net::SocketAddress{listen.ip, listen.port}} {
  socket_.setReceiveBufferSize(receive_buffer_bytes);
  socket_.setReceiveTimeout(Poco::Timespan{receive_wait_us});
}

membership_service::~membership_service() {
  stop();
}

void membership_service::start() {
  threads_.emplace_back([this] { receive_loop(); });
  threads_.emplace_back([this] { tick_loop(); });
}

void membership_service::on_host_list(const host_listing& list) {
  const auto entries = entries_of(list);
  advance([&](membership& members, time_ms now) { members.on_host_list(now, entries); });
}

void membership_service::leave() {
  advance([](membership& members, time_ms now) { members.leave(now); });
}

void membership_service::stop() {
  if (stopping_.exchange(true))
    return;
  advance([](membership& members, time_ms now) { members.stop(now); });
  for (std::thread& thread : threads_)
    thread.join();
}

membership_view membership_service::view() {
  const std::scoped_lock lock{mutex_};
  return members_.view();
}

void membership_service::receive_loop() {
  std::array<char, longest_datagram> buffer{};
  while (!stopping_) {
    try {
      const int size = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      if (size > 0 && shared_listener_ && buffer.front() == shared_mark_) {
        shared_listener_({buffer.data(), static_cast<std::size_t>(size)});
        continue;
      }
      wire::membership_message parsed;
      if (size <= 0)
        continue;
      const auto [verdict, payload] = seal_.open({buffer.data(), static_cast<std::size_t>(size)});
      if (verdict != datagram_verdict::opened) {
        numbers_.add(metric::peer_messages_refused, {name_of(verdict)});
        continue;
      }
      if (!parsed.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        continue;
      const membership_message message = from_wire(parsed);
      advance([&](membership& members, time_ms now) { members.on_message(now, message); });
    } catch (const Poco::Exception&) {
      continue; // nothing arrived in time, or an earlier datagram met a closed port
    } catch (const error&) {
      continue; // not one of ours, or damaged
    }
  }
}

void membership_service::tick_loop() {
  while (!stopping_) {
    advance([](membership& members, time_ms now) { members.tick(now); });
    std::this_thread::sleep_for(tick_interval);
  }
}

void membership_service::advance(const std::function<void(membership&, time_ms)>& step) {
  std::vector<addressed_membership_message> messages;
  std::optional<membership_view> changed;
  {
    const std::scoped_lock lock{mutex_};
    step(members_, time_.now());
    messages = members_.take_output();
    const membership_view& view = members_.view();
    if (view.version != reported_version_) {
      reported_version_ = view.version;
      changed = view;
    }
  }
  send(messages);
  if (changed)
    on_view_(*changed);
}

void membership_service::send(const std::vector<addressed_membership_message>& messages) {
  for (const addressed_membership_message& message : messages)
    send(message.address, seal_.seal(to_wire(message.message).SerializeAsString()));
}

void membership_service::send(const std::string& address, const std::string& datagram) {
  try {
    const http_target to = http_target::parse(address);
    socket_.sendTo(datagram.data(), static_cast<int>(datagram.size()),
                   Poco::Net::SocketAddress{to.ip, to.port});
  } catch (const Poco::Exception&) {
    return; // lost, like any datagram
  } catch (const error&) {
    return; // another host gossiped an address that is none
  }
}

void membership_service::share_socket(char mark, std::function<void(std::string_view)> listen) {
  shared_mark_ = mark;
  shared_listener_ = std::move(listen);
}

} // namespace sedgechute
