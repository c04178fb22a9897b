#include "wire/impl/peer_credentials.hpp"

#include <grpcpp/security/tls_credentials_options.h>

#include <algorithm>

namespace sedgechute {

namespace {

constexpr std::int64_t ms_per_s = 1000;

template <class options>
void watch_files(options& chosen) {
  chosen.watch_root_certs();
  chosen.watch_identity_key_cert_pairs();
}

} // namespace

peer_credentials::peer_credentials(const certificate_files& files, time_ms reload)
    : files_{std::make_shared<grpc::experimental::FileWatcherCertificateProvider>(
          files.key, files.certificate, files.authorities,
          static_cast<unsigned>(std::max<std::int64_t>(reload.count() / ms_per_s, 1)))} {}

std::shared_ptr<grpc::ServerCredentials> peer_credentials::for_server() const {
  if (!files_)
    return grpc::InsecureServerCredentials();
  grpc::experimental::TlsServerCredentialsOptions options{files_};
  watch_files(options);
  options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  return grpc::experimental::TlsServerCredentials(options);
}

// Hosts are found by IP number, and a replaced one may get the number of another. So the number
// proves nothing: the certificate must be signed by the fleet's authorities and carry the host's
// name, which is what membership knows it by. Without the name check, any host of the fleet could
// stand in at any other's address and be sent what is meant for that one.
std::shared_ptr<grpc::Channel>
peer_credentials::open_channel(const std::string& address, const host_id& peer,
                               grpc::ChannelArguments arguments) const {
  if (!files_)
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
  grpc::experimental::TlsChannelCredentialsOptions options;
  options.set_certificate_provider(files_);
  watch_files(options);
  options.set_certificate_verifier(
      std::make_shared<grpc::experimental::HostNameCertificateVerifier>());
  arguments.SetSslTargetNameOverride(peer.str());
  return grpc::CreateCustomChannel(address, grpc::experimental::TlsCredentials(options), arguments);
}

// Failure: one host that was taken over speaks for the others, gives tokens back that they still
// use, or takes their keys. It shows as budgets that do not add up. The certificate's own names are
// the only part of a call that its sender cannot choose.
bool peer_credentials::speaks_for(const grpc::ServerContext& context,
                                  const std::string& host) const {
  if (!files_)
    return true;
  const auto proved = context.auth_context();
  if (!proved || !proved->IsPeerAuthenticated())
    return false;
  auto names = proved->FindPropertyValues(GRPC_X509_SAN_PROPERTY_NAME);
  if (names.empty())
    names = proved->FindPropertyValues(GRPC_X509_CN_PROPERTY_NAME);
  return std::any_of(names.begin(), names.end(), [&](const grpc::string_ref& name) {
    return std::string_view{name.data(), name.size()} == host;
  });
}

} // namespace sedgechute
