#pragma once

#include "standin/impl/http_server.hpp"

#include <condition_variable>
#include <unordered_map>

namespace sedgechute::standin {

struct service_options {
  Poco::Net::SocketAddress address{"127.0.0.1", 0};
  std::string name{"orders"};
  int max_running{32};
  double work_ms{5};
  std::int64_t load_lag_ms{200};
};

/// \brief A plain service: any method and path runs once and is counted by request id and by
/// idempotency key. It does not remember keys: a call that comes twice runs twice.
///
/// `?bytes=N` asks for an answer of N bytes, streamed.
class plain_service {
 public:
  explicit plain_service(const service_options& options);

  [[nodiscard]] http_server& server() noexcept { return server_; }

 private:
  void handle(exchange& call);
  void run(exchange& call);
  void send_bytes(exchange& call, std::int64_t count);
  [[nodiscard]] std::string load_text();
  [[nodiscard]] std::string stats_text();

  service_options options_;
  std::mutex mutex_;
  std::condition_variable freed_;
  int running_{0};
  int running_shown_{0};
  std::int64_t shown_ms_{0};
  std::unordered_map<std::string, std::uint64_t> runs_by_request_;
  std::unordered_map<std::string, std::uint64_t> runs_by_key_;
  std::uint64_t crashes_{0};
  http_server server_;
};

} // namespace sedgechute::standin
