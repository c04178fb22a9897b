#include "test_gateway.hpp"

namespace sedgechute::testing {

test_gateway::test_gateway(const test_limits& limits)
    : connections_{limits.engine}, gateway_{.host = host_id{"self"},
                                            .time = time_,
                                            .limits = {.body_bytes = limits.body_bytes},
                                            .body_timeout = limits.body_timeout,
                                            .status = status,
                                            .access = access,
                                            .budgets = budgets,
                                            .dispatch = dispatch,
                                            .claims = claims,
                                            .peers = peers,
                                            .connections = connections_,
                                            .answers = answers_},
      router_{gateway_}, socket_{Poco::Net::SocketAddress{"127.0.0.1", 0}},
      server_{[this](caller_exchange& exchange) { router_.serve(exchange); }, limits.server,
              socket_, time_} {
  server_.start();
}

test_gateway::~test_gateway() {
  stop_taking();
}

void test_gateway::stop_taking() {
  stop_server(socket_.address(), [this] { server_.stop_taking(); });
}

raw_answer test_gateway::ask(const std::string& request) const {
  raw_caller one = caller();
  (void)one.send(request);
  return one.receive();
}

bool test_gateway::nothing_left() const {
  return eventually([this] {
    return budgets.open() == 0 && dispatch.waiting() == 0 && dispatch.held() == 0 &&
           claims.open() == 0 && status.inside() == 0;
  });
}

} // namespace sedgechute::testing
