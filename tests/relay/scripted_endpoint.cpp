#include "scripted_endpoint.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <chrono>
#include <sstream>

namespace sedgechute {

namespace {

constexpr time_ms longest_idle{20000};

} // namespace

scripted_endpoint::scripted_endpoint(script answer, const std::string& address)
    : answer_{std::move(answer)} {
  constexpr bool reuse_address = true;
  socket_.bind(Poco::Net::SocketAddress{address.empty() ? "127.0.0.1:0" : address}, reuse_address);
  socket_.listen();
  acceptor_ = std::thread{[this] { accept(); }};
}

scripted_endpoint::~scripted_endpoint() {
  stopping_ = true;
  acceptor_.join();
  for (std::thread& one : threads_)
    one.join();
}

std::vector<scripted_endpoint::seen_request> scripted_endpoint::seen() const {
  const std::scoped_lock lock{mutex_};
  return seen_;
}

bool scripted_endpoint::saw_caller_leave(time_ms within) const {
  const time_ms until = time_.now() + within;
  while (left_ == 0 && time_.now() < until)
    std::this_thread::sleep_for(std::chrono::milliseconds{5});
  return left_ > 0;
}

void scripted_endpoint::accept() {
  while (!stopping_) {
    if (!socket_.poll(Poco::Timespan{20'000}, Poco::Net::Socket::SELECT_READ))
      continue;
    threads_.emplace_back([this, socket = socket_.acceptConnection()] { serve(socket); });
    ++connections_;
  }
  if (crashed_)
    socket_.close();
}

void scripted_endpoint::serve(const Poco::Net::StreamSocket& socket) {
  connection link{socket, time_};
  while (!stopping_ && exchange(link)) {
  }
  if (crashed_ && !closes_in_order_)
    link.abort();
}

bool scripted_endpoint::exchange(connection& link) {
  std::string text;
  io_status status = io_status::timed_out;
  const time_ms until = time_.now() + longest_idle;
  while (status == io_status::timed_out && !stopping_ && time_.now() < until)
    status = link.read_head(text, 65536, time_.now() + time_ms{50});
  if (status != io_status::ok)
    return false;
  seen_request request{parse_request_head(text), {}};
  const std::uint64_t length = request.head.fields.number("Content-Length").value_or(0);
  while (link.buffered().size() < length)
    if (link.fill(time_.now() + longest_idle) != io_status::ok)
      return false;
  request.body = link.buffered().substr(0, length);
  link.consume(length);
  {
    const std::scoped_lock lock{mutex_};
    seen_.push_back(request);
  }
  const scripted_reply reply = answer_(request);
  (void)link.write_all(reply.bytes, time_.now() + longest_idle);
  if (reply.may_go_on)
    while (!reply.may_go_on() && !stopping_)
      std::this_thread::sleep_for(std::chrono::milliseconds{2});
  else if (!reply.later.empty())
    std::this_thread::sleep_for(std::chrono::milliseconds{reply.pause.count()});
  if (!reply.later.empty()) {
    (void)link.write_all(reply.later, time_.now() + longest_idle);
  }
  if (reply.after == scripted_reply::then::hang) {
    status = io_status::timed_out;
    while (status == io_status::timed_out && !stopping_)
      status = link.fill(time_.now() + time_ms{20});
    if (!stopping_)
      ++left_;
    return false;
  }
  if (reply.after == scripted_reply::then::reset)
    link.abort();
  if (reply.after == scripted_reply::then::crash || reply.after == scripted_reply::then::leave) {
    closes_in_order_ = reply.after == scripted_reply::then::leave;
    crashed_ = true;
    stopping_ = true;
  }
  return reply.after == scripted_reply::then::keep;
}

std::string attempt_of(const scripted_endpoint::seen_request& request) {
  const std::string* id = request.head.fields.find("Attempt-Id");
  return id == nullptr ? "" : *id;
}

scripted_endpoint::script answers(const std::string& body) {
  return [body](const auto& request) {
    return scripted_reply{whole_answer(attempt_of(request), body), scripted_reply::then::keep, ""};
  };
}

scripted_endpoint::script replies(const std::string& bytes, scripted_reply::then after) {
  return [=](const auto&) { return scripted_reply{bytes, after, ""}; };
}

bool ends_in_order(const std::string& stream) {
  return stream.ends_with("\r\n0\r\n\r\n");
}

std::string whole_answer(const std::string& attempt, const std::string& body, int status) {
  std::ostringstream text;
  text << "HTTP/1.1 " << status << " Any\r\nAttempt-Id: " << attempt
       << "\r\nResponse-Signature: mark\r\nContent-Length: " << body.size() << "\r\n\r\n"
       << body;
  return text.str();
}

std::string stream_head(const std::string& attempt) {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
         "\r\nResponse-Signature: mark\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string event_chunk(int id) {
  const std::string event = "id: " + std::to_string(id) + "\ndata: x\n\n";
  std::ostringstream text;
  text << std::hex << event.size() << "\r\n" << event << "\r\n";
  return text.str();
}

} // namespace sedgechute
