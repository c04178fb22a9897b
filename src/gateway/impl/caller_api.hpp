#pragma once

#include "gateway/impl/request_body.hpp"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>

#include <string>

namespace sedgechute {

struct gateway;

/// \brief One caller's request on its connection.
struct caller_exchange {
  Poco::Net::HTTPServerRequestImpl& request;
  Poco::Net::HTTPServerResponseImpl& response;
  std::string path;  ///< without the query
  std::string query; ///< without the question mark
  request_body& body;
};

/// \brief A plug-in that serves a part of the callers' HTTP API. Its name in the registry is the
/// path that it serves; a name that ends in '/' serves everything below it.
class caller_api {
 public:
  caller_api() = default;
  caller_api(const caller_api&) = delete;
  caller_api& operator=(const caller_api&) = delete;
  virtual ~caller_api() = default;

  /// \brief Answers the request. Thread-safe.
  /// \throws error for a refusal that the server shall write, if nothing was sent yet
  virtual void handle(caller_exchange& exchange, gateway& host) const = 0;
};

} // namespace sedgechute
