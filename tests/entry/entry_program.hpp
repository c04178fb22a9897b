#pragma once

#include "process.hpp"
#include "scripted_endpoint.hpp"
#include "standin/standin.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace sedgechute {

/// \brief Whether somebody reads what a program prints.
enum class log_reader { reads, never_reads };

/// \brief One host as a process, with a stand-in of the store that a test can write to.
class entry_program {
 public:
  /// \param settings  more members of its settings, such as `"grace_s":4`
  /// \param configuration  as the store has it; by default one with the routes of `entry_request`
  /// \param known_host  `IP:port` for datagrams of another host that is listed from the start
  explicit entry_program(const std::string& settings, log_reader reader = log_reader::reads,
                         const std::string& configuration = {}, const std::string& known_host = {});
  entry_program(const entry_program&) = delete;
  entry_program& operator=(const entry_program&) = delete;
  ~entry_program();

  /// \returns the configuration that it starts with, as a later version that has one more route,
  /// `/NAME/`, of safe requests
  [[nodiscard]] static std::string with_route(std::uint64_t version, const std::string& name);
  /// \brief Lists an endpoint of the only service.
  /// \param started  Unix milliseconds of its start, where its entry names it
  void add_endpoint(const std::string& id, const std::string& address,
                    std::optional<std::int64_t> started = {});
  /// \brief Waits until the host says that it is ready.
  [[nodiscard]] bool ready() const;
  /// \returns whether it says so at this moment
  [[nodiscard]] bool ready_now() const;
  /// \brief Asks the door for operators.
  /// \returns the status of the answer, or 0, and the answer's body
  [[nodiscard]] std::pair<int, std::string> look_at(const std::string& path) const;
  /// \brief Sends `entry_request` on a connection of its own and waits for the whole answer.
  /// \returns the status of the answer, or 0, and the answer's bytes
  [[nodiscard]] std::pair<int, std::string> ask(const std::string& route,
                                                const std::string& attempt) const;
  void signal(int number) const { program_->signal(number); }
  /// \brief Kills the process and starts it again with the same settings; it prints to a new file.
  void restart();
  [[nodiscard]] pid_t id() const noexcept { return program_->id(); }
  /// \returns whether it runs
  [[nodiscard]] bool runs() const { return !program_->ended(); }
  /// \returns its exit code; -1 when it does not end in time
  [[nodiscard]] int wait(time_ms most) { return program_->wait(static_cast<int>(most.count())); }
  [[nodiscard]] const std::string& callers() const noexcept { return callers_; }
  [[nodiscard]] const std::string& peers() const noexcept { return peers_; }
  [[nodiscard]] const std::string& status() const noexcept { return status_; }
  [[nodiscard]] standin::topic_store& store() noexcept { return store_; }
  /// \brief From now on whoever reads its settings waits for good.
  void hang_settings() const;
  /// \returns all that it has printed; only where somebody reads it
  [[nodiscard]] std::string output() const;

 private:
  void start();
  /// \returns the file that it prints to
  [[nodiscard]] std::string printed() const;

  std::string folder_;
  std::string callers_;
  std::string peers_;
  std::string status_;
  standin::topic_store store_;
  int unread_{-1}; ///< reading end of a pipe that nobody empties
  int starts_{0};
  std::unique_ptr<fleet_test::process> program_;
};

/// \returns the text of a request to one of the routes `safe`, `unsafe`, `once` and `stream`
[[nodiscard]] std::string entry_request(const std::string& route, const std::string& attempt);

} // namespace sedgechute
