#pragma once

#include "clients/impl/http_call.hpp"

#include <Poco/JSON/Object.h>

#include <string>

namespace sedgechute {

/// \brief Parses an answer of the platform. `where` names the service in errors.
/// \throws error `log_unavailable` when the text is not a JSON object: a garbled answer is treated
/// like none
[[nodiscard]] Poco::JSON::Object::Ptr parse_json_object(const std::string& text,
                                                        const std::string& where);

/// \throws error `log_unavailable` when the field is missing or of another type.
[[nodiscard]] std::uint64_t json_unsigned(const Poco::JSON::Object& object,
                                          const std::string& field);
[[nodiscard]] std::string json_string(const Poco::JSON::Object& object, const std::string& field);

/// \brief `http_call` with its exceptions turned into error `log_unavailable`.
[[nodiscard]] http_answer platform_call(const std::string& where, const http_target& target,
                                        const std::string& method, const std::string& path,
                                        const std::string& body, time_ms timeout);

} // namespace sedgechute
