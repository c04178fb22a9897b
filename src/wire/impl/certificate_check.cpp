#include "wire/impl/certificate_check.hpp"

#include "kernel/kernel.hpp"

#include <openssl/bio.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <memory>

namespace sedgechute {

namespace {

template <auto release>
struct released_by {
  template <class resource>
  void operator()(resource* held) const noexcept {
    release(held);
  }
};
using file_handle = std::unique_ptr<BIO, released_by<BIO_free_all>>;
using certificate_handle = std::unique_ptr<X509, released_by<X509_free>>;
using key_handle = std::unique_ptr<EVP_PKEY, released_by<EVP_PKEY_free>>;

/// One of the files, and where the settings name it.
struct place {
  std::string pointer;
  std::string file;

  [[nodiscard]] error fault(const std::string& why) const {
    ERR_clear_error();
    return {error_kind::invalid_settings, pointer, file + ": " + why};
  }
};

// A daemon has nobody who could type a passphrase; asking for one would hang the start.
int no_passphrase(char*, int, int, void*) {
  return -1;
}

file_handle open_file(const place& at) {
  file_handle file{BIO_new_file(at.file.c_str(), "r")};
  if (!file)
    throw at.fault("cannot be read");
  return file;
}

certificate_handle read_certificate(const place& at) {
  const file_handle file = open_file(at);
  certificate_handle certificate{PEM_read_bio_X509(file.get(), nullptr, no_passphrase, nullptr)};
  if (!certificate)
    throw at.fault("holds no certificate in PEM format");
  return certificate;
}

key_handle read_key(const place& at) {
  const file_handle file = open_file(at);
  key_handle key{PEM_read_bio_PrivateKey(file.get(), nullptr, no_passphrase, nullptr)};
  if (!key)
    throw at.fault("holds no private key in PEM format without a passphrase");
  return key;
}

void check_validity(const place& at, const X509& certificate) {
  if (X509_cmp_current_time(X509_get0_notAfter(&certificate)) < 0)
    throw at.fault("the certificate has expired");
  if (X509_cmp_current_time(X509_get0_notBefore(&certificate)) > 0)
    throw at.fault("the certificate is not valid yet");
}

} // namespace

void check_certificates(const std::string& where, const certificate_files& files,
                        const std::string& name) {
  const place certificate_place{where + "/certificate", files.certificate};
  const place key_place{where + "/key", files.key};
  const certificate_handle certificate = read_certificate(certificate_place);
  const key_handle key = read_key(key_place);
  if (X509_check_private_key(certificate.get(), key.get()) != 1)
    throw key_place.fault("is not the key of the certificate " + files.certificate);
  check_validity(certificate_place, *certificate);
  if (!name.empty() && X509_check_host(certificate.get(), name.c_str(), name.size(),
                                       X509_CHECK_FLAG_NO_WILDCARDS, nullptr) != 1)
    throw certificate_place.fault("the certificate does not carry the name " + name);
  if (files.authorities.empty())
    return;
  const place authority_place{where + "/authorities", files.authorities};
  check_validity(authority_place, *read_certificate(authority_place));
}

} // namespace sedgechute
