#include "clients/impl/weight_store_client.hpp"

#include "clients/impl/json_field.hpp"

#include <utility>

namespace sedgechute {

namespace {
constexpr int status_too_many = 429;
} // namespace

http_weight_store_client::http_weight_store_client(http_target target, time_ms timeout)
    : target_{std::move(target)}, timeout_{timeout} {}

std::optional<std::uint64_t> http_weight_store_client::size_of(const model_id& model,
                                                               const std::string& version) {
  const std::string path = "/v1/weights/" + model.str() + "/" + version;
  const http_answer answer = platform_call("weight store", target_, "GET", path, {}, timeout_);
  if (answer.status == status_too_many)
    return std::nullopt;
  if (answer.status != 200)
    throw error{error_kind::log_unavailable, "weight store",
                "status " + std::to_string(answer.status)};
  return json_unsigned(*parse_json_object(answer.body, "weight store"), "bytes");
}

} // namespace sedgechute
