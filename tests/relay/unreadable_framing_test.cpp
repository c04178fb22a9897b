// Answers of endpoints whose header does not say where the body ends, or says it wrongly.

#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace sedgechute;

namespace {

using then = scripted_reply::then;

const std::string generated = "Model: m\r\nToken-Usage: 10,10\r\n";
const std::string two_lengths = "Content-Length: 4\r\nContent-Length: 2\r\n";

std::string event_text(int id) {
  return "id: " + std::to_string(id) + "\ndata: piece\n\n";
}

/// \returns a header that ends an answer's framing with `fields`
std::string head_with(const std::string& fields) {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nResponse-Signature: e.sig\r\n"
         "Content-Type: text/event-stream\r\n" +
         fields + "\r\n";
}

/// \returns what a caller gets from endpoints that send `bytes` and close the connection
std::string answer_to(const std::string& path, const std::string& bytes) {
  scripted_endpoint first{replies(bytes, then::close)};
  scripted_endpoint second{replies(bytes, then::close)};
  relay_fixture host;
  host.add_endpoint("e1", first.address());
  host.add_endpoint("e2", second.address());
  return host.call(path, "id-1", path == "/stream/" ? generated : "", "POST", "body");
}

bool is_whole_success(const std::string& answer) {
  return status_of(answer) == 200 &&
         (answer.find("Transfer-Encoding") == std::string::npos || ends_in_order(answer));
}

} // namespace

// A caller must not take the bytes until the close for a whole body.
TEST_CASE("an answer whose length or coding cannot be read is no success") {
  for (const char* const path : {"/safe/", "/unsafe/", "/stream/"})
    for (const std::string& fields :
         {std::string{"Content-Length:\r\n"}, std::string{"Content-Length: 4x\r\n"},
          std::string{"Content-Length: -4\r\n"}, std::string{"Content-Length: 4, 2\r\n"},
          std::string{"Content-Length: 99999999999999999999\r\n"}, two_lengths,
          std::string{"Transfer-Encoding: gzip\r\n"},
          std::string{"Transfer-Encoding: gzip, chunked\r\n"},
          std::string{"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n"},
          std::string{"Transfer-Encoding:\r\nContent-Length: 4\r\n"}})
      for (const std::string& body : {std::string{}, std::string{"done"}, event_text(1)}) {
        CAPTURE(path);
        CAPTURE(fields);
        CHECK_FALSE(is_whole_success(answer_to(path, head_with(fields) + body)));
      }
}

// An endpoint that stops after its header closes the connection, as one does after an empty body.
TEST_CASE("an answer without a length and without a byte is no success") {
  for (const char* const path : {"/safe/", "/unsafe/", "/stream/"}) {
    CAPTURE(path);
    CHECK_FALSE(is_whole_success(answer_to(path, head_with(""))));
  }
  CHECK_FALSE(is_whole_success(answer_to("/stream/", head_with("") + ": comment\n\n")));
}

TEST_CASE("an answer without a length ends with its connection") {
  const std::string answer = answer_to("/safe/", head_with("") + "done");
  CHECK(status_of(answer) == 200);
  CHECK(answer.ends_with("done"));
  CHECK(ends_in_order(answer_to("/stream/", head_with("") + event_text(1))));
}

// An endpoint's own failure needs no body to be passed on.
TEST_CASE("a failure without a length and without a byte is the endpoint's own") {
  std::string head = head_with("");
  head.replace(head.find("200 OK"), 6, "500 No");
  CHECK(status_of(answer_to("/unsafe/", head)) == 500);
}

TEST_CASE("a length that is stated twice in the same way counts once") {
  const std::string twice = "Content-Length: 4\r\nContent-Length: 4\r\n";
  const std::string answer = answer_to("/safe/", head_with(twice) + "done");
  CHECK(status_of(answer) == 200);
  CHECK(answer.ends_with("done"));
}

// A promise that nothing has run holds whatever the framing of its body says.
TEST_CASE("a refusal whose length cannot be read still promises that nothing has run") {
  scripted_endpoint refusing{replies("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: id-1\r\n"
                                     "Not-Executed: 1\r\nContent-Length: x\r\n\r\n",
                                     then::close)};
  relay_fixture host;
  host.add_endpoint("e1", refusing.address());
  CHECK(status_of(host.call("/unsafe/", "id-1", "", "POST", "body")) == 503);
}
