#include "gateway/impl/refusal.hpp"

#include <Poco/JSONString.h>

#include <algorithm>

namespace sedgechute {

namespace {

constexpr std::int64_t ms_per_second = 1000;

time_ms retry_after_of(const refusal& refused) {
  return refused.retry_after.value_or(answer_for(refused.kind).retry_after);
}

// After these, bytes of the request may still be on their way; the next request on the same
// connection would start in the middle of them.
bool leaves_connection_unusable(error_kind kind) noexcept {
  switch (kind) {
  case error_kind::malformed_request:
  case error_kind::payload_too_large:
  case error_kind::slow_caller:
  case error_kind::internal:
    return true;
  default:
    return false;
  }
}

} // namespace

std::string json_quote(std::string_view text) {
  return Poco::toJSON(std::string{text});
}

std::string to_json(const refusal& refused) {
  const error_answer& answer = answer_for(refused.kind);
  std::string json = R"({"error":{"kind":")" + std::string{name_of(refused.kind)} + '"';
  json += R"(,"type":")" + std::string{name_of(refused.kind)} + '"';
  json += R"(,"message":)" + json_quote(refused.message.empty() ? answer.meaning : refused.message);
  json += R"(,"outcome":")" + std::string{name_of(refused.outcome.value_or(answer.outcome))} + '"';
  json += R"(,"request_id":)" + json_quote(refused.id.str());
  if (answer.retryable)
    json += R"(,"retry_after_ms":)" + std::to_string(retry_after_of(refused).count());
  return json + "}}";
}

void send_refusal(Poco::Net::HTTPServerResponse& response, const refusal& refused) {
  const error_answer& answer = answer_for(refused.kind);
  response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.http_status));
  if (answer.http_status == 499)
    response.setReason("Client Closed Request");
  response.setContentType("application/json");
  response.set("X-Request-Id", refused.id.str());
  response.set("X-Sedgechute-Error", std::string{name_of(refused.kind)});
  if (answer.retryable) {
    const std::int64_t ms = retry_after_of(refused).count();
    const std::int64_t seconds =
        std::max<std::int64_t>(1, (ms + ms_per_second - 1) / ms_per_second);
    response.set("Retry-After", std::to_string(seconds));
  }
  if (leaves_connection_unusable(refused.kind))
    response.setKeepAlive(false);
  const std::string body = to_json(refused) + "\n";
  response.sendBuffer(body.data(), body.size());
}

} // namespace sedgechute
