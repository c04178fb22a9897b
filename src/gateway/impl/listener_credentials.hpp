#pragma once

#include "kernel/kernel.hpp"

#include <Poco/Net/Context.h>

#include <string>

namespace sedgechute {

/// \brief PEM files that a listener proves itself with.
struct listener_files {
  std::string certificate;
  std::string key;
  std::string authorities; ///< not empty: the other side must show a certificate signed by one
};

/// \brief What a listener serves TLS with. Thread-safe.
class listener_credentials {
 public:
  /// \throws error `invalid_settings`
  explicit listener_credentials(listener_files files);

  /// \brief Reads the files again; connections made from now on use them.
  /// \throws error `invalid_settings`; what is in use stays
  void renew();

  [[nodiscard]] Poco::Net::Context::Ptr context() const;

 private:
  listener_files files_;
  mutable ordered_mutex mutex_{lock_rank::credentials};
  Poco::Net::Context::Ptr context_;
};

} // namespace sedgechute
