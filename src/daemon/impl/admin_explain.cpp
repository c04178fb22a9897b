#include "daemon/impl/admin_api.hpp"

#include <Poco/JSON/Array.h>

namespace sedgechute {

namespace {

using Poco::JSON::Object;

/// Gathers what an explanation states.
class fact_list {
 public:
  void add(const std::string& name, const Poco::Dynamic::Var& value, const std::string& meaning) {
    Object fact;
    fact.set("name", name);
    fact.set("value", value);
    fact.set("meaning", meaning);
    facts_.add(fact);
  }

  [[nodiscard]] Object with_summary(const std::string& summary) const {
    Object body;
    body.set("summary", summary);
    body.set("facts", facts_);
    return body;
  }

 private:
  Poco::JSON::Array facts_;
};

std::string describe(const order_record& given, time_ms now) {
  const engine_order& order = given.order;
  std::string text{name_of(order.action)};
  text.append(" ").append(order.action == order_action::role ? std::string{name_of(order.role)}
                                                             : to_string(order.item));
  text.append(" at ").append(order.endpoint.str());
  text.append(", fencing ").append(std::to_string(order.fencing));
  text.append(", sent ").append(std::to_string((now - given.first_sent).count()));
  return text.append(" ms ago: ").append(name_of(given.state));
}

// Only the deciding host knows what it ordered, so every other one names it.
void add_orders(admin_context& host, const pool_id& pool, fact_list& facts) {
  const pool_orders told = host.orders.describe(pool);
  if (!told.decider) {
    facts.add("decider", "none", "no host gives orders to this pool's engines");
    return;
  }
  const bool here = told.decider->host == host.self;
  facts.add("decider", told.decider->host.host.str(),
            here ? "this host gives the orders"
                 : "gives the orders to this pool's engines; ask it what and why");
  facts.add("fencing", told.decider->epoch, "number under which the orders are given now");
  const time_ms now = host.time.now();
  for (const order_record& given : told.records)
    facts.add("order " + std::to_string(given.order.id), describe(given, now), given.order.why);
  for (const std::string& reason : told.withheld)
    facts.add("withheld", reason, "wanted, but not ordered");
}

Object explain_pool(admin_context& host, const pool_id& pool) {
  const auto figures = host.dispatch.figures(pool);
  fact_list facts;
  facts.add("queued", figures.queue.queued, "requests that wait on this host");
  facts.add("running", figures.queue.running, "requests of this host at the pool's endpoints");
  facts.add("endpoints", figures.load.endpoints, "endpoints that take new work");
  facts.add("places", figures.load.places, "requests that they run at once");
  facts.add("at_endpoints", figures.load.at_endpoints, "requests believed to be there now");
  facts.add("rate", figures.queue.rate, "tokens a second that this host starts while it queues");
  for (const fair_queue::team_figures& team : host.dispatch.teams(pool))
    if (team.queued > 0 || team.running > 0)
      facts.add("team " + team.team.str(), team.queued,
                "waiting; weight " + std::to_string(team.weight) + ", running " +
                    std::to_string(team.running));
  add_orders(host, pool, facts);
  const bool none = figures.load.endpoints == 0;
  const bool full = figures.load.at_endpoints >= figures.load.places;
  return facts.with_summary(none   ? "no endpoint of the pool takes new work"
                            : full ? "all places of the pool are believed taken: requests wait"
                                   : "places are free: requests start at once");
}

Object explain_budget(admin_context& host, const team_id& team) {
  const auto budget = host.budgets.describe(team);
  if (!budget)
    throw error{error_kind::key_unknown, team.str(), "no contract of this team is in force"};
  fact_list facts;
  facts.add("bought", budget->bought, "tokens of all top-ups in force");
  facts.add("spent", budget->spent, "as last reported by the holders");
  facts.add("pool", budget->pool, "delegated to no host");
  facts.add("outstanding", budget->outstanding, "with holders, not reported as spent");
  facts.add("written_off", budget->written_off,
            "unusable until there is proof of their holder's end");
  for (const ledger::slice_description& slice : budget->slices)
    facts.add("slice " + std::to_string(slice.epoch), slice.outstanding,
              "outstanding with " + slice.holder.host.str() + " in " + slice.data_centre.str() +
                  ", " + std::string{name_of(slice.state)});
  if (budget->exhausted_in)
    facts.add("exhausted_in_ms", budget->exhausted_in->count(), "at the rate of late");
  return facts.with_summary(budget->pool > 0 ? "the pool can still be delegated"
                                             : "everything is delegated, spent or written off");
}

Object explain_refusal(admin_context& host, const std::string& request) {
  decision_filter wanted;
  wanted.request = request;
  const auto story = host.events.find(wanted);
  if (story.empty())
    throw error{error_kind::key_unknown, request, "this host keeps nothing of it; ask the others"};
  fact_list facts;
  for (const decision& step : story)
    facts.add(std::string{name_of(step.kind)}, step.reason, step.subject);
  return facts.with_summary(story.back().reason);
}

/// `explain/refusal|pool|budget/{what}`
class explain_api final : public admin_api {
 public:
  void handle(const admin_call& call, admin_context& host) const override {
    const std::string& topic = segment(call, 1);
    const std::string& what = segment(call, 2);
    if (topic == "pool")
      return send_json(call, 200, explain_pool(host, pool_id{what}));
    if (topic == "budget")
      return send_json(call, 200, explain_budget(host, team_id{what}));
    if (topic == "refusal")
      return send_json(call, 200, explain_refusal(host, what));
    throw error{error_kind::unknown_path, call.exchange.path, "refusal, pool or budget"};
  }
};

/// `requests/{id or key}?team=T`: what is known of one request.
class request_api final : public admin_api {
 public:
  void handle(const admin_call& call, admin_context& host) const override {
    const std::string& what = segment(call, 1);
    Object body;
    body.set("request_id", what);
    const bool known_key = add_key(call, host, what, body);
    const bool known_events = add_events(host, what, body);
    if (!known_key && !known_events)
      throw error{error_kind::key_unknown, what, "nothing is known of it on this host"};
    send_json(call, 200, body);
  }

 private:
  static bool add_key(const admin_call& call, admin_context& host, const std::string& key,
                      Object& body) {
    const auto team = call.query.find("team");
    if (team == call.query.end())
      return false;
    const key_status status = host.claims.look_up(team_id{team->second}, key);
    if (status.state.empty())
      return false;
    body.set("key", key);
    body.set("team", team->second);
    body.set("state", status.state);
    body.set("outcome", status.outcome);
    body.set("host", status.host.str());
    return true;
  }

  static bool add_events(admin_context& host, const std::string& request, Object& body) {
    decision_filter wanted;
    wanted.request = request;
    const auto story = host.events.find(wanted);
    Poco::JSON::Array attempts;
    for (const decision& step : story) {
      Object entry;
      entry.set("at_ms", step.at.count());
      entry.set("endpoint", step.subject);
      entry.set("why", std::string{name_of(step.kind)});
      entry.set("ended", step.reason);
      attempts.add(entry);
    }
    if (!story.empty()) {
      Object bill;
      bill.set("tokens", story.back().amount);
      body.set("bill", bill);
      body.set("team", story.back().team);
    }
    body.set("attempts", attempts);
    return !story.empty();
  }
};

const registry<admin_api>::entry explain{"explain", [] { return std::make_unique<explain_api>(); }};
const registry<admin_api>::entry requests{"requests",
                                          [] { return std::make_unique<request_api>(); }};

} // namespace
} // namespace sedgechute
