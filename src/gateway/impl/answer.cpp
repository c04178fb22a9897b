#include "gateway/impl/answer.hpp"

namespace sedgechute {

std::string to_json(const answer_summary& summary) {
  std::string json = R"({"request_id":)" + json_quote(summary.id.str());
  json += R"(,"host":)" + json_quote(summary.host.str());
  json += R"(,"endpoint":)" + json_quote(summary.endpoint.str());
  json += R"(,"attempts":)" + std::to_string(summary.attempts);
  json += R"(,"tokens_billed":)" + std::to_string(summary.tokens_billed);
  json += R"(,"tokens_remaining":)" + std::to_string(summary.tokens_remaining);
  return json + "}";
}

} // namespace sedgechute
