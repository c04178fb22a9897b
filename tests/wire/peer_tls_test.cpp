#include "test_certificates.hpp"
#include "wire/wire.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <fstream>
#include <unistd.h>

using namespace sedgechute;
using namespace sedgechute::tls_test;

namespace {

constexpr time_ms reload{1000};
constexpr std::chrono::seconds long_enough{10};

std::filesystem::path test_folder(const std::string& name) {
  return std::filesystem::temp_directory_path() /
         ("sedgechute-tls-" + std::to_string(::getpid()) + "-" + name);
}

/// A host that takes a batch if each message speaks for its sender.
class test_host final : public wire::peer::Service {
 public:
  explicit test_host(const peer_credentials& credentials) : credentials_{credentials} {
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", credentials.for_server(), &port_);
    builder.RegisterService(this);
    server_ = builder.BuildAndStart();
  }

  // NOLINTNEXTLINE(readability-identifier-naming): name given by the protocol
  grpc::Status Deliver(grpc::ServerContext* context, const wire::envelope_batch* batch,
                       wire::deliver_reply*) override {
    for (const wire::envelope& message : batch->envelopes())
      if (!credentials_.speaks_for(*context, message.from_host()))
        return {grpc::StatusCode::PERMISSION_DENIED, ""};
    return grpc::Status::OK;
  }

  /// \returns what becomes of a message that `credentials` brings in the name of `from`.
  [[nodiscard]] grpc::StatusCode hears(const peer_credentials& credentials, const std::string& from,
                                       const std::string& expected = "h0") const {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    const auto stub = wire::peer::NewStub(credentials.open_channel(
        "127.0.0.1:" + std::to_string(port_), host_id{expected}, arguments));
    wire::envelope_batch batch;
    batch.add_envelopes()->set_from_host(from);
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + long_enough);
    wire::deliver_reply reply;
    return stub->Deliver(&context, batch, &reply).error_code();
  }

 private:
  const peer_credentials& credentials_;
  int port_{0};
  std::unique_ptr<grpc::Server> server_;
};

void expect_fault(const certificate_files& files, const std::string& name, const std::string& why) {
  CAPTURE(why);
  try {
    check_certificates("/tls/peers", files, name);
    FAIL("was taken");
  } catch (const error& refused) {
    CHECK(std::string{refused.what()}.find(why) != std::string::npos);
  }
}

} // namespace

// Somebody on the network between the hosts opens a connection to one of them and gives away a
// team's tokens in the name of another. Whoever cannot show a certificate of the fleet's
// authorities must get nowhere, and a host's own certificate must not let it speak for another.
TEST_CASE("a host is heard only with a certificate of its own") {
  const test_authority fleet{test_folder("fleet")};
  const test_authority strangers{test_folder("strangers")};
  const peer_credentials server{fleet.issue("h0"), reload};
  const test_host host{server};
  const peer_credentials member{fleet.issue("h1"), reload};

  CHECK(host.hears(member, "h1") == grpc::StatusCode::OK);
  CHECK(host.hears(member, "h2") == grpc::StatusCode::PERMISSION_DENIED);
  CHECK(host.hears(peer_credentials{}, "h1") == grpc::StatusCode::UNAVAILABLE);
  // A stranger who knows the fleet's authorities, so that its own side is content.
  certificate_files stranger = strangers.issue("h1");
  stranger.authorities = fleet.issue("h3").authorities;
  CHECK(host.hears(peer_credentials{stranger, reload}, "h1") == grpc::StatusCode::UNAVAILABLE);
}

// A replaced host's address is given to another. What is sent to the old one must not reach the
// new one, which has a certificate of the same authorities but another name.
TEST_CASE("a host that answers at another's address is not talked to") {
  const test_authority fleet{test_folder("address")};
  const peer_credentials server{fleet.issue("h0"), reload};
  const test_host host{server};
  const peer_credentials member{fleet.issue("h1"), reload};
  CHECK(host.hears(member, "h1", "h9") == grpc::StatusCode::UNAVAILABLE);
  CHECK(host.hears(member, "h1", "h0") == grpc::StatusCode::OK);
}

// A certificate is renewed in place. New connections must show the new one without a restart, or
// the host is cut off when the old one expires. Here the new one has another name, so that it can
// be told from the old one.
TEST_CASE("renewed certificate files are taken without a restart") {
  const test_authority fleet{test_folder("reload")};
  const certificate_files files = fleet.issue("h0");
  const peer_credentials server{files, reload};
  const test_host host{server};
  const peer_credentials member{fleet.issue("h1"), reload};
  REQUIRE(host.hears(member, "h1") == grpc::StatusCode::OK);

  const certificate_files renewed = fleet.issue("renewed");
  std::filesystem::rename(renewed.key, files.key);
  std::filesystem::rename(renewed.certificate, files.certificate);
  const auto give_up = std::chrono::steady_clock::now() + long_enough;
  while (host.hears(member, "h1", "renewed") != grpc::StatusCode::OK &&
         std::chrono::steady_clock::now() < give_up)
    ::usleep(100'000);
  CHECK(host.hears(member, "h1", "renewed") == grpc::StatusCode::OK);
  CHECK(host.hears(member, "h1", "h0") == grpc::StatusCode::UNAVAILABLE);
}

// An operator mixes files up. Each mistake must be named at the start, not show hours later as
// hosts that cannot reach each other.
TEST_CASE("faulty certificate files are refused with file and reason") {
  const test_authority fleet{test_folder("files")};
  const certificate_files good = fleet.issue("h0");
  const certificate_files other = fleet.issue("h1");
  CHECK_NOTHROW(check_certificates("/tls/peers", good, "h0"));
  expect_fault({good.certificate, other.key, good.authorities}, "", "is not the key");
  expect_fault({good.certificate + "x", good.key, good.authorities}, "", "cannot be read");
  expect_fault({good.key, good.key, good.authorities}, "", "holds no certificate");
  expect_fault({good.certificate, good.certificate, good.authorities}, "", "no private key");
  expect_fault({good.certificate, good.key, good.key}, "", "/tls/peers/authorities");
  expect_fault(good, "h1", "does not carry the name h1");
  expect_fault(fleet.issue("late", -60), "", "has expired");
}
