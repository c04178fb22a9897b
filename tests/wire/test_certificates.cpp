#include "test_certificates.hpp"

#include <openssl/ec.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>

namespace sedgechute::tls_test {

namespace {

constexpr long an_hour = 3600;

std::shared_ptr<EVP_PKEY> new_key() {
  return {EVP_EC_gen("P-256"), EVP_PKEY_free};
}

void extend(X509& certificate, X509& issuer, int kind, const std::string& value) {
  X509V3_CTX context;
  X509V3_set_ctx(&context, &issuer, &certificate, nullptr, nullptr, 0);
  X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, &context, kind, value.c_str());
  X509_add_ext(&certificate, extension, -1);
  X509_EXTENSION_free(extension);
}

std::shared_ptr<X509> new_certificate(const std::string& name, EVP_PKEY& key, long seconds) {
  static long serial = 1;
  std::shared_ptr<X509> made{X509_new(), X509_free};
  X509_set_version(made.get(), 2);
  ASN1_INTEGER_set(X509_get_serialNumber(made.get()), ++serial);
  X509_gmtime_adj(X509_getm_notBefore(made.get()), -2 * an_hour);
  X509_gmtime_adj(X509_getm_notAfter(made.get()), seconds);
  X509_set_pubkey(made.get(), &key);
  X509_NAME_add_entry_by_txt(X509_get_subject_name(made.get()), "CN", MBSTRING_UTF8,
                             reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
  return made;
}

template <class writer>
std::string write(const std::filesystem::path& file, writer put) {
  std::FILE* out = std::fopen(file.c_str(), "w");
  put(out);
  std::fclose(out);
  return file.string();
}

std::string write_certificate(const std::filesystem::path& file, const X509& certificate) {
  return write(file, [&](std::FILE* out) { PEM_write_X509(out, &certificate); });
}

} // namespace

test_authority::test_authority(std::filesystem::path folder)
    : folder_{std::move(folder)}, key_{new_key()}, certificate_{new_certificate("authority", *key_,
                                                                                an_hour)} {
  std::filesystem::create_directories(folder_);
  X509_set_issuer_name(certificate_.get(), X509_get_subject_name(certificate_.get()));
  extend(*certificate_, *certificate_, NID_basic_constraints, "critical,CA:TRUE");
  extend(*certificate_, *certificate_, NID_key_usage, "critical,keyCertSign,cRLSign");
  X509_sign(certificate_.get(), key_.get(), EVP_sha256());
}

certificate_files test_authority::issue(const std::string& name, long seconds) const {
  const auto key = new_key();
  const auto made = new_certificate(name, *key, seconds);
  X509_set_issuer_name(made.get(), X509_get_subject_name(certificate_.get()));
  extend(*made, *certificate_, NID_subject_alt_name, "DNS:" + name + ",IP:127.0.0.1");
  X509_sign(made.get(), key_.get(), EVP_sha256());
  return {write_certificate(folder_ / (name + ".pem"), *made),
          write(folder_ / (name + ".key"),
                [&](std::FILE* out) {
                  PEM_write_PrivateKey(out, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
                }),
          write_certificate(folder_ / "authorities.pem", *certificate_)};
}

} // namespace sedgechute::tls_test
