#include "clients/impl/log_client.hpp"

#include "clients/impl/json_field.hpp"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/StreamCopier.h>

#include <sstream>
#include <utility>

namespace sedgechute {

namespace {

constexpr int status_gone = 410;

std::string encode_base64(const std::string& data) {
  std::ostringstream text;
  Poco::Base64Encoder encoder{text};
  encoder.rdbuf()->setLineLength(0);
  encoder << data;
  encoder.close();
  return text.str();
}

std::string decode_base64(const std::string& text) {
  std::istringstream in{text};
  Poco::Base64Decoder decoder{in};
  std::string data;
  Poco::StreamCopier::copyToString(decoder, data);
  return data;
}

log_page parse_page(const std::string& body) {
  const auto object = parse_json_object(body, "log");
  log_page page;
  page.first = json_unsigned(*object, "first");
  page.next = json_unsigned(*object, "next");
  const auto records = object->getArray("records");
  for (std::size_t i = 0; records && i < records->size(); ++i) {
    const auto record = records->getObject(static_cast<unsigned>(i));
    page.entries.push_back(
        {json_unsigned(*record, "offset"), decode_base64(json_string(*record, "data"))});
  }
  return page;
}

} // namespace

http_log_client::http_log_client(http_target target, std::string stream, time_ms timeout)
    : target_{std::move(target)}, stream_{std::move(stream)}, timeout_{timeout} {}

std::string http_log_client::path() const {
  return "/v1/streams/" + stream_ + "/records";
}

void http_log_client::append(std::span<const std::string> records) {
  std::string body = R"({"records":[)";
  for (std::size_t i = 0; i < records.size(); ++i) {
    if (i > 0)
      body += ',';
    body += '"' + encode_base64(records[i]) + '"';
  }
  body += "]}";
  const http_answer answer = platform_call("log", target_, "POST", path(), body, timeout_);
  if (answer.status != 200)
    throw error{error_kind::log_unavailable, "log", "status " + std::to_string(answer.status)};
}

log_page http_log_client::read(std::uint64_t from, std::size_t max, time_ms wait) {
  const std::string query = "?from=" + std::to_string(from) + "&max=" + std::to_string(max) +
                            "&wait_ms=" + std::to_string(wait.count());
  const http_answer answer =
      platform_call("log", target_, "GET", path() + query, {}, timeout_ + wait);
  if (answer.status == status_gone) {
    const auto object = parse_json_object(answer.body, "log");
    return log_page{true, json_unsigned(*object, "first"), 0, {}};
  }
  if (answer.status != 200)
    throw error{error_kind::log_unavailable, "log", "status " + std::to_string(answer.status)};
  return parse_page(answer.body);
}

} // namespace sedgechute
