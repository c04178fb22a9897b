// `sedgechute contract ...` and `sedgechute fleet ...`.

#include "cli/impl/document_calls.hpp"
#include "cli/impl/output.hpp"
#include "cli/impl/publish.hpp"

namespace sedgechute::cli {
namespace {

/// \returns the team named first, or "fleet"
[[nodiscard]] std::string name_argument(const invocation& call, file_kind kind) {
  return kind == file_kind::fleet ? std::string{fleet_document_name} : call.argument(0, "TEAM");
}

exit_code check_document_file(const invocation& call, file_kind kind) {
  const checked_file file = require_good_file(call.argument(0, "FILE"), kind);
  if (call.flags.hosts.empty()) {
    call.out << file.path << ": good by itself; give --host to check it against the fleet\n";
    return exit_code::ok;
  }
  api_client client{call.flags};
  const shown_document current = fetch_document(client, kind, file.name);
  const auto replaces = static_cast<std::int64_t>(call.flags.replaces.value_or(current.revision));
  const api_answer answer = expect_good(client.post(document_path(kind, file.name) + "/check",
                                                    json_node::object()
                                                        .add("replaces", json_node::of(replaces))
                                                        .add("body", json_node::of(file.text))));
  if (call.flags.json)
    call.out << to_text(answer.body) << '\n';
  else
    print_members(call.out, answer.body);
  const auto verdict = value_named<publish_verdict>(text_member(answer.body, "verdict"));
  if (verdict == publish_verdict::conflict)
    return exit_code::conflict;
  return verdict == publish_verdict::in_force ? exit_code::ok : exit_code::faulty;
}

exit_code diff_document(const invocation& call, file_kind kind) {
  const checked_file file = require_good_file(call.argument(0, "FILE"), kind);
  api_client client{call.flags};
  const shown_document current = fetch_document(client, kind, file.name);
  if (current.revision == 0)
    throw failure{exit_code::not_found, "no " + std::string{name_of(kind)} + " \"" + file.name +
                                            "\" is in force; the file would be its first"};
  const bool differs =
      print_difference(canonical_document(kind, current.body), file.canonical, call);
  if (!call.flags.json)
    call.out << (differs ? "changes" : "no change") << " against revision " << current.revision
             << '\n';
  return exit_code::ok;
}

exit_code show_document(const invocation& call, file_kind kind) {
  const std::string name = name_argument(call, kind);
  api_client client{call.flags};
  const api_answer answer = expect_good(client.get(document_path(kind, name)));
  if (call.flags.json) {
    call.out << to_text(answer.body) << '\n';
    return exit_code::ok;
  }
  // The document alone goes to the output, so that it can be kept in a file and published again.
  call.err << "revision " << shown(answer.body.find("revision")) << '\n';
  call.out << to_pretty_text(parse_json(text_member(answer.body, "body")));
  return exit_code::ok;
}

exit_code show_history(const invocation& call, file_kind kind) {
  const std::string name = name_argument(call, kind);
  api_client client{call.flags};
  const api_answer answer = expect_good(
      client.get(document_path(kind, name) + "/history?max=" + std::to_string(call.flags.max)));
  if (call.flags.json) {
    call.out << to_text(answer.body) << '\n';
    return exit_code::ok;
  }
  if (const auto* records = answer.body.find("records"))
    print_table(
        call.out, *records,
        {"offset", "verdict", "replaces", "author", "published_at_ms", "record_id", "reason"});
  return exit_code::ok;
}

exit_code wait_document(const invocation& call, file_kind kind) {
  const std::string name = name_argument(call, kind);
  api_client client{call.flags};
  std::uint64_t revision = call.flags.revision;
  if (revision == 0)
    revision = fetch_document(client, kind, name).revision;
  if (revision == 0)
    throw failure{exit_code::not_found, "no document \"" + name + "\" is in force"};
  return wait_for_rollout(client, kind, name, revision, call);
}

struct verb {
  std::string name;
  std::string arguments;
  std::string brief;
  std::string details;
  exit_code (*run)(const invocation&, file_kind);
};

void add_verbs(file_kind kind, const std::string& what, const std::string& name_word) {
  const std::vector<verb> verbs{
      {"check", "FILE", "Checks " + what + ", and with --host also against the fleet",
       "Exit status 2 when it is faulty or would be void, 3 when it would be a conflict.",
       check_document_file},
      {"diff", "FILE", "Shows what a file would change in " + what + " in force", "",
       diff_document},
      {"publish", "FILE [--replaces REVISION] [--record_id ID] [--wait]", "Publishes " + what,
       "--replaces names the revision that you have seen; it may be left out for a first one.\n"
       "When the answer is lost, repeat the command with the --record_id that it printed: it "
       "takes\neffect at most once. --wait reports host by host until it is in force everywhere, "
       "or --timeout_ms.",
       publish_file},
      {"show", name_word, "Shows " + what + " in force, with all defaults",
       "The revision goes to standard error.", show_document},
      {"history", name_word, "Shows the last published records and what became of each", "",
       show_history},
      {"wait", name_word + (name_word.empty() ? "" : " ") + "[--revision N]",
       "Waits until a revision is in force on every host", "", wait_document}};
  for (const auto& one : verbs)
    const registered_subcommand added{
        std::string{name_of(kind)} + " " + one.name,
        {one.arguments, one.brief, one.details,
         [run = one.run, kind](const invocation& call) { return run(call, kind); }}};
}

struct registered_verbs {
  registered_verbs() {
    add_verbs(file_kind::contract, "a team's contract", "TEAM");
    add_verbs(file_kind::fleet, "the fleet settings", "");
  }
};

const registered_verbs registered;

} // namespace
} // namespace sedgechute::cli
