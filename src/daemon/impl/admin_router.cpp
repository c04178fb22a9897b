#include "daemon/impl/admin_router.hpp"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <utility>

namespace sedgechute {

namespace {

constexpr std::string_view root = "/admin/v1/";

admin_call parse_call(caller_exchange& exchange, std::string operator_name) {
  admin_call call{exchange, exchange.request.getMethod(), {}, {}, std::move(operator_name)};
  const Poco::URI uri{exchange.request.getURI()};
  std::vector<std::string> segments;
  uri.getPathSegments(segments);
  call.path.assign(segments.begin() + 2, segments.end());
  for (const auto& [name, value] : uri.getQueryParameters())
    call.query.emplace(name, value);
  return call;
}

void send_error(caller_exchange& exchange, const error& failure) {
  const error_answer& answer = answer_for(failure.kind());
  Poco::JSON::Object detail;
  detail.set("kind", std::string{name_of(failure.kind())});
  detail.set("where", failure.where());
  detail.set("why", failure.why().empty() ? std::string{answer.meaning} : failure.why());
  Poco::JSON::Object body;
  body.set("error", detail);
  if (answer.retryable)
    exchange.response.set("Retry-After", "1");
  send_json({exchange, {}, {}, {}, {}}, answer.http_status, body);
}

// Reading an outcome of a check changes nothing, so it needs no right to publish.
bool only_reads(const admin_call& call) {
  return call.method == "GET" || (!call.path.empty() && call.path.back() == "check");
}

} // namespace

admin_router::admin_router(admin_context host) : host_{std::move(host)} {
  for (const std::string& name : registry<admin_api>::names())
    apis_.emplace(name, registry<admin_api>::make(name));
}

const operator_settings& admin_router::authenticate(const caller_exchange& exchange) const {
  const std::string bearer = read_caller_headers(exchange).bearer;
  for (const operator_settings& known : host_.settings.operators)
    if (matches(bearer, known.key))
      return known;
  throw error{error_kind::unauthenticated, "", ""};
}

void admin_router::serve(caller_exchange& exchange) {
  try {
    const operator_settings& who = authenticate(exchange);
    if (!exchange.path.starts_with(root))
      throw error{error_kind::unknown_path, exchange.path, ""};
    const admin_call call = parse_call(exchange, who.name);
    const auto api = apis_.find(segment(call, 0));
    if (api == apis_.end())
      throw error{error_kind::unknown_path, exchange.path, ""};
    if (!only_reads(call) && who.right != operator_right::publish)
      throw error{error_kind::forbidden, "", "this key may only read"};
    api->second->handle(call, host_);
  } catch (const error& failure) {
    if (exchange.response.sent())
      throw;
    send_error(exchange, failure);
  }
}

} // namespace sedgechute
