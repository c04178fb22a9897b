#include "daemon/impl/admin_api.hpp"

#include "wire/wire.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>

#include <chrono>
#include <thread>

namespace sedgechute {

namespace {

using Poco::JSON::Object;

constexpr int status_pending = 202;
constexpr time_ms append_repeat{500};
constexpr std::chrono::milliseconds log_check{50};
constexpr std::uint64_t default_page = 200;
constexpr std::uint64_t largest_page = 2000;
constexpr std::size_t longest_record_id = 64;

document_kind kind_of(const admin_call& call) {
  const auto kind = value_named<document_kind>(segment(call, 1));
  if (!kind)
    throw error{error_kind::unknown_path, call.exchange.path, "a kind is contract or fleet"};
  return *kind;
}

Object outcome_json(const publish_outcome& outcome) {
  Object json;
  json.set("record_id", outcome.record_id);
  json.set("offset", outcome.offset);
  json.set("kind", std::string{name_of(outcome.kind)});
  json.set("name", outcome.name);
  json.set("replaces", outcome.replaces);
  json.set("verdict", std::string{name_of(outcome.verdict)});
  json.set("current", outcome.current);
  json.set("reason", outcome.reason);
  return json;
}

template <typename T>
T field(const Object& object, const std::string& name) {
  try {
    return object.getValue<T>(name);
  } catch (const Poco::Exception& failure) {
    throw error{error_kind::invalid_parameter, "/" + name, failure.displayText()};
  }
}

/// `documents/{kind}[/{name}[/check|/history]]`
class documents_api final : public admin_api {
 public:
  void handle(const admin_call& call, admin_context& host) const override {
    const document_kind kind = kind_of(call);
    if (call.path.size() == 2)
      return list(call, host, kind);
    const std::string& name = segment(call, 2);
    const std::string what = call.path.size() > 3 ? call.path[3] : "";
    if (call.method == "GET" && what.empty())
      return show(call, host, kind, name);
    if (call.method == "GET" && what == "history")
      return history(call, host, kind, name);
    if (call.method == "POST" && what == "check")
      return check(call, host, kind, name);
    if (call.method == "POST" && what.empty())
      return publish(call, host, kind, name);
    throw error{error_kind::unknown_path, call.exchange.path, ""};
  }

 private:
  static void list(const admin_call& call, admin_context& host, document_kind kind) {
    const std::uint64_t most = std::min(query_number(call, "max", default_page), largest_page);
    const auto after = call.query.find("after");
    const auto page = host.documents.names(kind, after == call.query.end() ? "" : after->second,
                                           static_cast<std::size_t>(most) + 1);
    Poco::JSON::Array documents;
    for (std::size_t i = 0; i < page.size() && i < most; ++i) {
      Object entry;
      entry.set("name", page[i].name);
      entry.set("revision", page[i].revision);
      documents.add(entry);
    }
    Object body;
    body.set("documents", documents);
    if (page.size() > most)
      body.set("next", page[most - 1].name);
    send_json(call, 200, body);
  }

  static void show(const admin_call& call, admin_context& host, document_kind kind,
                   const std::string& name) {
    const std::string text = host.documents.body_of(kind, name);
    Object body;
    body.set("sequence", host.documents.sequence());
    if (text.empty()) {
      Object detail;
      detail.set("kind", std::string{name_of(error_kind::unknown_path)});
      detail.set("where", name);
      detail.set("why", "no such document is in force");
      body.set("error", detail);
      return send_json(call, answer_for(error_kind::unknown_path).http_status, body);
    }
    body.set("kind", std::string{name_of(kind)});
    body.set("name", name);
    body.set("revision", host.documents.revision_of(kind, name));
    body.set("body", text);
    send_json(call, 200, body);
  }

  static void history(const admin_call& call, admin_context& host, document_kind kind,
                      const std::string& name) {
    Poco::JSON::Array records;
    for (const relayed_document& kept :
         host.documents.history(kind, name, query_number(call, "max", default_page))) {
      Object entry;
      entry.set("offset", kept.offset);
      entry.set("record_id", kept.record.record_id);
      entry.set("replaces", kept.record.replaces);
      entry.set("verdict", std::string{name_of(kept.verdict)});
      entry.set("reason", kept.reason);
      entry.set("author", kept.record.author);
      entry.set("published_at_ms", kept.record.published_at.count());
      entry.set("body", kept.record.body);
      records.add(entry);
    }
    Object body;
    body.set("records", records);
    send_json(call, 200, body);
  }

