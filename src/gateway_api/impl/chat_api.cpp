#include "gateway/impl/bill_request.hpp"
#include "gateway/impl/caller_headers.hpp"
#include "gateway/impl/chat_sinks.hpp"
#include "gateway/impl/gateway.hpp"
#include "gateway/impl/keyed_answer.hpp"
#include "gateway/impl/request_guard.hpp"
#include "gateway/impl/run_request.hpp"

#include <memory>

namespace sedgechute {

namespace {

/// Serves `POST /v1/chat/completions`: admits, claims, reserves, runs, bills, answers.
class chat_api final : public caller_api {
 public:
  void handle(caller_exchange& exchange, gateway& host) const override {
    require_method(exchange, "POST");
    const request_guard guard{host.status};
    const time_ms accepted = host.time.now();
    const caller_headers headers = read_caller_headers(exchange);
    const team_id team = host.access.authenticate(headers.bearer);
    const std::string body =
        read_body(exchange, host.limits.body_bytes, host.body_timeout, host.time);
    admitted_chat request = admit(host, headers, body);
    request.accepted = accepted;
    request.id = host.status.new_request_id();
    const std::unique_ptr<answer_sink> sink = make_sink(exchange, host, request);
    answer_request(host, request, headers.key, *sink);
  }

 private:
  // A caller that states no bound gets the default, or what its contract allows where that is less;
  // one that states more than that is told so.
  static admitted_chat admit(gateway& host, const caller_headers& headers,
                             const std::string& body) {
    admitted_chat request;
    request.chat = parse_chat_request(body, host.limits);
    request.grant =
        host.access.admit({headers.bearer, headers.class_name, request.chat.model, {}, {}});
    const std::uint64_t most = request.grant.max_output_tokens;
    if (request.chat.max_tokens > most) {
      if (request.chat.bound_stated)
        throw error{error_kind::invalid_parameter, "/max_tokens",
                    "must be 1 to " + std::to_string(most)};
      chat_limits lower = host.limits;
      lower.default_output_tokens = most;
      request.chat = parse_chat_request(body, lower);
    }
    request.idempotent = headers.idempotent.value_or(request.grant.idempotent_by_default);
    request.keyed = !headers.key.empty();
    return request;
  }

  static std::unique_ptr<answer_sink> make_sink(caller_exchange& exchange, const gateway& host,
                                                const admitted_chat& request) {
    if (request.chat.stream)
      return std::make_unique<streaming_sink>(exchange, host.host, request.id);
    return std::make_unique<collecting_sink>(exchange, request.chat.model);
  }

  static void answer_request(gateway& host, admitted_chat& request, const std::string& key,
                             answer_sink& sink) {
    if (!key.empty())
      return answer_keyed(host, request, key, sink);
    billed_run ended = run_and_bill(host, request, request.id.str(), sink);
    conclude(host, request, key, ended, sink);
  }
};

const registry<caller_api>::entry registered{"/v1/chat/completions",
                                             [] { return std::make_unique<chat_api>(); }};

} // namespace
} // namespace sedgechute
