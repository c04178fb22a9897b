#include "fault_proxy.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <poll.h>

#include <array>
#include <chrono>

namespace sedgechute::soak {

namespace {

constexpr int look_ms = 20; // how often a connection looks for a change of faults
constexpr std::chrono::milliseconds delay{40};
constexpr std::size_t block_bytes = 16 * 1024;

bool requests_pass(link_fault fault) noexcept {
  return fault != link_fault::silent && fault != link_fault::no_requests;
}

bool answers_pass(link_fault fault) noexcept {
  return fault != link_fault::silent && fault != link_fault::no_answers;
}

bool is_closed(const Poco::Net::StreamSocket& socket) {
  pollfd look{socket.impl()->sockfd(), POLLRDHUP, 0};
  return ::poll(&look, 1, 0) > 0;
}

} // namespace

fault_proxy::fault_proxy(std::string target, const std::string& ip)
    : target_{std::move(target)}, socket_{Poco::Net::SocketAddress{ip, 0}},
      address_{socket_.address().toString()} {
  acceptor_ = std::thread{[this] { accept(); }};
}

fault_proxy::~fault_proxy() {
  stopping_ = true;
  acceptor_.join();
  for (worker& one : workers_)
    one.thread.join();
}

void fault_proxy::lead_to(const std::string& target) {
  const std::scoped_lock lock{mutex_};
  target_ = target;
}

void fault_proxy::reset_connections_from(const std::string& ip) {
  const std::scoped_lock lock{mutex_};
  ++counts_by_ip_[ip].resets;
}

void fault_proxy::silence_connections_from(const std::string& ip) {
  const std::scoped_lock lock{mutex_};
  ++counts_by_ip_[ip].silences;
}

fault_proxy::fault_counts fault_proxy::counts_for(const std::string& ip) {
  fault_counts counts{resets_, silences_};
  const std::scoped_lock lock{mutex_};
  if (const auto at = counts_by_ip_.find(ip); at != counts_by_ip_.end()) {
    counts.resets += at->second.resets;
    counts.silences += at->second.silences;
  }
  return counts;
}

std::string fault_proxy::target() {
  const std::scoped_lock lock{mutex_};
  return target_;
}

void fault_proxy::set_listening(bool listens) {
  constexpr int backlog = 64;
  if (listens)
    return socket_.listen(backlog);
  socket_.close();
  socket_ = Poco::Net::ServerSocket{};
  socket_.bind(Poco::Net::SocketAddress{address_}, true); // keeps the port
}

void fault_proxy::accept() {
  bool listens = true;
  while (!stopping_) {
    join_done();
    if (listens == refuses_) {
      listens = !listens;
      set_listening(listens);
    }
    if (!listens) {
      std::this_thread::sleep_for(std::chrono::milliseconds{look_ms});
      continue;
    }
    if (!socket_.poll(Poco::Timespan{look_ms * 1000}, Poco::Net::Socket::SELECT_READ))
      continue;
    worker& one = workers_.emplace_back();
    one.thread = std::thread{[this, &one, from = socket_.acceptConnection()] {
      pass(from);
      one.done = true;
    }};
  }
}

void fault_proxy::join_done() {
  for (auto at = workers_.begin(); at != workers_.end();) {
    if (!at->done) {
      ++at;
      continue;
    }
    at->thread.join();
    at = workers_.erase(at);
  }
}

void fault_proxy::pass(Poco::Net::StreamSocket from) {
  std::string ip;
  try {
    ip = from.peerAddress().host().toString();
  } catch (const Poco::Exception&) {
    return; // its caller has reset it already
  }
  const fault_counts before = counts_for(ip);
  try {
    Poco::Net::StreamSocket to{Poco::Net::SocketAddress{target()}};
    from.setNoDelay(true);
    to.setNoDelay(true);
    pass_all(from, to, ip, before);
  } catch (const Poco::Exception&) {
    from.setLinger(true, 0); // the server is not there: its caller sees a reset
  }
  if (before.resets != counts_for(ip).resets)
    from.setLinger(true, 0);
  from.close();
}

void fault_proxy::pass_all(Poco::Net::StreamSocket& from, Poco::Net::StreamSocket& to,
                           const std::string& ip, const fault_counts& before) {
  while (!stopping_) {
    const fault_counts now = counts_for(ip);
    if (now.resets != before.resets)
      return;
    if (now.silences != before.silences)
      return hold_up(from, to, ip, before.resets);
    const link_fault fault = fault_;
    const bool answers = answers_pass(fault) && !holds_answers_;
    // A negative descriptor is passed over.
    std::array<pollfd, 2> fds{{{requests_pass(fault) ? from.impl()->sockfd() : -1, POLLIN, 0},
                               {answers ? to.impl()->sockfd() : -1, POLLIN, 0}}};
    if (::poll(fds.data(), fds.size(), look_ms) <= 0)
      continue;
    if (fault == link_fault::delay)
      std::this_thread::sleep_for(delay);
    if (fds[0].revents != 0 && !pass_some(from, to))
      return;
    if (fds[1].revents != 0 && !pass_some(to, from))
      return;
  }
}

// Both ends may go on using the connection: what they send is held up until the caller gives up.
void fault_proxy::hold_up(Poco::Net::StreamSocket& from, Poco::Net::StreamSocket& to,
                          const std::string& ip, int resets) {
  bool held = false;
  while (!stopping_ && resets == counts_for(ip).resets) {
    std::this_thread::sleep_for(std::chrono::milliseconds{look_ms});
    const bool holds = !is_closed(from) && (from.available() > 0 || to.available() > 0);
    holding_up_ += static_cast<int>(holds) - static_cast<int>(held);
    held = holds;
  }
  holding_up_ -= held ? 1 : 0;
}

bool fault_proxy::pass_some(Poco::Net::StreamSocket& from, Poco::Net::StreamSocket& to) {
  std::array<char, block_bytes> block{};
  const int got = from.receiveBytes(block.data(), static_cast<int>(block.size()));
  if (got <= 0)
    return false;
  for (int sent = 0; sent < got;)
    sent += to.sendBytes(block.data() + sent, got - sent);
  return true;
}

} // namespace sedgechute::soak
