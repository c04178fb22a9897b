#include "gateway/gateway.hpp"

#include <Poco/Net/HTTPServerResponse.h>

#include <memory>

namespace sedgechute {

namespace {

constexpr std::string_view path_prefix = "/v1/requests/";

/// `GET /v1/requests/<key>`: what became of the team's request under an idempotency key.
class requests_api final : public caller_api {
 public:
  void handle(caller_exchange& exchange, gateway& host) const override {
    require_method(exchange, "GET");
    const team_id team = host.access.authenticate(read_caller_headers(exchange).bearer);
    const std::string key = exchange.path.substr(path_prefix.size());
    if (key.empty())
      throw error{error_kind::unknown_path, exchange.path, "a key must follow"};
    const key_status status = host.claims.look_up(team, key);
    if (status.state.empty())
      throw error{error_kind::key_unknown, "", ""};
    std::string json = R"({"key":)" + json_quote(key) + R"(,"state":)" + json_quote(status.state);
    json += R"(,"outcome":)" + json_quote(status.outcome);
    json += R"(,"host":)" + json_quote(status.host.str());
    json += R"(,"request_id":)" + json_quote(status.run.str()) + "}\n";
    exchange.response.setContentType("application/json");
    exchange.response.sendBuffer(json.data(), json.size());
  }
};

const registry<caller_api>::entry registered{std::string{path_prefix},
                                             [] { return std::make_unique<requests_api>(); }};

} // namespace
} // namespace sedgechute
