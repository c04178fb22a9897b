#include "raw_endpoint.hpp"

#include <Poco/Exception.h>

#include <array>

namespace sedgechute::testing {

namespace {

constexpr long accept_check_us = 20'000; // between two checks whether to stop

/// \returns the length that a header states; 0 when it states none
std::size_t stated_length(const std::string& head) {
  constexpr std::string_view field = "Content-Length: ";
  const std::size_t at = head.find(field);
  return at == std::string::npos ? 0 : std::stoul(head.substr(at + field.size()));
}

} // namespace

raw_endpoint::raw_endpoint(raw_reply reply)
    : reply_{std::move(reply)}, acceptor_{[this] { accept(); }} {}

raw_endpoint::~raw_endpoint() {
  stopping_ = true;
  acceptor_.join();
  for (std::thread& one : serving_)
    one.join();
}

void raw_endpoint::accept() {
  while (!stopping_)
    if (socket_.poll(Poco::Timespan{accept_check_us}, Poco::Net::Socket::SELECT_READ))
      serving_.emplace_back([this, link = socket_.acceptConnection()] { serve(link); });
}

void raw_endpoint::serve(Poco::Net::StreamSocket link) {
  try {
    read_request(link);
    for (std::size_t i = 0; i < reply_.repeats && !stopping_; ++i)
      link.sendBytes(reply_.bytes.data(), static_cast<int>(reply_.bytes.size()));
    std::this_thread::sleep_for(reply_.pause);
    if (reply_.after == raw_reply::end::reset)
      link.setLinger(true, 0);
    else if (reply_.reads_body)
      link.shutdownSend();
    link.close(); // with unread bytes a reset, too
  } catch (const Poco::Exception&) {
    link.close(); // the host has gone
  }
}

void raw_endpoint::read_request(Poco::Net::StreamSocket& link) const {
  constexpr std::string_view head_end = "\r\n\r\n";
  std::string got;
  std::array<char, 65536> block{};
  const auto wanted = [&] {
    const std::size_t end = got.find(head_end);
    if (end == std::string::npos)
      return true;
    return reply_.reads_body && got.size() < end + head_end.size() + stated_length(got);
  };
  while (wanted()) {
    const int count = link.receiveBytes(block.data(), static_cast<int>(block.size()));
    if (count <= 0)
      return;
    got.append(block.data(), static_cast<std::size_t>(count));
  }
}

} // namespace sedgechute::testing
