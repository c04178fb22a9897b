#pragma once

#include "wire/impl/certificate_check.hpp"

#include <openssl/evp.h>
#include <openssl/x509.h>

#include <filesystem>
#include <memory>
#include <string>

namespace sedgechute::tls_test {

/// \brief Makes an authority and certificates signed by it, in a folder.
class test_authority {
 public:
  explicit test_authority(std::filesystem::path folder);

  /// \brief Writes certificate, key and authorities of `name`, valid until `seconds` from now.
  certificate_files issue(const std::string& name, long seconds = 3600) const;

 private:
  std::filesystem::path folder_;
  std::shared_ptr<EVP_PKEY> key_;
  std::shared_ptr<X509> certificate_;
};

} // namespace sedgechute::tls_test
