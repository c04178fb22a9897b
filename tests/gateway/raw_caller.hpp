#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <string>

namespace sedgechute::testing {

struct raw_answer {
  int status{0}; ///< 0 when the connection ended without an answer
  std::string header;
  std::string body; ///< without its transfer coding

  /// \returns the refusal's kind; empty when there is none.
  [[nodiscard]] std::string kind() const { return field("X-Sedgechute-Error"); }
  [[nodiscard]] std::string field(const std::string& name) const;
};

/// \brief A caller that sends exactly the bytes that a test wants.
class raw_caller {
 public:
  explicit raw_caller(const Poco::Net::SocketAddress& host, int receive_buffer = 0);

  /// \returns false once the host closed its side.
  bool send(const std::string& bytes);
  [[nodiscard]] raw_answer receive(bool head_only = false);
  /// \returns what comes until `mark` is in it or the connection ends.
  std::string receive_until(const std::string& mark);
  /// \returns whether the host closes without another byte.
  [[nodiscard]] bool closed_by_host();
  /// \brief Leaves without reading what is still to come.
  void leave();

 private:
  bool fill();
  std::string take(std::size_t count);
  std::string receive_chunks();

  Poco::Net::StreamSocket socket_;
  std::string buffer_;
};

[[nodiscard]] std::string chat_body(bool stream, const std::string& more = "");
/// \returns a whole request to the chat path with this body.
[[nodiscard]] std::string chat_request_text(const std::string& body,
                                            const std::string& headers = "",
                                            const std::string& key = "good-key");

/// \brief Waits until `reached`; gives up after a time far beyond any expected one.
[[nodiscard]] bool eventually(const std::function<bool()>& reached);

/// \brief Runs `stop`, which ends a server at `address`, and connects to it meanwhile: Poco's
/// accept loop sees a stop only when something comes, or after a quarter of a second.
void stop_server(const Poco::Net::SocketAddress& address, const std::function<void()>& stop);

} // namespace sedgechute::testing
