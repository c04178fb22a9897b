#pragma once

#include "clients/clients.hpp"
#include "process.hpp"
#include "test_certificates.hpp"

#include <Poco/JSON/Object.h>

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sedgechute::fleet_test {

/// \brief The model that every engine has from the start, as fleet settings list it.
inline constexpr const char* chat_model = R"({"name":"m","max_output_tokens":4096})";

struct fleet_shape {
  int hosts{3};
  int engines{3};
  int token_ms{10};
  long budget{1'000'000};
  /// Hosts, by number, whose log address leads nowhere: cut off from it for good.
  std::vector<int> without_log{};
  int stop_notice_ms{0};
  /// The second half of the hosts is a data centre of its own, and the two never hear of each
  /// other: each has a host list that names its own hosts only. They share the log and endpoints.
  bool partitioned{false};
  /// TLS between hosts, for callers, and with client certificates for operators.
  bool tls{false};
  std::string host_limits{}; ///< the hosts' settings `limits`, as a JSON object; empty: defaults
};

/// \brief Stand-ins and hosts in processes, with one team's contract in force.
class running_fleet {
 public:
  explicit running_fleet(const fleet_shape& shape);
  running_fleet(const running_fleet&) = delete;
  running_fleet& operator=(const running_fleet&) = delete;
  ~running_fleet();

  [[nodiscard]] process& host(int number) { return *hosts_.at(static_cast<std::size_t>(number)); }
  [[nodiscard]] std::uint16_t peer_port(int number) const {
    return addresses_.at(static_cast<std::size_t>(number)).peers;
  }
  /// \returns `IP:port` on which its callers connect
  [[nodiscard]] std::string callers(int number) const;
  /// \returns a header of a chat request of the team, without the fields on its body
  [[nodiscard]] std::string chat_head_lines() const;
  /// \brief Starts a host again, as a new incarnation at the same addresses.
  void restart(int number);

  struct answer {
    int status{}; ///< 0 when the connection failed
    std::string body;
  };
  /// \brief A chat request of the team.
  [[nodiscard]] answer ask(int host, const std::string& prompt, int tokens, bool stream = false,
                           const std::string& key = {}) const;
  [[nodiscard]] answer get(int host, const std::string& path) const;
  [[nodiscard]] answer service(int host, const std::string& method, const std::string& path,
                               const std::string& key) const;
  [[nodiscard]] answer operate(int host, const std::string& method, const std::string& path,
                               const std::string& body = {}) const;
  /// \brief Publishes the team's contract with another budget.
  [[nodiscard]] int publish(int host, long budget, const std::string& record_id) const;

  /// \brief Publishes fleet settings whose engine pool lists these models, each as JSON.
  [[nodiscard]] int publish_models(int host, const std::vector<std::string>& models,
                                   bool honours_fencing, const std::string& record_id) const;
  /// \brief The platform's list says so of an engine from now on: `live` or `leaving`.
  void list_engine_as(int engine, const std::string& state) const;
  /// \brief Publishes fleet settings that drain the engine.
  [[nodiscard]] int drain_engine(int host, int engine) const;
  [[nodiscard]] static std::string engine_name(int engine) { return "e" + std::to_string(engine); }

  void fault_in_log(const std::string& json) const;
  void fault_in_weights(const std::string& json) const;
  void fault_in_engine(int number, const std::string& json) const;
  void fault_in_engines(const std::string& json) const;
  /// \returns what an engine's `/admin/stats` or `/load` says.
  [[nodiscard]] Poco::JSON::Object::Ptr engine(int number, const std::string& path) const;
  /// \returns how often an engine started a run, and how often all engines crashed.
  [[nodiscard]] int runs_at(int engine) const;
  [[nodiscard]] int crashes() const;
  /// \returns how often the engines and services ran anything under ids that begin with `prefix`.
  [[nodiscard]] int runs(const std::string& prefix) const;

  [[nodiscard]] bool wait_until_ready(int host, int most_ms) const;

 private:
  struct host_addresses {
    std::string name;
    std::uint16_t callers{}, peers{}, admin{};
    std::string data_centre;
  };

  [[nodiscard]] std::string tls_of(const tls_test::test_authority& authority,
                                   const std::string& name) const;
  void write_files(const fleet_shape& shape);
  [[nodiscard]] std::string list_of(const std::string& data_centre) const;
  void start_host(int number);
  void publish_all() const;
  [[nodiscard]] std::string contract(long budget) const;
  [[nodiscard]] answer publish_document(int host, const std::string& path, const std::string& body,
                                        const std::string& record_id) const;
  [[nodiscard]] int runs_in(std::uint16_t port, const std::string& prefix) const;
  [[nodiscard]] std::string engine_entry(int engine, const std::string& state) const;
  [[nodiscard]] answer call(std::uint16_t port, const std::string& method, const std::string& path,
                            const std::string& body, const std::string& bearer,
                            const std::string& key, int most_ms) const;

  std::filesystem::path folder_;
  bool tls_;
  certificate_files operator_files_;
  std::string team_key_;
  std::string operator_key_;
  std::uint16_t log_port_{}, list_port_{}, other_list_port_{}, weights_port_{};
  std::vector<std::uint16_t> engine_ports_;
  std::uint16_t service_port_{};
  std::vector<host_addresses> addresses_;
  std::unique_ptr<process> standins_;
  std::unique_ptr<process> other_list_;
  std::vector<std::unique_ptr<process>> hosts_;
};

} // namespace sedgechute::fleet_test
