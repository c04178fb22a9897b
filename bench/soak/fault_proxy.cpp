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

} // namespace

fault_proxy::fault_proxy(std::string target)
    : target_{std::move(target)}, socket_{Poco::Net::SocketAddress{"127.0.0.1", 0}} {
  acceptor_ = std::thread{[this] { accept(); }};
}

fault_proxy::~fault_proxy() {
  stopping_ = true;
  acceptor_.join();
  for (std::thread& one : threads_)
    one.join();
}

void fault_proxy::lead_to(const std::string& target) {
  const std::scoped_lock lock{mutex_};
  target_ = target;
}

std::string fault_proxy::target() {
  const std::scoped_lock lock{mutex_};
  return target_;
}

void fault_proxy::accept() {
  while (!stopping_) {
    if (socket_.poll(Poco::Timespan{look_ms * 1000}, Poco::Net::Socket::SELECT_READ))
      threads_.emplace_back([this, from = socket_.acceptConnection()] { pass(from); });
  }
}

void fault_proxy::pass(Poco::Net::StreamSocket from) {
  const int resets = resets_;
  try {
    Poco::Net::StreamSocket to{Poco::Net::SocketAddress{target()}};
    from.setNoDelay(true);
    to.setNoDelay(true);
    while (!stopping_ && resets == resets_) {
      std::array<pollfd, 2> fds{
          {{from.impl()->sockfd(), POLLIN, 0}, {to.impl()->sockfd(), POLLIN, 0}}};
      const link_fault fault = fault_;
      if (fault == link_fault::silent) {
        std::this_thread::sleep_for(std::chrono::milliseconds{look_ms});
        continue;
      }
      const nfds_t watched = fault == link_fault::one_way ? 1 : 2;
      if (::poll(fds.data(), watched, look_ms) <= 0)
        continue;
      if (fault == link_fault::delay)
        std::this_thread::sleep_for(delay);
      if (fds[0].revents != 0 && !pass_some(from, to))
        break;
      if (fds[1].revents != 0 && !pass_some(to, from))
        break;
    }
  } catch (const Poco::Exception&) {
    from.setLinger(true, 0); // the server is not there: its caller sees a reset
  }
  if (resets != resets_)
    from.setLinger(true, 0);
  from.close();
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
