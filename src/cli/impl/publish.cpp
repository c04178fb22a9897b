#include "cli/impl/publish.hpp"

#include "cli/impl/document_calls.hpp"
#include "cli/impl/output.hpp"
#include "cli/impl/random_bytes.hpp"

#include <chrono>
#include <thread>

namespace sedgechute::cli {
namespace {

constexpr std::size_t record_id_bytes = 16;
constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_conflict = 409;

/// \returns the revision that the operator says he has seen
[[nodiscard]] std::uint64_t replaced_revision(const invocation& call, file_kind kind,
                                              const shown_document& current) {
  if (call.flags.replaces)
    return *call.flags.replaces;
  // Taking whatever is in force would undo a colleague's change that the operator never saw.
  if (current.revision != 0)
    throw failure{exit_code::usage,
                  "revision " + std::to_string(current.revision) +
                      " is in force; look at it (sedgechute " + std::string{name_of(kind)} +
                      " diff FILE) and name it: --replaces " + std::to_string(current.revision)};
  return 0;
}

void print_conflict(const api_answer& answer, const checked_file& file, const invocation& call) {
  if (call.flags.json) {
    call.out << to_text(answer.body) << '\n';
    return;
  }
  const auto* current = answer.body.find("current");
  call.out << describe_error(answer) << '\n';
  if (current == nullptr)
    return;
  const std::string revision = shown(current->find("revision"));
  call.out << "revision " << revision << " in force -> yours:\n";
  print_difference(canonical_document(file.kind, text_member(*current, "body")), file.canonical,
                   call);
  call.out << "Put your change on top of revision " << revision
           << " and publish it with --replaces " << revision << '\n';
}

[[nodiscard]] exit_code report_in_force(api_client& client, const api_answer& answer,
                                        const checked_file& file, const invocation& call) {
  const auto* outcome = answer.body.find("outcome");
  const auto revision =
      outcome == nullptr ? 0 : static_cast<std::uint64_t>(number_member(*outcome, "offset"));
  if (call.flags.wait)
    return wait_for_rollout(client, file.kind, file.name, revision, call);
  if (call.flags.json)
    call.out << to_text(answer.body) << '\n';
  else
    call.out << name_of(file.kind) << ' ' << file.name << ": revision " << revision << " in force"
             << (true_member(answer.body, "repeated") ? " (had taken effect before)" : "") << '\n';
  return exit_code::ok;
}

/// A host that has just started doesn't know yet whether it reaches the log.
[[nodiscard]] bool may_change(const api_answer& answer) {
  return answer.status == status_accepted || exit_code_for(answer) == exit_code::log_down;
}

/// \brief Repeats a publish until it is known what became of it. Repeating is safe: the record id
/// stays the same.
[[nodiscard]] api_answer post_until_known(api_client& client, const std::string& path,
                                          const json_node& body, const invocation& call) {
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds{call.flags.timeout.count()};
  for (;;) {
    api_answer answer = client.post(path, body);
    if (!may_change(answer) || std::chrono::steady_clock::now() >= deadline)
      return answer;
    std::this_thread::sleep_for(std::chrono::milliseconds{call.flags.poll.count()});
  }
}

} // namespace

exit_code publish_file(const invocation& call, file_kind kind) {
  const checked_file file = require_good_file(call.argument(0, "FILE"), kind);
  api_client client{call.flags};
  const shown_document current = fetch_document(client, kind, file.name);
  const std::uint64_t replaces = replaced_revision(call, kind, current);
  const std::string record_id =
      call.flags.record_id.empty() ? to_hex(random_bytes(record_id_bytes)) : call.flags.record_id;
  const std::string repeat =
      "repeat it safely with --record_id " + record_id + " --replaces " + std::to_string(replaces);
  json_node body = json_node::object();
  body.add("record_id", json_node::of(record_id));
  body.add("replaces", json_node::of(static_cast<std::int64_t>(replaces)));
  body.add("based_on", json_node::of(static_cast<std::int64_t>(current.sequence)));
  body.add("body", json_node::of(file.text));
  // Before it is sent: whoever breaks off here can still repeat it.
  call.err << "record id " << record_id << '\n';
  api_answer answer;
  try {
    answer = post_until_known(client, document_path(kind, file.name), body, call);
  } catch (const failure& lost) {
    throw failure{lost.code(),
                  std::string{lost.what()} + "; the publish may have taken effect, " + repeat};
  }
  if (answer.status == status_ok)
    return report_in_force(client, answer, file, call);
  if (answer.status == status_conflict) {
    print_conflict(answer, file, call);
    return exit_code::conflict;
  }
  if (answer.status == status_accepted)
    throw failure{exit_code::pending, "not known yet whether it took effect; " + repeat};
  const bool log_down = exit_code_for(answer) == exit_code::log_down;
  throw failure{exit_code_for(answer),
                describe_error(answer) + (log_down ? "; when the log is back, " + repeat : "")};
}

} // namespace sedgechute::cli
