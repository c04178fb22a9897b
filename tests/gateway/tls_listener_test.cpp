#include "test_gateway.hpp"

#include "test_certificates.hpp"

#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPSClientSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SecureStreamSocket.h>
#include <Poco/StreamCopier.h>

#include <doctest/doctest.h>

#include <filesystem>
#include <unistd.h>

using namespace sedgechute;
using namespace sedgechute::testing;
using namespace sedgechute::tls_test;

namespace {

using Poco::Net::Context;

test_authority authority_in(const std::string& folder) {
  return test_authority{std::filesystem::temp_directory_path() /
                        ("sedgechute-listener-" + std::to_string(::getpid()) + "-" + folder)};
}

std::shared_ptr<listener_credentials> credentials_of(const certificate_files& files,
                                                     const std::string& authorities = {}) {
  return std::make_shared<listener_credentials>(
      listener_files{files.certificate, files.key, authorities});
}

test_limits limits_with(std::shared_ptr<const listener_credentials> credentials) {
  test_limits limits;
  limits.server.header_timeout = time_ms{1000};
  limits.server.credentials = std::move(credentials);
  return limits;
}

/// \returns the status of a request over TLS; 0 when the connection failed.
int status_over_tls(const test_gateway& host, const std::string& authorities,
                    const certificate_files& own = {}) {
  const Context::Ptr context{new Context{Context::TLS_CLIENT_USE, own.key, own.certificate,
                                         authorities, Context::VERIFY_STRICT, 9, false}};
  try {
    Poco::Net::HTTPSClientSession session{host.address().host().toString(), host.address().port(),
                                          context};
    Poco::Net::HTTPRequest request{"GET", "/healthz", "HTTP/1.1"};
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    return response.getStatus();
  } catch (const Poco::Exception&) {
    return 0;
  }
}

} // namespace

// A caller sends its key in plain text to a port that serves TLS, by an old setting. It must get
// nothing, not even an error page that a reader on the way could change.
TEST_CASE("a TLS listener serves who trusts its authority and nobody in plain text") {
  const test_authority authority = authority_in("plain");
  const certificate_files files = authority.issue("callers");
  const test_gateway host{limits_with(credentials_of(files))};
  CHECK(status_over_tls(host, files.authorities) == 200);
  CHECK(status_over_tls(host, authority_in("other").issue("x").authorities) == 0);
  raw_caller plain = host.caller();
  plain.send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(plain.receive().status == 0);
  CHECK(status_over_tls(host, files.authorities) == 200);
}

// A stolen operator key alone must not open a listener that asks for certificates as well.
TEST_CASE("a listener with authorities serves only certificates signed by them") {
  const test_authority authority = authority_in("mutual");
  const certificate_files files = authority.issue("admin");
  const test_gateway host{limits_with(credentials_of(files, files.authorities))};
  CHECK(status_over_tls(host, files.authorities, authority.issue("operator")) == 200);
  CHECK(status_over_tls(host, files.authorities) == 0);
  CHECK(status_over_tls(host, files.authorities, authority_in("strangers").issue("op")) == 0);
}

// A certificate is renewed in place while callers are connected. The next connection must show the
// new one; a file that is not whole must leave the old one in use.
TEST_CASE("a renewed certificate is served without a restart, a broken one is not") {
  const test_authority before = authority_in("before");
  const test_authority after = authority_in("after");
  const certificate_files files = before.issue("callers");
  const certificate_files renewed = after.issue("callers");
  const auto credentials = credentials_of(files);
  const test_gateway host{limits_with(credentials)};
  REQUIRE(status_over_tls(host, files.authorities) == 200);

  std::filesystem::copy_file(renewed.certificate, files.certificate,
                             std::filesystem::copy_options::overwrite_existing);
  CHECK_THROWS_AS(credentials->renew(), error); // the key is still the old one
  CHECK(status_over_tls(host, files.authorities) == 200);

  std::filesystem::copy_file(renewed.key, files.key,
                             std::filesystem::copy_options::overwrite_existing);
  credentials->renew();
  CHECK(status_over_tls(host, renewed.authorities) == 200);
  CHECK(status_over_tls(host, files.authorities) == 0);
}

// A caller opens a connection and never finishes its handshake. Its thread must be free again, or
// a few thousand such callers hold every thread of the host.
TEST_CASE("a handshake that never ends is given up") {
  const certificate_files files = authority_in("slow").issue("callers");
  const test_gateway host{limits_with(credentials_of(files))};
  raw_caller caller = host.caller();
  // The first bytes of a record that announces more than will come.
  CHECK(caller.send(std::string{"\x16\x03\x01\x02\x00\x01", 6}));
  CHECK(caller.closed_by_host());
}
