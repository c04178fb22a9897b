#pragma once

#include "kernel/kernel.hpp"

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sedgechute {

struct status_answer {
  int status{200};
  std::string text;
};

/// \brief A small HTTP server for readiness, metrics and the state of the host.
class status_server {
 public:
  /// \brief The answer of each path.
  using pages = std::map<std::string, std::function<status_answer()>>;

  status_server(pages served, const Poco::Net::ServerSocket& socket);
  status_server(const status_server&) = delete;
  status_server& operator=(const status_server&) = delete;
  ~status_server();

  void start();

 private:
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace sedgechute
