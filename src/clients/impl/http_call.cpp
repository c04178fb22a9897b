#include "clients/impl/http_call.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>

namespace sedgechute {

namespace {

Poco::Timespan to_timespan(time_ms span) {
  return Poco::Timespan{span.count() * Poco::Timespan::MILLISECONDS};
}

} // namespace

http_target http_target::parse(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  unsigned port = 0;
  Poco::Net::IPAddress ip;
  const bool valid = colon != std::string::npos &&
                     Poco::Net::IPAddress::tryParse(address.substr(0, colon), ip) &&
                     Poco::NumberParser::tryParseUnsigned(address.substr(colon + 1), port) &&
                     port > 0 && port <= 65535;
  if (!valid)
    throw error{error_kind::invalid_parameter, address, "an address is IP:port"};
  return http_target{ip.toString(), static_cast<std::uint16_t>(port)};
}

std::string http_target::str() const {
  return ip + ":" + std::to_string(port);
}

http_answer http_call(const http_target& target, const std::string& method, const std::string& path,
                      const std::string& body, time_ms timeout,
                      const std::vector<std::pair<std::string, std::string>>& headers) {
  using namespace Poco::Net;
  HTTPClientSession session{target.ip, target.port};
  session.setTimeout(to_timespan(timeout), to_timespan(timeout), to_timespan(timeout));
  HTTPRequest request{method, path, HTTPMessage::HTTP_1_1};
  for (const auto& [name, value] : headers)
    request.set(name, value);
  if (!body.empty() || method == HTTPRequest::HTTP_POST || method == HTTPRequest::HTTP_PUT) {
    request.setContentType("application/json");
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
  }
  session.sendRequest(request) << body;
  HTTPResponse response;
  std::istream& in = session.receiveResponse(response);
  http_answer answer{response.getStatus(), {}};
  Poco::StreamCopier::copyToString(in, answer.body);
  // A read that timed out only marks the stream as bad; without this a cut body would pass as
  // whole.
  if (session.networkException() != nullptr)
    session.networkException()->rethrow();
  return answer;
}

} // namespace sedgechute
