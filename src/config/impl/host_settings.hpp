#pragma once

#include "config/impl/address.hpp"
#include "config/impl/check_document.hpp"
#include "config/impl/hashed_key.hpp"

namespace sedgechute {

enum class log_level { debug, info, warning, error };
enum class operator_right { read, publish };

template <>
struct enum_names<log_level> {
  static constexpr auto entries = enum_table<log_level>({{log_level::debug, "debug"},
                                                         {log_level::info, "info"},
                                                         {log_level::warning, "warning"},
                                                         {log_level::error, "error"}});
};

template <>
struct enum_names<operator_right> {
  static constexpr auto entries = enum_table<operator_right>(
      {{operator_right::read, "read"}, {operator_right::publish, "publish"}});
};

/// \brief Where this host listens.
struct listen_settings {
  address callers;
  address peers;
  address admin;
};

/// \brief The outside services.
struct platform_settings {
  address log;
  address host_list;
  address weights;
  std::string stream{"fleet"};
  time_ms timeout{2000};
  time_ms poll{1000};
  time_ms host_list_interval{1000};
};

struct worker_settings {
  std::int64_t callers{64};
  std::int64_t peers{4};
  std::int64_t background{4};
};

/// \brief Bounds that keep one caller or team from taking the host.
struct host_limits {
  std::int64_t connections{4096};
  std::int64_t request_bytes{4 << 20};
  std::int64_t header_bytes{32 << 10};
  std::int64_t arriving_bytes{32 << 20};
  std::int64_t receive_buffer_bytes{16 << 10};
  std::int64_t stream_buffer_bytes{256 << 10};
  std::int64_t retained_answer_bytes{32 << 20};
  std::int64_t retained_answers{20000};
  std::int64_t decision_events{4096};
};

struct host_timeouts {
  time_ms caller_header{5000};
  time_ms caller_body{30000};
  time_ms caller_stall{2000};
  time_ms caller_write{30000};
  time_ms endpoint_connect{1000};
  time_ms endpoint_idle{15000};
  time_ms peer_call{1000};
};

/// \brief Certificate files of one side; all empty means plain text.
struct tls_files {
  std::string certificate;
  std::string key;
  std::string authorities;

  [[nodiscard]] bool enabled() const noexcept { return !certificate.empty(); }
};

struct tls_settings {
  tls_files callers;
  tls_files peers;
  tls_files admin;
  std::string datagram_keys; ///< file
  time_ms reload{60000};
};

struct log_settings {
  log_level level{log_level::info};
  std::string file;
  std::int64_t repeats_per_s{10};
};

struct operator_settings {
  std::string name;
  operator_right right{operator_right::read};
  hashed_key key;
};

struct stop_settings {
  time_ms notice{3000}; ///< between the first word of a planned stop and the first refusal
};

/// \brief What one host needs to know before it can reach anything: everything else is published.
struct host_settings {
  std::int64_t schema{current_schema};
  host_id name;
  data_centre_id data_centre;
  listen_settings listen;
  platform_settings platform;
  std::vector<address> seeds;
  worker_settings workers;
  host_limits limits;
  host_timeouts timeouts;
  tls_settings tls;
  log_settings log;
  stop_settings stop;
  std::vector<operator_settings> operators;
};

[[nodiscard]] const object_table<host_settings>& host_settings_table();

/// \brief Checks the settings file of one host.
[[nodiscard]] checked<host_settings> check_host_settings(const std::string& file,
                                                         std::string_view text);

} // namespace sedgechute
