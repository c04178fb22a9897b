#include "cli/cli.hpp"
#include "fake_host.hpp"

#include <doctest/doctest.h>

#include <Poco/TemporaryFile.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

using namespace sedgechute;
using namespace sedgechute::testing;

namespace {

const std::string fleet_text = R"({"schema":1,"data_centres":[{"name":"a","region":"r"}],
  "pools":[{"name":"lm","kind":"engine","models":[{"name":"m"}]}]})";

[[nodiscard]] std::string contract_text(int tokens) {
  return R"({"schema":1,"team":"chat","top_ups":[{"id":"a","tokens":)" + std::to_string(tokens) +
         R"(}],"keys":[],"classes":[{"name":"c"}],"default_class":"c","pools":["lm"]})";
}

/// A file that is gone after the test.
class scratch_file {
 public:
  explicit scratch_file(const std::string& text) : path_{Poco::TemporaryFile::tempName()} {
    std::ofstream{path_} << text;
  }
  scratch_file(const scratch_file&) = delete;
  scratch_file& operator=(const scratch_file&) = delete;
  ~scratch_file() { std::filesystem::remove(path_); }

  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

struct result {
  cli::exit_code code{cli::exit_code::ok};
  std::string out;
  std::string err;
};

[[nodiscard]] result run_words(const std::vector<std::string>& words, const cli::options& flags) {
  std::ostringstream out;
  std::ostringstream err;
  result done;
  done.code = cli::run(words, flags, out, err);
  done.out = out.str();
  done.err = err.str();
  return done;
}

[[nodiscard]] cli::options flags_for(const std::vector<address>& hosts) {
  cli::options flags;
  flags.hosts = hosts;
  flags.key = "sk-op-1";
  flags.timeout = time_ms{2000};
  flags.poll = time_ms{1};
  return flags;
}

[[nodiscard]] bool holds(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("every command has help, and a mistyped one is told its nearest") {
  for (const auto& name : registry<cli::subcommand>::names()) {
    std::istringstream words{name};
    const std::vector<std::string> list{std::istream_iterator<std::string>{words}, {}};
    CHECK(holds(cli::help(list), "usage: sedgechute " + name));
  }
  CHECK(holds(cli::help({}), "exit status"));
  const auto mistyped = run_words({"flet", "publish"}, {});
  CHECK(mistyped.code == cli::exit_code::usage);
  CHECK(holds(mistyped.err, "did you mean \"fleet publish\""));
}

TEST_CASE("check reports every fault of every file and fails") {
  const scratch_file good{fleet_text};
  const scratch_file bad{R"({"schema":1,"team":"x","top_up":[]})"};
  cli::options flags;
  flags.json = true;
  const auto done = run_words({"check", good.path(), bad.path()}, flags);
  CHECK(done.code == cli::exit_code::faulty);
  const json_node files = parse_json(done.out);
  REQUIRE(files.children.size() == 2);
  CHECK(cli::true_member(files.children[0], "ok"));
  CHECK(cli::text_member(files.children[1], "kind") == "contract");
  CHECK(files.children[1].find("problems")->children.size() == 5);
}

TEST_CASE("a new key fits its own entry") {
  cli::options flags;
  flags.json = true;
  flags.id = "demo";
  const json_node made = parse_json(run_words({"key", "new"}, flags).out);
  const json_node& entry = *made.find("entry");
  const hashed_key key{cli::text_member(entry, "id"), cli::text_member(entry, "salt"),
                       cli::text_member(entry, "sha256")};
  CHECK(key.id == "demo");
  CHECK(matches(cli::text_member(made, "key"), key));
}

TEST_CASE("a first publish, a second that names the revision, and what is shown then") {
  fake_documents documents;
  fake_host host{[&](const received_call& call) { return documents.answer(call); }};
  cli::options flags = flags_for({host.where()});
  const scratch_file fleet{fleet_text};
  const scratch_file first{contract_text(100)};
  const scratch_file second{contract_text(250)};
  CHECK(run_words({"fleet", "publish", fleet.path()}, flags).code == cli::exit_code::ok);
  CHECK(run_words({"contract", "publish", first.path()}, flags).code == cli::exit_code::ok);
  const auto unnamed = run_words({"contract", "publish", second.path()}, flags);
  CHECK(unnamed.code == cli::exit_code::usage);
  CHECK(holds(unnamed.err, "--replaces 2"));
  const auto diff = run_words({"contract", "diff", second.path()}, flags);
  CHECK(diff.out == "/top_ups/a/tokens: 100 -> 250\nchanges against revision 2\n");
  flags.replaces = 2;
  const auto named = run_words({"contract", "publish", second.path()}, flags);
  CHECK(named.out == "contract chat: revision 3 in force\n");
  const auto shown = run_words({"contract", "show", "chat"}, flags);
  CHECK(shown.err == "revision 3\n");
  CHECK(check_contract("", shown.out));
  CHECK(holds(run_words({"contract", "history", "chat"}, flags).out, "in_force"));
  CHECK(host.calls().back().authorization == "Bearer sk-op-1");
}

// Two operators start from the same revision. The second is told so, sees what the first changed,
// and what to do; nothing of the first's change is lost.
TEST_CASE("the operator who comes second sees both versions and what to do") {
  fake_documents documents;
  fake_host host{[&](const received_call& call) { return documents.answer(call); }};
  cli::options flags = flags_for({host.where()});
  const scratch_file fleet{fleet_text};
  const scratch_file first{contract_text(100)};
  const scratch_file second{contract_text(250)};
  static_cast<void>(run_words({"fleet", "publish", fleet.path()}, flags));
  static_cast<void>(run_words({"contract", "publish", first.path()}, flags));
  flags.replaces = 0;
  const auto late = run_words({"contract", "publish", second.path()}, flags);
  CHECK(late.code == cli::exit_code::conflict);
  CHECK(holds(late.out, "/top_ups/a/tokens: 100 -> 250"));
  CHECK(holds(late.out, "--replaces 2"));
  CHECK(bought_tokens(documents.store().contract_of(team_id{"chat"})->value) == 100);
}

// The publish takes effect, but the connection dies before the answer. The operator cannot know;
// repeated as it stands, the command must say that the change is in force, and not change it twice.
TEST_CASE("a publish whose answer was lost is repeated through the next host") {
  fake_documents documents;
  std::atomic<bool> lose{true};
  const auto answer = [&](const received_call& call) -> std::optional<document_answer> {
    document_answer given = documents.answer(call);
    if (call.method == "POST" && lose.exchange(false))
      return std::nullopt;
    return given;
  };
  fake_host first{answer};
  fake_host second{[&](const received_call& call) { return documents.answer(call); }};
  const scratch_file fleet{fleet_text};
  const auto done =
      run_words({"fleet", "publish", fleet.path()}, flags_for({first.where(), second.where()}));
  CHECK(done.code == cli::exit_code::ok);
  CHECK(holds(done.out, "revision 1 in force (had taken effect before)"));
  CHECK(documents.store().sequence() == 2);
}

TEST_CASE("with no host left the operator is told how to repeat the publish") {
  fake_documents documents;
  fake_host host{[&](const received_call& call) -> std::optional<document_answer> {
    document_answer given = documents.answer(call);
    return call.method == "POST" ? std::nullopt : std::optional{given};
  }};
  const scratch_file fleet{fleet_text};
  cli::options flags = flags_for({host.where()});
  flags.record_id = "r-1";
  const auto lost = run_words({"fleet", "publish", fleet.path()}, flags);
  CHECK(lost.code == cli::exit_code::unreachable);
  CHECK(holds(lost.err, "may have taken effect"));
  CHECK(holds(lost.err, "--record_id r-1 --replaces 0"));
}

TEST_CASE("publish --wait reports host by host, and names those that can't be reached") {
  fake_documents documents;
  int looks = 0;
  fake_host host{[&](const received_call& call) -> std::optional<document_answer> {
    if (!holds(call.path, "/rollout/"))
      return documents.answer(call);
    const bool late = ++looks < 3;
    return rollout_answer(
        1, {{host_id{"a-1"}, data_centre_id{"a"}, 1, true, false, {}},
            {host_id{"a-2"}, data_centre_id{"a"}, late ? 0U : 1U, !late, false, {}}});
  }};
  cli::options flags = flags_for({host.where()});
  flags.wait = true;
  const scratch_file fleet{fleet_text};
  const auto done = run_words({"fleet", "publish", fleet.path()}, flags);
  CHECK(done.code == cli::exit_code::ok);
  CHECK(looks == 3);
  looks = -1000000;
  flags.timeout = time_ms{20};
  const auto never = run_words({"fleet", "wait"}, flags);
  CHECK(never.code == cli::exit_code::pending);
  CHECK(holds(never.out, "not reached: a-2"));
}

TEST_CASE("refusals, missing things and outages have exit statuses of their own") {
  const std::vector<std::pair<error_kind, cli::exit_code>> wanted{
      {error_kind::unauthenticated, cli::exit_code::refused},
      {error_kind::forbidden, cli::exit_code::refused},
      {error_kind::unknown_path, cli::exit_code::not_found},
      {error_kind::log_unavailable, cli::exit_code::log_down},
      {error_kind::invalid_document, cli::exit_code::faulty},
      {error_kind::internal, cli::exit_code::failed}};
  for (const auto& row : wanted) {
    fake_host host{[kind = row.first](const received_call&) {
      return error_answer_for(kind, "here", "because");
    }};
    const auto done = run_words({"budget", "show", "chat"}, flags_for({host.where()}));
    CAPTURE(name_of(row.first));
    CHECK(done.code == row.second);
    CHECK(holds(done.err, "because"));
  }
  CHECK(run_words({"host", "list"}, {}).code == cli::exit_code::usage);
}

TEST_CASE("queries go to the documented paths") {
  fake_host host{[](const received_call&) {
    return document_answer{200,
                           json_node::object().add("summary", json_node::of(std::string{"s"}))};
  }};
  cli::options flags = flags_for({host.where()});
  flags.team = "a b";
  flags.epoch = 7;
  flags.reason = "burnt";
  const std::vector<std::pair<std::vector<std::string>, std::string>> wanted{
      {{"budget", "show", "t"}, "GET /admin/v1/budgets/t"},
      {{"budget", "release", "t"}, "POST /admin/v1/budgets/t/release"},
      {{"request", "show", "k/1"}, "GET /admin/v1/requests/k%2F1?team=a%20b"},
      {{"explain", "refusal", "r"}, "GET /admin/v1/explain/refusal/r"},
      {{"explain", "pool", "lm"}, "GET /admin/v1/explain/pool/lm"},
      {{"explain", "budget", "t"}, "GET /admin/v1/explain/budget/t"},
      {{"host", "list"}, "GET /admin/v1/hosts"},
      {{"host", "drain", "h"}, "POST /admin/v1/hosts/h/drain"},
      {{"events"}, "GET /admin/v1/events?after=0&max=100&wait_ms=0"},
      {{"report", "burn"}, "GET /admin/v1/report/burn?team=a%20b"},
      {{"version"}, "GET /admin/v1/version"}};
  for (const auto& [words, path] : wanted) {
    CHECK(run_words(words, flags).code == cli::exit_code::ok);
    CHECK(host.calls().back().method + " " + host.calls().back().path == path);
  }
  CHECK(host.calls()[1].body == R"({"epoch":7,"reason":"burnt"})");
}

// A fleet has just been started and its hosts have not read the log yet. An operator's first
// publish, or a script's, would fail for half a second's sake.
TEST_CASE("a publish is repeated while the log can't be reached, and says so in the end") {
  fake_documents documents;
  std::atomic<int> outages{2};
  fake_host host{[&](const received_call& call) {
    if (call.method == "POST" && outages-- > 0)
      return error_answer_for(error_kind::log_unavailable, "log", "later");
    return documents.answer(call);
  }};
  const scratch_file fleet{fleet_text};
  cli::options flags = flags_for({host.where()});
  CHECK(run_words({"fleet", "publish", fleet.path()}, flags).code == cli::exit_code::ok);
  outages = 1'000'000;
  flags.timeout = time_ms{20};
  flags.replaces = 1;
  const auto down = run_words({"fleet", "publish", fleet.path()}, flags);
  CHECK(down.code == cli::exit_code::log_down);
  CHECK(holds(down.err, "when the log is back, repeat it safely with --record_id"));
}
