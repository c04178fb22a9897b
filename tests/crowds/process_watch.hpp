#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <sys/types.h>
#include <thread>

namespace sedgechute::stalled_client_test {

/// \brief Samples what a process takes of its machine, and keeps the highest values.
class process_watch {
 public:
  /// \param port  TCP port on which it listens
  process_watch(pid_t process, std::uint16_t port);
  process_watch(const process_watch&) = delete;
  process_watch& operator=(const process_watch&) = delete;
  ~process_watch();

  /// \returns the highest sum at one moment of its resident memory and of the bytes that the
  /// sockets of the port had received and nobody had read
  [[nodiscard]] std::size_t highest_bytes() const noexcept { return bytes_; }
  [[nodiscard]] std::size_t highest_unread() const noexcept { return unread_; }
  [[nodiscard]] std::size_t highest_resident() const noexcept { return resident_; }
  [[nodiscard]] std::size_t highest_descriptors() const noexcept { return descriptors_; }
  [[nodiscard]] std::size_t highest_threads() const noexcept { return threads_; }
  /// \returns the number of its threads now
  [[nodiscard]] std::size_t threads() const;

 private:
  void run();

  pid_t process_;
  std::uint16_t port_;
  std::atomic<bool> ends_{false};
  std::atomic<std::size_t> bytes_{0};
  std::atomic<std::size_t> unread_{0};
  std::atomic<std::size_t> resident_{0};
  std::atomic<std::size_t> descriptors_{0};
  std::atomic<std::size_t> threads_{0};
  std::thread thread_;
};

} // namespace sedgechute::stalled_client_test
