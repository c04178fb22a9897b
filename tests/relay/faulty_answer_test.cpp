// Endpoints that send what is no answer, or only a part of one.

#include "raw_endpoint.hpp"
#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

using namespace sedgechute;
using testing::raw_endpoint;
using testing::raw_reply;

namespace {

const std::string generated = "Model: m\r\nToken-Usage: 10,10\r\n";
const std::string fields = "Attempt-Id: id-1\r\nResponse-Signature: mark\r\n";
const std::string sound = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\ndone";

/// \returns what a caller gets from endpoints that answer so
std::string answer_to(const std::string& path, const raw_reply& reply,
                      const std::string& body = "body") {
  raw_endpoint first{reply};
  raw_endpoint second{reply};
  relay_fixture host;
  host.add_endpoint("e1", first.address());
  host.add_endpoint("e2", second.address());
  return host.call(path, "id-1", path == "/stream/" ? generated : "", "POST", body);
}

bool is_whole_success(const std::string& answer) {
  const std::size_t end = answer.find("\r\n\r\n");
  if (status_of(answer) != 200 || end == std::string::npos)
    return false;
  const auto head = parse_response_head(answer.substr(0, end + 4));
  if (!head->fields.has("Content-Length"))
    return ends_in_order(answer);
  return head->fields.number("Content-Length") == answer.size() - end - 4;
}

} // namespace

// Guards against a status that is read by its first three digits, or is none.
TEST_CASE("an answer whose status is no final status is no answer") {
  for (const char* const path : {"/safe/", "/unsafe/", "/stream/"})
    for (const char* const status :
         {"2000", "1000", "000", "099", "99", "20x", "0200", "101", "600"}) {
      INFO(std::string{path} << " " << std::string{status});
      const std::string line = std::string{"HTTP/1.1 "} + status + " X\r\n";
      CHECK(status_of(answer_to(path, {line + fields + "Content-Length: 4\r\n\r\ndone"})) == 502);
    }
}

TEST_CASE("an answer behind a header that is none is not used") {
  for (const char* const path : {"/safe/", "/unsafe/"}) {
    for (const char* const first : {"1000 X", "2000 X", "000 X", "101 Switching Protocols"}) {
      INFO(std::string{path} << " " << std::string{first});
      CHECK(status_of(answer_to(path, {std::string{"HTTP/1.1 "} + first + "\r\n\r\n" + sound})) ==
            502);
    }
    CHECK(status_of(answer_to(path, {"HTTP/1.1 100 Continue\r\n\r\n" + sound})) == 200);
    CHECK(status_of(answer_to(path, {"HTTP/1.1 103 Early Hints\r\n\r\n" + sound})) == 200);
  }
}

// Guards against a part of an answer that is given to the caller as a whole one.
TEST_CASE("an answer that is reset while its upload goes on is not whole") {
  using std::chrono::milliseconds;
  const std::string head = "HTTP/1.1 200 OK\r\n" + fields;
  for (const char* const path : {"/safe/", "/unsafe/", "/stream/"})
    for (const std::size_t bytes : {300'000U, 3'500'000U})
      for (const auto after : {raw_reply::end::reset, raw_reply::end::close})
        for (const milliseconds pause : {milliseconds{0}, milliseconds{150}})
          for (const std::string& answer :
               {head + "\r\npart", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
                head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"}) {
            INFO(std::string{path} << " " << bytes << " " << pause.count() << " " << answer);
            const raw_reply reply{answer, after, false, pause};
            CHECK_FALSE(is_whole_success(answer_to(path, reply, std::string(bytes, 'b'))));
          }
}
