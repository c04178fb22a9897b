#pragma once

#include "clients/clients.hpp"
#include "daemon/impl/peer_links.hpp"
#include "membership/membership.hpp"

#include <condition_variable>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sedgechute {

/// \brief Gets records into the log in batches. Thread-safe, never blocks the caller.
///
/// The hosts of a data centre hand their records to the one of them that rendezvous names, so the
/// log sees one append per data centre and interval however many hosts there are. Nothing here is
/// certain: a record may be lost or appended twice, and its writer repeats it until it reads it
/// back.
class record_appender {
 public:
  record_appender(incarnation self, data_centre_id here, std::unique_ptr<log_client> log,
                  peer_links& peers);
  record_appender(const record_appender&) = delete;
  record_appender& operator=(const record_appender&) = delete;
  ~record_appender();

  void start();
  void stop();

  /// \brief Takes a record of this host.
  void append(std::string record);
  /// \brief Takes records that another host handed over: they are appended here.
  void append_for_peer(const incarnation& from, std::vector<std::string> records);
  /// \brief The host that was handed records could not reach the log.
  void on_append_failed(const incarnation& from);
  void on_view(const membership_view& view);

  /// \returns calls to the log that were answered, and those that were not.
  [[nodiscard]] std::uint64_t appends() const noexcept { return appends_; }
  [[nodiscard]] std::uint64_t failures() const noexcept { return failures_; }

 private:
  struct batch {
    std::vector<std::string> own;
    std::vector<std::string> from_peers;
    std::vector<incarnation> peers; ///< whose records those are
  };

  void run();
  void flush(batch work);
  [[nodiscard]] bool append_here(const std::vector<std::string>& records);
  void use_next_appender();
  void hand_over(std::vector<std::string> records, const incarnation& to);

  incarnation self_;
  data_centre_id here_;
  std::unique_ptr<log_client> log_;
  peer_links& peers_;
  ordered_mutex mutex_{lock_rank::outbox};
  std::condition_variable_any wake_;
  batch pending_;
  std::vector<incarnation> appenders_; ///< of this data centre, preferred first
  std::size_t preferred_{0};
  bool stopping_{false};
  std::atomic<std::uint64_t> appends_{0};
  std::atomic<std::uint64_t> failures_{0};
  std::thread thread_;
};

} // namespace sedgechute
