#pragma once

#include "standin/impl/http_server.hpp"

#include <condition_variable>
#include <map>
#include <optional>
#include <vector>

namespace sedgechute::standin {

struct topic_store_options {
  Poco::Net::SocketAddress address{"127.0.0.1", 0};
  std::size_t page_records{500}; ///< most keys in one answer to a call for the newest of each
};

/// \brief The metadata store of the users' platform: topics of records with keys, appends on a
/// condition, long polls, and the newest record of each key. Faults come from the server's board.
class topic_store {
 public:
  explicit topic_store(const topic_store_options& options);

  [[nodiscard]] http_server& server() noexcept { return server_; }

  /// \brief Writes as the operator or an endpoint would; nothing drops the key.
  void put(const std::string& topic, const std::string& key,
           const std::optional<std::string>& value);
  /// \brief As `put`, but reads that wait already are not woken, and answer when their wait is
  /// over.
  void put_unnoticed(const std::string& topic, const std::string& key, const std::string& value);
  /// \brief Drops all records of the topics, but keeps the newest of each key.
  void forget_history();
  /// \brief Refuses every call with this status; 0 serves again.
  void refuse(int status);
  /// \brief Writes of conditional appends that were refused because the partition had grown.
  [[nodiscard]] std::uint64_t conflicts() const;
  [[nodiscard]] std::uint64_t calls() const;

 private:
  struct record {
    std::string bytes; ///< with its length in front
    std::string key;
    std::optional<std::string> value;
  };
  struct partition {
    std::uint64_t first{0};
    std::vector<record> records;
    std::map<std::string, std::pair<std::string, std::uint64_t>> newest; ///< value and offset
    [[nodiscard]] std::uint64_t end() const noexcept { return first + records.size(); }
  };

  void handle(exchange& call);
  void append(exchange& call, const std::string& name);
  void read(exchange& call, const std::string& name);
  void newest(exchange& call, const std::string& name);
  static void add(partition& to, record added);

  topic_store_options options_;
  mutable std::mutex mutex_;
  std::condition_variable appended_;
  std::map<std::string, partition> partitions_; ///< by topic and number
  int refusing_{0};
  std::uint64_t unnoticed_{0}; ///< writes that woke nobody
  std::uint64_t conflicts_{0};
  std::uint64_t calls_{0};
  http_server server_;
};

} // namespace sedgechute::standin
