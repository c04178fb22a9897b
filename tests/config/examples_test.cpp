#include "config/config.hpp"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace sedgechute;

namespace {

[[nodiscard]] std::string read_file(const std::filesystem::path& path) {
  std::ifstream file{path};
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

[[nodiscard]] std::vector<std::filesystem::path> files_in(const std::filesystem::path& folder) {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator{folder})
    files.push_back(entry.path());
  std::sort(files.begin(), files.end());
  return files;
}

[[nodiscard]] document_record record_of(const std::filesystem::path& file, document_kind kind) {
  document_record record;
  record.record_id = file.string();
  record.kind = kind;
  record.name = file.stem().string();
  record.body = read_file(file);
  return record;
}

void check_hosts(const std::filesystem::path& example) {
  const auto hosts = files_in(example / "hosts");
  CHECK(hosts.size() == 9);
  std::vector<std::string> addresses;
  for (const auto& file : hosts) {
    const auto settings = check_host_settings(file.string(), read_file(file));
    REQUIRE_MESSAGE(settings, to_text(settings.problems));
    CHECK(settings.value->name.str() == file.stem().string());
    for (const address& one : {settings.value->listen.callers, settings.value->listen.peers,
                               settings.value->listen.admin})
      addresses.push_back(one.str());
  }
  std::sort(addresses.begin(), addresses.end());
  CHECK(std::adjacent_find(addresses.begin(), addresses.end()) == addresses.end());
}

/// The demo's keys stand in `keys.txt` as lines of team and key.
[[nodiscard]] std::string key_of(const std::filesystem::path& example, const std::string& team) {
  std::istringstream keys{read_file(example / "keys.txt")};
  std::string name;
  std::string key;
  for (std::string line; std::getline(keys, line);)
    if (std::istringstream{line} >> name >> key && name == team)
      return key;
  return {};
}

void check_documents(const std::filesystem::path& example) {
  document_store store;
  const auto fleet = store.apply(1, record_of(example / "fleet.json", document_kind::fleet), {});
  REQUIRE_MESSAGE(fleet.outcome.verdict == publish_verdict::in_force, fleet.outcome.reason);
  std::uint64_t offset = 1;
  for (const auto& file : files_in(example / "contracts")) {
    auto record = record_of(file, document_kind::contract);
    record.based_on = store.sequence();
    const auto done = store.apply(++offset, record, {});
    REQUIRE_MESSAGE(done.outcome.verdict == publish_verdict::in_force, done.outcome.reason);
    const auto holder = store.authenticate(key_of(example, file.stem().string()));
    REQUIRE(holder != nullptr);
    CHECK(holder->value.team.str() == file.stem().string());
  }
  CHECK(store.contracts().size() == 10);
}

} // namespace

TEST_CASE("the examples' settings and documents hold, together and each") {
  for (const char* name : {"linsubrunnur", "souq-sayarat"}) {
    const auto example = std::filesystem::path{SEDGECHUTE_SOURCE_DIR} / "examples" / name;
    CAPTURE(name);
    check_hosts(example);
    check_documents(example);
  }
}

TEST_CASE("the examples' requests use only what their contracts allow") {
  for (const char* name : {"linsubrunnur", "souq-sayarat"}) {
    const auto example = std::filesystem::path{SEDGECHUTE_SOURCE_DIR} / "examples" / name;
    std::istringstream lines{read_file(example / "requests.jsonl")};
    std::size_t count = 0;
    for (std::string line; std::getline(lines, line); ++count) {
      CAPTURE(line);
      const json_node request = parse_json(line);
      const std::string team = request.find("team")->text;
      const auto agreed = check_contract(team, read_file(example / "contracts" / (team + ".json")));
      REQUIRE(agreed);
      CHECK(find_class(*agreed.value, request.find("class")->text) != nullptr);
      if (const auto* model = request.find("model"))
        CHECK(allows_model(*agreed.value, model_id{model->text}));
      else
        CHECK_FALSE(agreed.value->services.empty());
      if (request.find("model") != nullptr)
        CHECK_FALSE(agreed.value->pools.empty());
    }
    CHECK(count >= 50);
  }
}
