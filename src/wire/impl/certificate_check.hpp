#pragma once

#include <string>

namespace sedgechute {

/// \brief PEM files of one side of a TLS connection.
struct certificate_files {
  std::string certificate;
  std::string key;
  std::string authorities; ///< may be empty
};

/// \brief Checks that the files can be used now: readable, a certificate in force, its key, and
/// authorities that parse.
/// \param where  pointer to the settings of the files, for the message
/// \param name   a name that the certificate must carry; empty for any
/// \throws error `invalid_settings` that says which file, and why
void check_certificates(const std::string& where, const certificate_files& files,
                        const std::string& name = {});

} // namespace sedgechute
