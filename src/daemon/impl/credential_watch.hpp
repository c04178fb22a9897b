#pragma once

#include "config/config.hpp"
#include "gateway/gateway.hpp"
#include "telemetry/telemetry.hpp"
#include "wire/wire.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sedgechute {

[[nodiscard]] certificate_files files_of(const tls_files& files);

/// \brief Checks every file that `/tls` names.
/// \throws error `invalid_settings` for the first faulty one
void check_credentials(const host_settings& settings);

/// \brief Looks for renewed credentials and says in log and metrics what became of them. Not
/// thread-safe.
class credential_watch {
 public:
  /// \brief Gets the datagram keys whenever they are renewed.
  using key_listener = std::function<void(const std::vector<datagram_key>&)>;

  credential_watch(const host_settings& settings, key_listener on_keys, structured_log& lines,
                   metrics& numbers);

  /// \brief Looks once every `/tls/reload_ms`.
  void look_when_due(time_ms now);

  /// \returns what the listener serves TLS with; null for plain text.
  [[nodiscard]] std::shared_ptr<listener_credentials> callers() const { return callers_; }
  [[nodiscard]] std::shared_ptr<listener_credentials> admin() const { return admin_; }

 private:
  /// One side of this host, with the content of its files at the last look.
  struct side {
    std::string_view name;
    std::vector<std::string> files;
    std::string content;
  };

  void look_at(side& one);
  void watch(std::string_view name, const tls_files& files);
  void take(const side& one);
  void note(const side& one, bool taken, const std::string& reason);

  const host_settings& settings_;
  key_listener on_keys_;
  structured_log& lines_;
  metrics& numbers_;
  std::shared_ptr<listener_credentials> callers_;
  std::shared_ptr<listener_credentials> admin_;
  std::vector<side> sides_;
  time_ms next_look_{0};
};

} // namespace sedgechute
