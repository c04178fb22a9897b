#pragma once

#include "standin/impl/engine.hpp"
#include "standin/impl/host_list.hpp"
#include "standin/impl/log_store.hpp"
#include "standin/impl/plain_service.hpp"
#include "standin/impl/weight_store.hpp"

#include <list>

namespace sedgechute::standin {

/// \brief Any number of stand-ins in one process.
class fleet {
 public:
  /// \brief Starts what a hosts file names: log, host list and weight store, and an engine or
  /// service for each endpoint entry, set up as `/standins/pools/<pool>` says.
  /// \throws sedgechute::error for a pool without set-up, Poco::Exception for malformed JSON
  void start(const Poco::JSON::Object& hosts_file);

  void add_log(const log_options& options) { logs_.emplace_back(options); }
  void add_hosts(const host_list_options& options) { host_lists_.emplace_back(options); }
  void add_weights(const weight_options& options) { weight_stores_.emplace_back(options); }
  void add_engine(const engine_options& options) { engines_.emplace_back(options, pacer_); }
  void add_service(const service_options& options) { services_.emplace_back(options); }

  [[nodiscard]] std::size_t size() const noexcept;

 private:
  void start_endpoint(const Poco::JSON::Object& entry, const Poco::JSON::Object& pools);

  pacer pacer_;
  std::list<log_store> logs_;
  std::list<host_list> host_lists_;
  std::list<weight_store> weight_stores_;
  std::list<engine> engines_;
  std::list<plain_service> services_;
};

/// \brief Overwrites the options that `settings` names.
void read_options(const Poco::JSON::Object& settings, engine_options& options);
void read_options(const Poco::JSON::Object& settings, service_options& options);

/// \throws sedgechute::error when the file cannot be read, Poco::Exception for malformed JSON
[[nodiscard]] Poco::JSON::Object::Ptr read_json_file(const std::string& path);

} // namespace sedgechute::standin
