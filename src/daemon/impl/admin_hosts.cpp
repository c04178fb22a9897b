#include "daemon/impl/admin_api.hpp"

#include <Poco/JSON/Array.h>

namespace sedgechute {

namespace {

using Poco::JSON::Object;

/// `version`
class version_api final : public admin_api {
 public:
  void handle(const admin_call& call, admin_context& host) const override {
    Object body;
    body.set("host", host.self.host.str());
    body.set("program", "sedgechuted");
    body.set("version", "0.1.0");
    body.set("schema", current_schema);
    send_json(call, 200, body);
  }
};

/// `hosts[/{host}/drain]`
class hosts_api final : public admin_api {
 public:
  void handle(const admin_call& call, admin_context& host) const override {
    if (call.path.size() == 1)
      return list(call, host);
    if (call.method != "POST" || call.path.size() != 3 || call.path[2] != "drain")
      throw error{error_kind::unknown_path, call.exchange.path, ""};
    if (call.path[1] != host.self.host.str())
      throw error{error_kind::unknown_path, call.path[1], "ask that host's own admin address"};
    host.start_drain();
    Object body;
    body.set("host", call.path[1]);
    body.set("state", "leaving");
    send_json(call, 202, body);
  }

 private:
  static void list(const admin_call& call, admin_context& host) {
    Poco::JSON::Array hosts;
    for (const member& one : host.members().members) {
      Object entry;
      entry.set("host", one.who.host.str());
      entry.set("data_centre", one.data_centre.str());
      entry.set("state", one.leaving ? "leaving" : std::string{name_of(one.state)});
      entry.set("address", one.address);
      if (one.who == host.self) {
        entry.set("ready", host.status.not_ready_reason().empty());
        entry.set("log_offset", host.replayer.status().position);
      }
      hosts.add(entry);
    }
    Object body;
    body.set("hosts", hosts);
    send_json(call, 200, body);
  }
};

/// `events?after=N&max=M`
class events_api final : public admin_api {
 public:
  void handle(const admin_call& call, admin_context& host) const override {
    decision_filter wanted;
    wanted.after = query_number(call, "after", 0);
    wanted.most = static_cast<std::size_t>(query_number(call, "max", 1000));
    std::uint64_t next = wanted.after;
    Poco::JSON::Array events;
    for (const decision& happened : host.events.find(wanted)) {
      next = happened.sequence;
      Object entry;
      entry.set("seq", happened.sequence);
      entry.set("at_ms", happened.at.count());
      entry.set("host", host.self.host.str());
      entry.set("kind", std::string{name_of(happened.kind)});
      entry.set("team", happened.team);
      entry.set("request_id", happened.request);
      entry.set("subject", happened.subject);
      entry.set("reason", happened.reason);
      entry.set("amount", happened.amount);
      events.add(entry);
    }
    Object body;
    body.set("next", next);
    body.set("dropped", host.events.sampled_out());
    body.set("events", events);
    send_json(call, 200, body);
  }
};

const registry<admin_api>::entry version{"version", [] { return std::make_unique<version_api>(); }};
const registry<admin_api>::entry hosts{"hosts", [] { return std::make_unique<hosts_api>(); }};
const registry<admin_api>::entry events{"events", [] { return std::make_unique<events_api>(); }};

} // namespace
} // namespace sedgechute
