#pragma once

#include "clients/impl/http_call.hpp"

#include <optional>
#include <string>
#include <vector>

namespace sedgechute {

enum class listed_kind { entry, endpoint };
enum class listed_state { live, leaving };

template <>
struct enum_names<listed_kind> {
  static constexpr auto entries =
      enum_table<listed_kind>({{listed_kind::entry, "entry"}, {listed_kind::endpoint, "endpoint"}});
};

template <>
struct enum_names<listed_state> {
  static constexpr auto entries =
      enum_table<listed_state>({{listed_state::live, "live"}, {listed_state::leaving, "leaving"}});
};

/// \brief One line of the platform's host list: an entry host of the system or an endpoint.
struct host_list_entry {
  std::string name;
  listed_kind kind{};
  data_centre_id data_centre;
  std::string address;      ///< callers' address of a host, serving address of an endpoint
  std::string peer_address; ///< of an entry host, for the other hosts
  pool_id pool;             ///< of an endpoint
  listed_state state{};
};

struct host_listing {
  std::vector<host_list_entry> hosts;
};

class host_list_client {
 public:
  host_list_client() = default;
  host_list_client(const host_list_client&) = delete;
  host_list_client& operator=(const host_list_client&) = delete;
  virtual ~host_list_client() = default;

  /// \returns the list, which lags behind the truth.
  /// \throws error `log_unavailable` when the platform does not answer
  [[nodiscard]] virtual host_listing fetch() = 0;
};

class http_host_list_client final : public host_list_client {
 public:
  http_host_list_client(http_target target, time_ms timeout);
  [[nodiscard]] host_listing fetch() override;

 private:
  http_target target_;
  time_ms timeout_;
};

} // namespace sedgechute
