#include "daemon/impl/admin_api.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberParser.h>

#include <sstream>

namespace sedgechute {

namespace {
constexpr std::size_t most_body_bytes = 4U << 20U;
constexpr time_ms body_time{10000};
} // namespace

void send_json(const admin_call& call, int status, const Poco::JSON::Object& body) {
  std::ostringstream text;
  body.stringify(text);
  text << '\n';
  send_text(call, status, text.str());
}

void send_text(const admin_call& call, int status, const std::string& json) {
  auto& response = call.exchange.response;
  response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response.setContentType("application/json");
  response.sendBuffer(json.data(), json.size());
}

std::string read_text(const admin_call& call, const clock& time) {
  return read_body(call.exchange, most_body_bytes, body_time, time);
}

Poco::JSON::Object::Ptr read_json(const admin_call& call, const clock& time) {
  const std::string body = read_text(call, time);
  try {
    Poco::JSON::Parser parser;
    parser.setDepth(64);
    return parser.parse(body).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception& failure) {
    throw error{error_kind::malformed_json, "", failure.displayText()};
  }
}

const std::string& segment(const admin_call& call, std::size_t index) {
  if (index >= call.path.size())
    throw error{error_kind::unknown_path, call.exchange.path, "the path is too short"};
  return call.path[index];
}

std::uint64_t query_number(const admin_call& call, const std::string& name,
                           std::uint64_t fallback) {
  const auto found = call.query.find(name);
  Poco::UInt64 value = 0;
  if (found == call.query.end() || !Poco::NumberParser::tryParseUnsigned64(found->second, value))
    return fallback;
  return value;
}

} // namespace sedgechute
