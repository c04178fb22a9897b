#include "gateway/gateway.hpp"

#include <memory>

namespace sedgechute {

namespace {

constexpr std::string_view path_prefix = "/services/";

/// Serves `/services/<name>/...`: any method, passed on to an endpoint of the service's pool.
class service_api final : public caller_api {
 public:
  void handle(caller_exchange& exchange, gateway& host) const override {
    const request_guard guard{host.status};
    const caller_headers headers = read_caller_headers(exchange);
    service_call call = admit(exchange, host, headers);
    call.accepted = host.time.now();
    const token_reservation reservation =
        host.budgets.reserve(call.grant.team, call.id.str(), call.grant.tokens_per_call);
    ended_request ended;
    try {
      ended = relay_service_call(host, exchange, call);
    } catch (...) {
      host.budgets.settle(reservation, 0);
      throw;
    }
    ended.tokens_billed = ended.refused ? 0 : reservation.bound;
    host.budgets.settle(reservation, ended.tokens_billed);
    report(host, call, ended);
  }

 private:
  static service_call admit(const caller_exchange& exchange, gateway& host,
                            const caller_headers& headers) {
    const std::string rest = exchange.path.substr(path_prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string name = rest.substr(0, slash);
    service_call call;
    call.method = exchange.request.getMethod();
    call.grant = host.access.admit({headers.bearer, headers.class_name, {}, name, call.method});
    call.path = slash == std::string::npos ? "/" : rest.substr(slash);
    if (!exchange.query.empty())
      call.path += "?" + exchange.query;
    call.key = headers.key;
    call.idempotent = headers.idempotent.value_or(call.grant.idempotent_by_default);
    call.id = host.status.new_request_id();
    return call;
  }

  static void report(gateway& host, const service_call& call, ended_request& ended) {
    ended.id = call.id;
    ended.key = call.key;
    ended.team = call.grant.team;
    ended.class_name = call.grant.class_name;
    ended.pool = call.grant.pool;
    ended.total = host.time.now() - call.accepted;
    host.status.request_ended(ended);
  }
};

const registry<caller_api>::entry registered{std::string{path_prefix},
                                             [] { return std::make_unique<service_api>(); }};

} // namespace
} // namespace sedgechute
