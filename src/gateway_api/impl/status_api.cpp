#include "gateway/gateway.hpp"

#include <memory>

namespace sedgechute {

namespace {

void send_text(caller_exchange& exchange, int status, const std::string& type,
               const std::string& body) {
  auto& response = exchange.response;
  response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response.setContentType(type);
  response.sendBuffer(body.data(), body.size());
}

/// Tells that the process runs at all.
class health_api final : public caller_api {
 public:
  void handle(caller_exchange& exchange, gateway&) const override {
    require_method(exchange, "GET");
    send_text(exchange, 200, "application/json", "{\"status\":\"alive\"}\n");
  }
};

/// Tells the balancer whether to send requests here.
class ready_api final : public caller_api {
 public:
  void handle(caller_exchange& exchange, gateway& host) const override {
    require_method(exchange, "GET");
    const std::string reason = host.status.not_ready_reason();
    if (reason.empty())
      return send_text(exchange, 200, "application/json", "{\"status\":\"ready\"}\n");
    send_text(exchange, 503, "application/json",
              R"({"status":"not_ready","reason":)" + json_quote(reason) + "}\n");
  }
};

class metrics_api final : public caller_api {
 public:
  void handle(caller_exchange& exchange, gateway& host) const override {
    require_method(exchange, "GET");
    send_text(exchange, 200, "text/plain; version=0.0.4", host.status.metrics_text());
  }
};

class models_api final : public caller_api {
 public:
  void handle(caller_exchange& exchange, gateway& host) const override {
    require_method(exchange, "GET");
    const auto models = host.access.models(read_caller_headers(exchange).bearer);
    std::string json = R"({"object":"list","data":[)";
    for (std::size_t i = 0; i < models.size(); ++i) {
      if (i > 0)
        json += ',';
      json += R"({"id":)" + json_quote(models[i].str()) + R"(,"object":"model"})";
    }
    send_text(exchange, 200, "application/json", json + "]}\n");
  }
};

const registry<caller_api>::entry health{"/healthz", [] { return std::make_unique<health_api>(); }};
const registry<caller_api>::entry ready{"/readyz", [] { return std::make_unique<ready_api>(); }};
const registry<caller_api>::entry metrics{"/metrics",
                                          [] { return std::make_unique<metrics_api>(); }};
const registry<caller_api>::entry models{"/v1/models",
                                         [] { return std::make_unique<models_api>(); }};

} // namespace
} // namespace sedgechute
