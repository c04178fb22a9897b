#pragma once

#include "kernel/kernel.hpp"
#include "wire/impl/certificate_check.hpp"

#include <grpcpp/grpcpp.h>
#include <grpcpp/security/tls_certificate_provider.h>

#include <memory>
#include <string>

namespace sedgechute {

/// \brief How hosts prove to each other who they are over gRPC: mutual TLS, or plain text.
class peer_credentials {
 public:
  /// \brief Plain text.
  peer_credentials() = default;
  /// \brief Mutual TLS with files that are read again every `reload`; files that do not belong
  /// together are left out and those in use stay.
  peer_credentials(const certificate_files& files, time_ms reload);

  [[nodiscard]] std::shared_ptr<grpc::ServerCredentials> for_server() const;
  [[nodiscard]] std::shared_ptr<grpc::Channel> open_channel(const std::string& address,
                                                            const host_id& peer,
                                                            grpc::ChannelArguments arguments) const;
  /// \returns whether the other end of a call may speak for `host`.
  [[nodiscard]] bool speaks_for(const grpc::ServerContext& context, const std::string& host) const;

 private:
  std::shared_ptr<grpc::experimental::CertificateProviderInterface> files_; ///< null: plain text
};

} // namespace sedgechute
