#pragma once

#include "standin/impl/http_server.hpp"

#include <Poco/JSON/Array.h>

#include <deque>
#include <map>

namespace sedgechute::standin {

struct host_list_options {
  Poco::Net::SocketAddress address{"127.0.0.1", 0};
  std::int64_t lag_ms{0}; ///< the list shown is that of so long ago
  Poco::JSON::Array::Ptr entries{};
};

/// \brief The host list. `PUT /v1/hosts` replaces the entries of the same names; an entry whose
/// state is `gone` is taken off the list.
class host_list {
 public:
  explicit host_list(const host_list_options& options);

  [[nodiscard]] http_server& server() noexcept { return server_; }

 private:
  using entry_table = std::map<std::string, Poco::JSON::Object::Ptr>;
  struct version {
    std::int64_t since_ms;
    entry_table entries;
  };

  void handle(exchange& call);
  void show(exchange& call);
  void replace(const Poco::JSON::Array& entries);

  std::int64_t lag_ms_;
  std::mutex mutex_;
  std::deque<version> versions_; ///< oldest first; the front is what is shown, or will be next
  http_server server_;
};

} // namespace sedgechute::standin
