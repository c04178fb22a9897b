#pragma once

#include "standin/impl/http_server.hpp"

namespace sedgechute::standin {

struct weight_options {
  Poco::Net::SocketAddress address{"127.0.0.1", 0};
  std::int64_t per_minute{60}; ///< fetches allowed; a burst of a tenth of it is let through
  std::int64_t bytes{8'000'000'000};
};

/// \brief The weight store, limited by a token bucket.
class weight_store {
 public:
  explicit weight_store(const weight_options& options);

  [[nodiscard]] http_server& server() noexcept { return server_; }

 private:
  void handle(exchange& call);
  /// \returns 0 when a fetch may go ahead, else how long to wait in milliseconds
  [[nodiscard]] std::int64_t take();

  weight_options options_;
  std::mutex mutex_;
  double burst_;
  double tokens_;
  std::int64_t refilled_ms_;
  std::uint64_t fetches_{0};
  std::uint64_t refused_{0};
  http_server server_;
};

} // namespace sedgechute::standin
