#include "process_watch.hpp"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace sedgechute::stalled_client_test {

namespace {

constexpr std::chrono::milliseconds sample_interval{25};
constexpr std::size_t kb = 1024;

/// \returns a number of `/proc/PID/status`; 0 when the process has ended
std::size_t status_of(pid_t process, const std::string& field) {
  std::ifstream file{"/proc/" + std::to_string(process) + "/status"};
  for (std::string line; std::getline(file, line);)
    if (line.starts_with(field + ":"))
      return std::stoul(line.substr(field.size() + 1));
  return 0;
}

std::size_t descriptors_of(pid_t process) {
  std::error_code ended;
  const std::filesystem::directory_iterator all{"/proc/" + std::to_string(process) + "/fd", ended};
  return ended ? 0 : static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

/// \returns bytes received and not read on connections of a local port
std::size_t unread_at(std::uint16_t port) {
  std::ifstream file{"/proc/net/tcp"};
  std::string line;
  std::getline(file, line); // names of the columns
  std::size_t bytes = 0;
  while (std::getline(file, line)) {
    std::istringstream columns{line};
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    columns >> number >> local >> remote >> state >> queues;
    constexpr const char* listening = "0A"; // there the queue counts connections
    if (state != listening && std::stoul(local.substr(local.find(':') + 1), nullptr, 16) == port)
      bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
  }
  return bytes;
}

void raise(std::atomic<std::size_t>& highest, std::size_t seen) {
  highest = std::max(highest.load(), seen);
}

} // namespace

process_watch::process_watch(pid_t process, std::uint16_t port)
    : process_{process}, port_{port}, thread_{[this] { run(); }} {}

process_watch::~process_watch() {
  ends_ = true;
  thread_.join();
}

std::size_t process_watch::threads() const {
  return status_of(process_, "Threads");
}

void process_watch::run() {
  while (!ends_) {
    const std::size_t unread = unread_at(port_);
    const std::size_t resident = status_of(process_, "VmRSS") * kb;
    raise(unread_, unread);
    raise(resident_, resident);
    raise(bytes_, unread + resident);
    raise(descriptors_, descriptors_of(process_));
    raise(threads_, threads());
    std::this_thread::sleep_for(sample_interval);
  }
}

} // namespace sedgechute::stalled_client_test
