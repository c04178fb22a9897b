#pragma once

#include "platform/platform.hpp"
#include "scripted_endpoint.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief An in-memory account log with a single writer.
class memory_account_log final : public account_log {
 public:
  account_page newest() override { return read(0); }
  account_page retained() override { return read(0); }
  account_page read(std::uint64_t from) override {
    return {{records_.begin() + static_cast<std::ptrdiff_t>(from), records_.end()},
            records_.size(),
            false};
  }
  std::optional<std::uint64_t> append_at(std::uint64_t end,
                                         const std::vector<account_record>& records) override {
    if (end != records_.size())
      return std::nullopt;
    records_.insert(records_.end(), records.begin(), records.end());
    return records_.size();
  }

 private:
  std::vector<account_record> records_;
};

/// \brief A caller's connection that sends raw bytes.
class raw_caller {
 public:
  explicit raw_caller(const std::string& address);

  void send(std::string_view bytes);
  /// \brief Reads until the host closes or sends nothing for `quiet`.
  [[nodiscard]] std::string read_all(time_ms quiet) { return read_all(quiet, quiet); }
  /// \brief Reads an answer; waits long enough for its first byte on a busy machine.
  [[nodiscard]] std::string read_all() { return read_all(time_ms{400}, time_ms{3000}); }
  /// \param first  timeout of the first byte
  [[nodiscard]] std::string read_all(time_ms quiet, time_ms first);
  void close() { link_.reset(); }
  /// \returns the status of the last read or write
  [[nodiscard]] io_status last() const noexcept { return last_; }

 private:
  steady_clock time_;
  std::unique_ptr<connection> link_;
  io_status last_{io_status::ok};
};

/// \brief Terms of a configuration with one service and a route of each kind.
struct fixture_terms {
  std::uint64_t prepaid{1000000}; ///< tokens of the only team
  std::uint64_t version{3};
  int attempts{2};
  time_ms timeout{2000};
  time_ms idle_timeout{700};
  std::string service{"s"};
};
[[nodiscard]] config_ptr fixture_config(const fixture_terms& of);

/// \brief One host with its HTTP frontend and the endpoints that a test adds.
class relay_fixture {
 public:
  /// \param prepaid  tokens of the only team
  /// \param options  of the relay; a retry slack of 0 is replaced by 1000
  /// \param config   configuration; by default one service with a route of each kind
  explicit relay_fixture(std::uint64_t prepaid = 1000000, relay_options options = {},
                         config_ptr config = nullptr);

  /// \param started  a different value for a known id is a restart
  void add_endpoint(const std::string& id, const std::string& address,
                    std::optional<time_ms> started = std::nullopt,
                    const std::string& service = "s");
  /// \returns the answer to one request on a new connection
  [[nodiscard]] std::string call(const std::string& path, const std::string& attempt,
                                 const std::string& more_fields = "",
                                 const std::string& method = "GET", const std::string& body = "");
  [[nodiscard]] std::string address() const { return socket_.address().toString(); }
  /// \returns the address at which other hosts forward requests; opens it at the first call
  [[nodiscard]] std::string address_for_hosts();
  [[nodiscard]] endpoint_directory& endpoints() noexcept { return endpoints_; }
  [[nodiscard]] content_guard& contents() noexcept { return contents_; }
  [[nodiscard]] budget_manager& budgets() noexcept { return *budgets_; }
  [[nodiscard]] http_frontend& frontend() noexcept { return *frontend_; }
  [[nodiscard]] request_relay& relay() noexcept { return *relay_; }
  [[nodiscard]] metrics& figures() noexcept { return figures_; }
  /// \brief Puts another configuration in force.
  void set_config(config_ptr config);
  /// \brief Lets the relay refuse new requests as on a host with an overloaded processor.
  void set_busy(bool busy) noexcept { busy_ = busy; }
  /// \brief Sets the fraction of new requests that the host's load requires to be refused. With
  /// routes of one priority it has no effect.
  void set_refused_fraction(double fraction) noexcept { refused_fraction_ = fraction; }
  /// \brief Sets how much the events of streams are grouped, from 0 to 1.
  void set_grouping(double level) noexcept { grouping_ = level; }
  /// \brief Waits until `requests` requests are being served.
  /// \returns false when that is not so within three seconds
  [[nodiscard]] bool has_open(std::size_t requests) const;

 private:
  [[nodiscard]] config_ptr in_force() const;
  [[nodiscard]] std::unique_ptr<http_frontend> make_frontend(const Poco::Net::ServerSocket& socket,
                                                             bool from_hosts);

  steady_clock time_;
  structured_log log_;
  metrics figures_;
  entry_faults faults_{log_, figures_};
  header_dialect dialect_;
  endpoint_directory endpoints_;
  content_guard contents_;
  std::mutex builds_mutex_;
  stream_build_table builds_;
  mutable std::mutex config_mutex_;
  config_ptr config_;
  std::atomic<bool> busy_{false};
  std::atomic<double> refused_fraction_{0};
  std::atomic<double> grouping_{0};
  boot_clock since_start_;
  fleet_clock machine_time_{since_start_};
  std::unique_ptr<budget_manager> budgets_;
  std::unique_ptr<request_relay> relay_;
  Poco::Net::ServerSocket socket_;
  std::unique_ptr<http_frontend> frontend_;
  Poco::Net::ServerSocket host_socket_;
  std::unique_ptr<http_frontend> host_frontend_;
};

/// \returns the bytes of a request with the key of the only team
[[nodiscard]] std::string request_text(const std::string& path, const std::string& attempt,
                                       const std::string& more_fields = "",
                                       const std::string& method = "GET",
                                       const std::string& body = "",
                                       time_ms deadline = time_ms{1500});

/// \returns the status of an answer; 0 when it has no valid header
[[nodiscard]] int status_of(const std::string& answer);

} // namespace sedgechute
