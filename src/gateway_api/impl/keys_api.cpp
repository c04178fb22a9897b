#include "gateway/gateway.hpp"

#include <memory>

namespace sedgechute {

namespace {

/// `POST /v1/keys`: an idempotency key that this data centre decides for, so that a first attempt
/// under it needs no other data centre.
class keys_api final : public caller_api {
 public:
  void handle(caller_exchange& exchange, gateway& host) const override {
    require_method(exchange, "POST");
    (void)host.access.authenticate(read_caller_headers(exchange).bearer);
    const std::string key = host.claims.mint();
    if (key.empty())
      throw error{error_kind::not_ready, "", "no host of this data centre decides for keys yet"};
    const std::string json = R"({"key":)" + json_quote(key) + "}\n";
    exchange.response.setContentType("application/json");
    exchange.response.sendBuffer(json.data(), json.size());
  }
};

const registry<caller_api>::entry registered{"/v1/keys",
                                             [] { return std::make_unique<keys_api>(); }};

} // namespace
} // namespace sedgechute
