#include "cli/impl/document_calls.hpp"

#include "cli/impl/output.hpp"

#include <chrono>
#include <thread>

namespace sedgechute::cli {
namespace {

constexpr int status_not_found = 404;

[[nodiscard]] std::string names_in_state(const json_node& hosts, std::string_view state) {
  std::string names;
  for (const auto& host : hosts.children)
    if (text_member(host, "state") == state)
      names += (names.empty() ? "" : ", ") + text_member(host, "host");
  return names;
}

void print_rollout(const json_node& body, const invocation& call) {
  if (call.flags.json) {
    call.out << to_text(body) << '\n';
    return;
  }
  const auto* hosts = body.find("hosts");
  if (hosts == nullptr)
    return;
  print_table(call.out, *hosts, {"host", "data_centre", "state", "revision"});
  if (const std::string names = names_in_state(*hosts, "unreachable"); !names.empty())
    call.out << "not reached: " << names << '\n';
  if (const std::string names = names_in_state(*hosts, "needs_newer_program"); !names.empty())
    call.out << "need a newer program: " << names << '\n';
}

} // namespace

std::string document_path(file_kind kind, const std::string& name) {
  return "/admin/v1/documents/" + std::string{name_of(kind)} + "/" + path_step(name);
}

shown_document fetch_document(api_client& client, file_kind kind, const std::string& name) {
  api_answer answer = client.get(document_path(kind, name));
  if (answer.status != status_not_found)
    answer = expect_good(std::move(answer));
  shown_document document;
  document.revision = static_cast<std::uint64_t>(number_member(answer.body, "revision"));
  document.sequence = static_cast<std::uint64_t>(number_member(answer.body, "sequence"));
  document.body = text_member(answer.body, "body");
  return document;
}

bool print_difference(const json_node& before, const json_node& after, const invocation& call) {
  const auto differences = diff_documents(before, after);
  if (call.flags.json) {
    json_node list = json_node::array();
    for (const auto& one : differences)
      list.children.push_back(json_node::object()
                                  .add("pointer", json_node::of(one.pointer))
                                  .add("before", json_node::of(one.before))
                                  .add("after", json_node::of(one.after)));
    call.out << to_text(list) << '\n';
    return !differences.empty();
  }
  for (const auto& one : differences) {
    call.out << (one.pointer.empty() ? "document" : one.pointer) << ": ";
    if (one.before.empty())
      call.out << "added " << one.after << '\n';
    else if (one.after.empty())
      call.out << "removed " << one.before << '\n';
    else
      call.out << one.before << " -> " << one.after << '\n';
  }
  return !differences.empty();
}

exit_code wait_for_rollout(api_client& client, file_kind kind, const std::string& name,
                           std::uint64_t revision, const invocation& call) {
  const std::string path = "/admin/v1/rollout/" + std::string{name_of(kind)} + "/" +
                           path_step(name) + "?revision=" + std::to_string(revision);
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds{call.flags.timeout.count()};
  for (;;) {
    const api_answer answer = expect_good(client.get(path));
    const bool everywhere = true_member(answer.body, "everywhere");
    if (everywhere || std::chrono::steady_clock::now() >= deadline) {
      print_rollout(answer.body, call);
      return everywhere ? exit_code::ok : exit_code::pending;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{call.flags.poll.count()});
  }
}

} // namespace sedgechute::cli
