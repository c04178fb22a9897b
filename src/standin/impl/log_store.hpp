#pragma once

#include "standin/impl/http_server.hpp"

#include <condition_variable>
#include <deque>
#include <map>

namespace sedgechute::standin {

struct log_options {
  Poco::Net::SocketAddress address{"127.0.0.1", 0};
  std::size_t retain_records{1'000'000};
  std::int64_t retain_ms{0}; ///< 0: for ever
};

/// \brief The log service: append-only streams with offsets, long polls and bounded retention.
class log_store {
 public:
  explicit log_store(const log_options& options);

  [[nodiscard]] http_server& server() noexcept { return server_; }

 private:
  struct record {
    std::string data; ///< in base64, as it came
    std::int64_t appended_ms;
  };
  struct stream {
    std::uint64_t first{1}; ///< offset of the oldest record kept
    std::deque<record> records;
    [[nodiscard]] std::uint64_t next() const noexcept { return first + records.size(); }
  };

  void handle(exchange& call);
  void append(exchange& call, const std::string& name);
  void read(exchange& call, const std::string& name);
  void expire(stream& target) const;
  [[nodiscard]] std::string stats();

  log_options options_;
  std::mutex mutex_;
  std::condition_variable appended_;
  std::map<std::string, stream> streams_;
  std::uint64_t appends_{0};
  std::uint64_t bytes_{0};
  http_server server_;
};

} // namespace sedgechute::standin
