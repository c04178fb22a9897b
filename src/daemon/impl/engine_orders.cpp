#include "daemon/impl/engine_orders.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>

#include <sstream>

namespace sedgechute {

namespace {

constexpr int status_done = 200;
constexpr int status_newer_epoch = 409;

} // namespace

std::string order_body(const engine_order& order) {
  Poco::JSON::Object body;
  body.set("order_id", std::to_string(order.id));
  body.set("fencing", static_cast<Poco::UInt64>(order.fencing));
  body.set("action", std::string{name_of(order.action)});
  if (order.action == order_action::role) {
    body.set("role", std::string{name_of(order.role)});
  } else {
    body.set("model", order.item.model.model.str());
    body.set("version", order.item.model.version);
    body.set("adapter", order.item.adapter);
  }
  std::ostringstream text;
  body.stringify(text);
  return text.str();
}

std::optional<order_answer> send_order(const http_target& engine, const engine_order& order,
                                       time_ms timeout) {
  try {
    const http_answer answer = http_call(engine, "POST", "/orders", order_body(order), timeout);
    if (answer.status == status_done)
      return order_answer::done;
    return answer.status == status_newer_epoch ? order_answer::newer_epoch : order_answer::failed;
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

} // namespace sedgechute