  static document_record read_record(const admin_call& call, admin_context& host,
                                     document_kind kind, const std::string& name) {
    const Object::Ptr object = read_json(call, host.time);
    document_record record;
    record.kind = kind;
    record.name = name;
    record.replaces = field<Poco::UInt64>(*object, "replaces");
    record.body = field<std::string>(*object, "body");
    record.record_id = object->optValue<std::string>("record_id", "");
    record.based_on = object->optValue<Poco::UInt64>("based_on", host.documents.sequence());
    record.author = call.operator_name;
    record.published_at = wall_time();
    return record;
  }

  static committed_tokens committed(admin_context& host) {
    return [&host](const team_id& team) { return host.budgets.committed(team); };
  }

  static void check(const admin_call& call, admin_context& host, document_kind kind,
                    const std::string& name) {
    document_record record = read_record(call, host, kind, name);
    record.record_id = "check";
    const publish_outcome outcome = host.documents.preview(record, committed(host));
    Object body;
    body.set("verdict", std::string{name_of(outcome.verdict)});
    body.set("reason", outcome.reason);
    body.set("current", outcome.current);
    send_json(call, 200, body);
  }

  static void publish(const admin_call& call, admin_context& host, document_kind kind,
                      const std::string& name) {
    const document_record record = read_record(call, host, kind, name);
    if (record.record_id.empty() || record.record_id.size() > longest_record_id)
      throw error{error_kind::invalid_parameter, "/record_id", "1 to 64 characters"};
    if (const auto earlier = host.documents.wait_for_outcome(record.record_id, time_ms{0}))
      return answer(call, host, record, *earlier, true);
    const publish_outcome expected = host.documents.preview(record, committed(host));
    if (expected.verdict != publish_verdict::in_force)
      return answer(call, host, record, expected, false);
    if (!wait_for_log(host))
      throw error{error_kind::log_unavailable, "log", "publish again once it can be reached"};
    const auto outcome = append_and_wait(host, record);
    if (outcome)
      return answer(call, host, record, *outcome, false);
    Object body;
    body.set("record_id", record.record_id);
    body.set("state", "pending");
    send_json(call, status_pending, body);
  }

  // A host that has just started, or whose last read failed, may reach the log a moment later.
  static bool wait_for_log(admin_context& host) {
    const time_ms deadline = host.time.now() + host.settings.platform.timeout;
    while (!host.replayer.status().log_reachable) {
      if (host.time.now() >= deadline)
        return false;
      std::this_thread::sleep_for(log_check);
    }
    return true;
  }

  // An answer to an append can be lost after it took effect, and an append can be lost altogether.
  // The record is repeated with its id, which replay recognises, until it is read back.
  static std::optional<publish_outcome> append_and_wait(admin_context& host,
                                                        const document_record& record) {
    wire::log_record stored;
    *stored.mutable_document() = to_wire(record);
    const std::string bytes = stored.SerializeAsString();
    const time_ms deadline = host.time.now() + host.settings.platform.timeout;
    while (host.time.now() < deadline) {
      host.log.append(bytes);
      if (auto outcome = host.documents.wait_for_outcome(record.record_id, append_repeat))
        return outcome;
    }
    return std::nullopt;
  }

  static void answer(const admin_call& call, admin_context& host, const document_record& record,
                     const publish_outcome& outcome, bool repeated) {
    Object body;
    body.set("outcome", outcome_json(outcome));
    if (outcome.verdict == publish_verdict::in_force) {
      body.set("repeated", repeated);
      return send_json(call, 200, body);
    }
    const error_kind kind = outcome.verdict == publish_verdict::conflict
                                ? error_kind::publish_conflict
                                : error_kind::invalid_document;
    Object detail;
    detail.set("kind", std::string{name_of(kind)});
    detail.set("where", record.name);
    detail.set("why", outcome.reason);
    body.set("error", detail);
    if (kind == error_kind::publish_conflict) {
      Object current;
      current.set("revision", host.documents.revision_of(record.kind, record.name));
      current.set("body", host.documents.body_of(record.kind, record.name));
      body.set("current", current);
    }
    send_json(call, answer_for(kind).http_status, body);
  }
};

/// `outcomes/{record id}`
class outcomes_api final : public admin_api {
 public:
  void handle(const admin_call& call, admin_context& host) const override {
    const auto outcome = host.documents.wait_for_outcome(segment(call, 1), time_ms{0});
    if (!outcome)
      throw error{error_kind::key_unknown, segment(call, 1), "not seen, or too long ago"};
    Object body;
    body.set("outcome", outcome_json(*outcome));
    send_json(call, 200, body);
  }
};

const registry<admin_api>::entry documents{"documents",
                                           [] { return std::make_unique<documents_api>(); }};
const registry<admin_api>::entry outcomes{"outcomes",
                                          [] { return std::make_unique<outcomes_api>(); }};

} // namespace
} // namespace sedgechute
