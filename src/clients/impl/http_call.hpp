#pragma once

#include "kernel/kernel.hpp"

#include <string>
#include <utility>
#include <vector>

namespace sedgechute {

/// \brief Address of an HTTP peer, from `IP:port`.
struct http_target {
  std::string ip;
  std::uint16_t port{};

  /// \throws error `invalid_parameter` when the text is not `IP:port`.
  [[nodiscard]] static http_target parse(const std::string& address);
  [[nodiscard]] std::string str() const;
};

struct http_answer {
  int status{};
  std::string body;
};

/// \brief One whole exchange on a connection of its own, for control traffic that is neither
/// streamed nor frequent.
/// \param timeout  bound on each of connecting, sending and waiting for data
/// \throws Poco::Exception when no complete answer arrives
[[nodiscard]] http_answer
http_call(const http_target& target, const std::string& method, const std::string& path,
          const std::string& body, time_ms timeout,
          const std::vector<std::pair<std::string, std::string>>& headers = {});

} // namespace sedgechute
