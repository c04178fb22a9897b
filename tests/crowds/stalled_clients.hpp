#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace sedgechute::stalled_client_test {

/// \brief How a client sends the body of a request whose end it never sends.
enum class upload {
  whole,        ///< with a length, all but the last byte at once
  pieces,       ///< with a length, in pieces of 16 KB
  large_chunks, ///< chunked, 256 KB each
  small_chunks, ///< chunked, one byte each
  few_chunks,   ///< chunked, a few small ones and then nothing
  expecting,    ///< with a length, waits for the interim response and then sends nothing
  header,       ///< a header without its end
};

/// \brief The bytes that a client sends, without their end.
struct unfinished_request {
  std::string head;
  std::shared_ptr<const std::string> body;
  std::size_t piece_bytes{}; ///< sent at once; 0: as much as the host takes
};

/// \param head_lines  request line and fields, each with its CRLF, without those on the body
/// \param body_bytes  size of the body; the client stops short of it
[[nodiscard]] unfinished_request unfinished(upload kind, const std::string& head_lines,
                                            std::size_t body_bytes);

/// \brief Clients that send requests without their end and keep their connections open. Where the
/// host closes a connection, its client opens another one.
class stalled_clients {
 public:
  /// \param address  `IP:port`
  /// \param clients  what each of them sends, over and over
  stalled_clients(const std::string& address, std::vector<unfinished_request> clients);
  stalled_clients(const stalled_clients&) = delete;
  stalled_clients& operator=(const stalled_clients&) = delete;
  ~stalled_clients() { disconnect(); }

  /// \brief Waits until the host takes no more bytes or each client has opened some connections.
  void wait_until_steady() const;
  /// \brief Closes all connections.
  void disconnect();

 private:
  struct client;

  void run();

  std::string address_;
  std::vector<unfinished_request> requests_;
  std::atomic<bool> disconnecting_{false};
  std::atomic<std::size_t> sent_{0};   ///< bytes
  std::atomic<std::size_t> opened_{0}; ///< connections
  std::thread thread_;
};

} // namespace sedgechute::stalled_client_test
