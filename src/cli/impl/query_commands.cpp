// Commands that ask a host or order something, and show the answer.

#include "cli/impl/api_client.hpp"
#include "cli/impl/output.hpp"
#include "cli/impl/subcommand.hpp"

#include <chrono>
#include <fstream>
#include <thread>

namespace sedgechute::cli {
namespace {

constexpr std::int64_t follow_wait_ms = 5000;

/// \brief Writes the answer as JSON, or its plain members and then its lists as tables.
void print_answer(const json_node& body, const invocation& call) {
  if (call.flags.json) {
    call.out << to_text(body) << '\n';
    return;
  }
  print_members(call.out, body);
  for (std::size_t i = 0; i < body.names.size(); ++i) {
    const json_node& value = body.children[i];
    if (value.type == json_type::object) {
      call.out << body.names[i] << ":\n";
      print_members(call.out, value);
    }
    if (value.type != json_type::array || value.children.empty())
      continue;
    call.out << body.names[i] << ":\n";
    print_table(call.out, value, columns_of(value));
  }
}

exit_code get_and_print(const invocation& call, const std::string& path) {
  api_client client{call.flags};
  print_answer(expect_good(client.get(path)).body, call);
  return exit_code::ok;
}

exit_code show_budget(const invocation& call) {
  return get_and_print(call, "/admin/v1/budgets/" + path_step(call.argument(0, "TEAM")));
}

exit_code release_budget(const invocation& call) {
  const std::string team = call.argument(0, "TEAM");
  if (call.flags.epoch == 0 || call.flags.reason.empty())
    throw failure{exit_code::usage, "needs --epoch N and --reason TEXT"};
  api_client client{call.flags};
  const auto answer =
      client.post("/admin/v1/budgets/" + path_step(team) + "/release",
                  json_node::object()
                      .add("epoch", json_node::of(static_cast<std::int64_t>(call.flags.epoch)))
                      .add("reason", json_node::of(call.flags.reason)));
  print_answer(expect_good(answer).body, call);
  return exit_code::ok;
}

exit_code show_request(const invocation& call) {
  std::string path = "/admin/v1/requests/" + path_step(call.argument(0, "KEY"));
  if (!call.flags.team.empty())
    path += "?team=" + path_step(call.flags.team);
  return get_and_print(call, path);
}

exit_code explain(const invocation& call, const std::string& what) {
  const std::string path = "/admin/v1/explain/" + what + "/" + path_step(call.argument(0, "NAME"));
  return get_and_print(call, path);
}

exit_code list_hosts(const invocation& call) {
  return get_and_print(call, "/admin/v1/hosts");
}

exit_code drain_host(const invocation& call) {
  const std::string host = call.argument(0, "HOST");
  api_client client{call.flags};
  print_answer(
      expect_good(client.post("/admin/v1/hosts/" + path_step(host) + "/drain", json_node::object()))
          .body,
      call);
  return exit_code::ok;
}

void print_events(const json_node& body, const invocation& call) {
  const auto* events = body.find("events");
  if (events == nullptr)
    return;
  for (const auto& event : events->children) {
    if (call.flags.json)
      call.out << to_text(event) << '\n';
    else
      call.out << shown(event.find("at_ms")) << ' ' << text_member(event, "host") << ' '
               << text_member(event, "kind") << " team=" << text_member(event, "team")
               << " request=" << text_member(event, "request_id") << ' '
               << text_member(event, "reason") << '\n';
  }
  if (const auto dropped = number_member(body, "dropped"); dropped > 0)
    call.err << dropped << " events are not here: sampled away or overwritten\n";
  call.out.flush();
}

exit_code show_events(const invocation& call) {
  api_client client{call.flags};
  auto after = static_cast<std::int64_t>(call.flags.after);
  for (;;) {
    const std::string wait = call.flags.follow ? std::to_string(follow_wait_ms) : "0";
    const api_answer answer =
        expect_good(client.get("/admin/v1/events?after=" + std::to_string(after) +
                               "&max=" + std::to_string(call.flags.max) + "&wait_ms=" + wait));
    print_events(answer.body, call);
    const bool news = after != number_member(answer.body, "next");
    after = number_member(answer.body, "next");
    if (!call.flags.follow)
      return exit_code::ok;
    // A host that answers at once although nothing is new would otherwise be asked without pause.
    if (!news)
      std::this_thread::sleep_for(std::chrono::milliseconds{call.flags.poll.count()});
  }
}

void print_burn(const json_node& body, const invocation& call) {
  const auto* rows = body.find("rows");
  if (rows == nullptr)
    return;
  json_node table = json_node::array();
  for (json_node row : rows->children) {
    if (const auto* windows = row.find("windows")) {
      const json_node copy = *windows;
      for (const auto& window : copy.children)
        row.add("burn " + text_member(window, "name"), *window.find("burn_rate"));
    }
    table.children.push_back(std::move(row));
  }
  if (table.children.empty()) {
    call.out << "no requests yet\n";
    return;
  }
  std::vector<std::string> columns = table.children.front().names;
  std::erase(columns, "windows");
  print_table(call.out, table, columns);
}

exit_code report_burn(const invocation& call) {
  api_client client{call.flags};
  std::string path = "/admin/v1/report/burn";
  path += call.flags.team.empty() ? "" : "?team=" + path_step(call.flags.team);
  if (!call.flags.html.empty()) {
    path += (call.flags.team.empty() ? "?" : "&") + std::string{"format=html"};
    std::ofstream file{call.flags.html};
    file << expect_good(client.get(path)).text;
    file.close();
    if (!file)
      throw failure{exit_code::failed, call.flags.html + ": can't be written"};
    return exit_code::ok;
  }
  const api_answer answer = expect_good(client.get(path));
  if (call.flags.json)
    call.out << to_text(answer.body) << '\n';
  else
    print_burn(answer.body, call);
  return exit_code::ok;
}

exit_code show_version(const invocation& call) {
  if (!call.flags.hosts.empty())
    return get_and_print(call, "/admin/v1/version");
  json_node own = json_node::object();
  own.add("program", json_node::of(std::string{"sedgechute"}));
  own.add("version", json_node::of(std::string{SEDGECHUTE_VERSION}));
  own.add("schema", json_node::of(current_schema));
  print_answer(own, call);
  return exit_code::ok;
}

const registered_subcommand budget_show{
    "budget show", {"TEAM", "Shows where a team's tokens are", "", show_budget}};
const registered_subcommand budget_release{
    "budget release",
    {"TEAM --epoch N --reason TEXT", "Gives back the written-off tokens of a destroyed host",
     "Only for a host that will never run again: you state that no request it admitted still "
     "runs.\nThe epoch stands in `sedgechute budget show`.",
     release_budget}};
const registered_subcommand request_show{
    "request show",
    {"KEY [--team TEAM]", "Shows the life of a request: hosts, attempts, waits, bill",
     "KEY is the request id or the idempotency key; the latter needs --team.", show_request}};
const registered_subcommand explain_refusal{
    "explain refusal",
    {"REQUEST", "Says why a request was refused, and what would have let it through", "",
     [](const invocation& call) { return explain(call, "refusal"); }}};
const registered_subcommand explain_pool{
    "explain pool",
    {"POOL", "Says why requests of a pool go where they go, and wait", "",
     [](const invocation& call) { return explain(call, "pool"); }}};
const registered_subcommand explain_budget{
    "explain budget", {"TEAM", "Says what holds a team's tokens", "", [](const invocation& call) {
                         return explain(call, "budget");
                       }}};
const registered_subcommand host_list{"host list", {"", "Lists the hosts", "", list_hosts}};
const registered_subcommand host_drain{
    "host drain",
    {"HOST", "Stops a host without cutting off any request",
     "It takes no new work, finishes every stream however long, hands over and exits.",
     drain_host}};
const registered_subcommand events{
    "events",
    {"[--after N] [--follow]", "Shows decisions of the fleet with their reasons", "", show_events}};
const registered_subcommand report{"report burn",
                                   {"[--team TEAM] [--html FILE]",
                                    "Reports how fast classes use up their error budgets", "",
                                    report_burn}};
const registered_subcommand version{
    "version",
    {"", "Shows this program's version, or with --host that of a host", "", show_version}};

} // namespace
} // namespace sedgechute::cli
