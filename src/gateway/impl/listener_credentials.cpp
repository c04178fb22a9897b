#include "gateway/impl/listener_credentials.hpp"

#include <Poco/Exception.h>

#include <openssl/ssl.h>

#include <mutex>
#include <utility>

namespace sedgechute {

namespace {

using Poco::Net::Context;

constexpr int deepest_chain = 9;

Context::Ptr make_context(const listener_files& files) {
  Context::Params chosen;
  chosen.certificateFile = files.certificate;
  chosen.privateKeyFile = files.key;
  chosen.caLocation = files.authorities;
  chosen.verificationMode =
      files.authorities.empty() ? Context::VERIFY_NONE : Context::VERIFY_STRICT;
  chosen.verificationDepth = deepest_chain;
  chosen.loadDefaultCAs = false;
  chosen.cipherList = "HIGH:!aNULL";
  Context::Ptr made{new Context{Context::TLS_SERVER_USE, chosen}};
  // The library takes a key that is not the certificate's without a word.
  if (SSL_CTX_check_private_key(made->sslContext()) != 1)
    throw error{error_kind::invalid_settings, files.key,
                "is not the key of the certificate " + files.certificate};
  made->requireMinimumProtocol(Context::PROTO_TLSV1_2);
  // A resumed session would outlive the certificates and authorities that it was made under.
  SSL_CTX_set_options(made->sslContext(), SSL_OP_NO_TICKET);
  SSL_CTX_set_num_tickets(made->sslContext(), 0);
  // Thousands of streams are idle most of the time; each would hold on to some 30 KB of buffers.
  SSL_CTX_set_mode(made->sslContext(), SSL_MODE_RELEASE_BUFFERS);
  return made;
}

Context::Ptr read_context(const listener_files& files) {
  try {
    return make_context(files);
  } catch (const Poco::Exception& refused) {
    throw error{error_kind::invalid_settings, files.certificate, refused.displayText()};
  }
}

} // namespace

listener_credentials::listener_credentials(listener_files files)
    : files_{std::move(files)}, context_{read_context(files_)} {}

void listener_credentials::renew() {
  Context::Ptr fresh = read_context(files_);
  const std::scoped_lock lock{mutex_};
  context_ = std::move(fresh);
}

Context::Ptr listener_credentials::context() const {
  const std::scoped_lock lock{mutex_};
  return context_;
}

} // namespace sedgechute
