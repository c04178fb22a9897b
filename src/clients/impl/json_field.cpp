#include "clients/impl/json_field.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

namespace sedgechute {

Poco::JSON::Object::Ptr parse_json_object(const std::string& text, const std::string& where) {
  try {
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception& failure) {
    throw error{error_kind::log_unavailable, where, "garbled answer: " + failure.displayText()};
  }
}

std::uint64_t json_unsigned(const Poco::JSON::Object& object, const std::string& field) {
  try {
    return object.getValue<Poco::UInt64>(field);
  } catch (const Poco::Exception& failure) {
    throw error{error_kind::log_unavailable, field, failure.displayText()};
  }
}

std::string json_string(const Poco::JSON::Object& object, const std::string& field) {
  try {
    return object.getValue<std::string>(field);
  } catch (const Poco::Exception& failure) {
    throw error{error_kind::log_unavailable, field, failure.displayText()};
  }
}

http_answer platform_call(const std::string& where, const http_target& target,
                          const std::string& method, const std::string& path,
                          const std::string& body, time_ms timeout) {
  try {
    return http_call(target, method, path, body, timeout);
  } catch (const Poco::Exception& failure) {
    throw error{error_kind::log_unavailable, where + " " + target.str(), failure.displayText()};
  }
}

} // namespace sedgechute
