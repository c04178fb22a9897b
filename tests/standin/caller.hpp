#pragma once

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <string>

namespace sedgechute::standin {

/// \brief Where a test's stand-ins listen: any free port.
inline const Poco::Net::SocketAddress any_port{"127.0.0.1", 0};

struct reply {
  int status{0};
  std::string body;

  [[nodiscard]] Poco::JSON::Object::Ptr json() const {
    Poco::JSON::Parser parser;
    return parser.parse(body).extract<Poco::JSON::Object::Ptr>();
  }
};

/// \brief Sends one request on the session and reads the whole answer.
inline reply call(Poco::Net::HTTPClientSession& session, const std::string& method,
                  const std::string& path, const std::string& body = "",
                  const std::string& request_id = "") {
  Poco::Net::HTTPRequest request{method, path, "HTTP/1.1"};
  request.setContentLength(static_cast<std::streamsize>(body.size()));
  if (!request_id.empty())
    request.set("X-Request-Id", request_id);
  session.sendRequest(request) << body;
  Poco::Net::HTTPResponse response;
  reply got;
  Poco::StreamCopier::copyToString(session.receiveResponse(response), got.body);
  got.status = response.getStatus();
  return got;
}

/// \brief The same on a connection of its own.
inline reply call(const Poco::Net::SocketAddress& address, const std::string& method,
                  const std::string& path, const std::string& body = "",
                  const std::string& request_id = "") {
  Poco::Net::HTTPClientSession session{address};
  return call(session, method, path, body, request_id);
}

} // namespace sedgechute::standin
