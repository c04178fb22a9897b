#include "daemon/impl/admin_api.hpp"

#include "wire/wire.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

namespace sedgechute {

namespace {

constexpr time_ms append_repeat{500};
constexpr std::chrono::milliseconds log_check{50};
constexpr std::uint64_t default_page = 200;
constexpr std::uint64_t largest_page = 2000;

document_kind kind_of(const admin_call& call) {
  const auto kind = value_named<document_kind>(segment(call, 1));
  if (!kind)
    throw error{error_kind::unknown_path, call.exchange.path, "a kind is contract or fleet"};
  return *kind;
}

void send(const admin_call& call, const document_answer& answer) {
  send_text(call, answer.status, to_text(answer.body) + "\n");
}

std::size_t page_size(const admin_call& call) {
  return static_cast<std::size_t>(std::min(query_number(call, "max", default_page), largest_page));
}

publish_request read_request(const admin_call& call, const admin_context& host) {
  checked<publish_request> request = read_publish_request(read_text(call, host.time));
  if (!request)
    throw error{error_kind::invalid_parameter, call.exchange.path, to_text(request.problems)};
  return std::move(*request.value);
}

committed_tokens committed(admin_context& host) {
  return [&host](const team_id& team) { return host.budgets.committed(team); };
}

// A host that has just started, or whose last read failed, may reach the log a moment later.
void wait_for_log(admin_context& host) {
  const time_ms deadline = host.time.now() + host.settings.platform.timeout;
  while (!host.replayer.status().log_reachable) {
    if (host.time.now() >= deadline)
      throw error{error_kind::log_unavailable, "log", "publish again once it can be reached"};
    std::this_thread::sleep_for(log_check);
  }
}

// An answer to an append can be lost after it took effect, and an append can be lost altogether.
// The record is repeated with its id, which replay recognises, until it is read back.
std::optional<publish_outcome> append_and_wait(admin_context& host, const document_record& record) {
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

void answer_publish(const admin_call& call, admin_context& host, const publish_outcome& outcome,
                    bool repeated) {
  send(call, host.documents.answer(
                 [&](document_store& store) { return publish_answer(store, outcome, repeated); }));
}

void publish(const admin_call& call, admin_context& host, document_kind kind,
             const std::string& name) {
  const publish_request request = read_request(call, host);
  const document_record record = record_for(request, kind, name, call.operator_name, wall_time());
  if (const auto earlier = host.documents.wait_for_outcome(record.record_id, time_ms{0}))
    return answer_publish(call, host, *earlier, true);
  const publish_outcome expected = host.documents.preview(record, committed(host));
  if (expected.verdict != publish_verdict::in_force)
    return answer_publish(call, host, expected, false);
  wait_for_log(host);
  if (const auto outcome = append_and_wait(host, record))
    return answer_publish(call, host, *outcome, false);
  send(call, pending_answer(record.record_id));
}

void check(const admin_call& call, admin_context& host, document_kind kind,
           const std::string& name) {
  const publish_request request = read_request(call, host);
  const document_record record = record_for(request, kind, name, call.operator_name, wall_time());
  send(call, check_answer(host.documents.preview(record, committed(host))));
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
      return send(call, host.documents.answer([&](document_store& store) {
        return show_document(store, kind, name);
      }));
    if (call.method == "GET" && what == "history")
      return send(call, host.documents.answer([&](document_store& store) {
        return document_history(store, kind, name, page_size(call));
      }));
    if (call.method == "POST" && what == "check")
      return check(call, host, kind, name);
    if (call.method == "POST" && what.empty())
      return publish(call, host, kind, name);
    throw error{error_kind::unknown_path, call.exchange.path, ""};
  }

 private:
  static void list(const admin_call& call, admin_context& host, document_kind kind) {
    const auto after = call.query.find("after");
    const std::string behind = after == call.query.end() ? "" : after->second;
    send(call, host.documents.answer([&](document_store& store) {
      return list_documents(store, kind, behind, page_size(call));
    }));
  }
};

/// `outcomes/{record id}`
class outcomes_api final : public admin_api {
 public:
  void handle(const admin_call& call, admin_context& host) const override {
    send(call, host.documents.answer(
                   [&](document_store& store) { return show_outcome(store, segment(call, 1)); }));
  }
};

const registry<admin_api>::entry documents{"documents",
                                           [] { return std::make_unique<documents_api>(); }};
const registry<admin_api>::entry outcomes{"outcomes",
                                          [] { return std::make_unique<outcomes_api>(); }};

} // namespace
} // namespace sedgechute
