#include "relay/relay.hpp"
#include "scripted_endpoint.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <doctest/doctest.h>

#include <array>
#include <atomic>

using namespace sedgechute;

namespace {

constexpr std::size_t max_header = 1024;
constexpr std::size_t max_body = 4096;

/// \brief A connection whose caller sends a test's bytes.
class arrival {
 public:
  explicit arrival(const memory_division& memory = {})
      : memory_{memory}, server_{Poco::Net::SocketAddress{"127.0.0.1", 0}} {
    caller_.connect(server_.address());
    link_ = std::make_unique<connection>(server_.acceptConnection(), time_);
    request_ = std::make_unique<arriving_request>(memory_, time_.now(), unanswered_, busy_);
  }

  /// \returns the state once all of `bytes` have been read
  arrival_state take(const std::string& bytes) {
    if (!bytes.empty())
      caller_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    for (std::size_t seen = 0; seen < bytes.size();) {
      const std::size_t before = link_->buffered().size();
      REQUIRE(link_->fill(time_.now() + time_ms{2000}) == io_status::ok);
      seen += link_->buffered().size() - before;
    }
    arrival_state state = take_arrived(*request_, *link_, terms_);
    if (state == arrival_state::header_arrived)
      state = take_arrived(*request_, *link_, terms_);
    return state;
  }

  [[nodiscard]] const arriving_request& request() const { return *request_; }
  [[nodiscard]] std::string_view left() const { return link_->buffered(); }
  [[nodiscard]] std::size_t held() const { return memory_.held(held_message::body); }
  [[nodiscard]] std::size_t unanswered() const { return unanswered_; }
  void end() { request_.reset(); }

 private:
  steady_clock time_;
  held_bytes memory_;
  arrival_terms terms_{.limits = {.header_bytes = max_header, .body_bytes = max_body},
                       .body_timeout = time_ms{1000}};
  std::atomic<std::size_t> unanswered_{0};
  std::atomic<std::size_t> busy_{0};
  Poco::Net::ServerSocket server_;
  Poco::Net::StreamSocket caller_;
  std::unique_ptr<connection> link_;
  std::unique_ptr<arriving_request> request_;
};

std::string post(const std::string& fields) {
  return "POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

error_kind refusal_of(const std::string& bytes) {
  arrival seen;
  try {
    (void)seen.take(bytes);
  } catch (const error& reason) {
    return reason.kind();
  }
  return error_kind::internal;
}

} // namespace

TEST_CASE("an arriving request is whole with the last byte of its body") {
  const std::string text = post("Content-Length: 3\r\n") + "abc";
  for (std::size_t size = 1; size < text.size(); ++size)
    CHECK(arrival{}.take(text.substr(0, size)) == arrival_state::arriving);
  arrival seen;
  CHECK(seen.take(text.substr(0, text.size() - 1)) == arrival_state::arriving);
  REQUIRE(seen.take("cGET ") == arrival_state::whole);
  CHECK(seen.request().head->target == "/a");
  CHECK(seen.request().body == "abc");
  CHECK(seen.left() == "GET ");
  CHECK(arrival{}.take(post("")) == arrival_state::whole);
  CHECK(arrival{}.take(post("Content-Length: 0\r\n")) == arrival_state::whole);
}

TEST_CASE("an arriving chunked body is decoded and leaves the bytes of the next request") {
  arrival seen;
  CHECK(seen.take(post("Transfer-Encoding: chunked\r\n") + "3\r\nab") == arrival_state::arriving);
  REQUIRE(seen.take("c\r\n0\r\n\r\nGET ") == arrival_state::whole);
  CHECK(seen.request().body == "abc");
  CHECK(seen.left() == "GET ");
}

// A wrong guess of a request's end would take bytes of the next request for its own.
TEST_CASE("an arriving request that is malformed or too large is refused") {
  CHECK(refusal_of("no request\r\n\r\n") == error_kind::malformed_request);
  CHECK(refusal_of(post("Content-Length: 1\r\nContent-Length: 2\r\n")) ==
        error_kind::malformed_request);
  CHECK(refusal_of(post("Transfer-Encoding: chunked\r\n") + "x\r\n") ==
        error_kind::malformed_request);
  CHECK(refusal_of(post("Content-Length: 5000\r\n")) == error_kind::payload_too_large);
  CHECK(refusal_of(post("Transfer-Encoding: chunked\r\n") + "1001\r\n") ==
        error_kind::payload_too_large);
  CHECK(refusal_of(std::string(max_header + 1, 'a')) == error_kind::payload_too_large);
}

// Uncounted, unfinished headers and bodies would exceed the memory.
TEST_CASE("an arriving request counts its header, then its body, until it ends") {
  arrival seen{{.bodies = 8000, .answers = 1, .reserve = 0}};
  const std::string head = post("Content-Length: 3000\r\n");
  (void)seen.take(head.substr(0, 20));
  CHECK(seen.held() == 20);
  CHECK(seen.unanswered() == 1);
  CHECK(seen.take(head.substr(20)) == arrival_state::arriving);
  CHECK(seen.held() == 3000);
  CHECK(unread_bytes(seen.request(), {}) == 3000);
  seen.end();
  CHECK(seen.held() == 0);
  CHECK(seen.unanswered() == 0);
}

TEST_CASE("a body is refused before it is read when the memory has no room for it") {
  arrival stated{{.bodies = 2000, .answers = 1, .reserve = 0}};
  CHECK(stated.take(post("Content-Length: 3000\r\n")) == arrival_state::no_room);
  arrival chunked{{.bodies = 2000, .answers = 1, .reserve = 0}};
  CHECK(chunked.take(post("Transfer-Encoding: chunked\r\n") + "bb8\r\n" + std::string(3000, 'b')) ==
        arrival_state::no_room);
  CHECK(chunked.request().body.empty());
}

// While a buffer grows there are two of them.
TEST_CASE("a chunked body counts with both buffers before one grows into the other") {
  constexpr std::size_t first = 2000;
  const std::string begun =
      post("Transfer-Encoding: chunked\r\n") + "bb8\r\n" + std::string(first, 'b');
  const std::string more(100, 'b');
  arrival fits{{.bodies = 4 * first, .answers = 1, .reserve = 0}};
  CHECK(fits.take(begun) == arrival_state::arriving);
  CHECK(fits.take(more) == arrival_state::arriving);
  arrival exceeds{{.bodies = 5 * first / 2, .answers = 1, .reserve = 0}};
  CHECK(exceeds.take(begun) == arrival_state::arriving);
  CHECK(exceeds.take(more) == arrival_state::no_room);
  CHECK(exceeds.held() <= 5 * first / 2);
}
