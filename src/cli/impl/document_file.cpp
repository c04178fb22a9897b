#include "cli/impl/document_file.hpp"

#include <fstream>
#include <sstream>

namespace sedgechute::cli {
namespace {

[[nodiscard]] std::string read_file(const std::string& path) {
  std::ifstream file{path, std::ios::binary};
  std::ostringstream text;
  text << file.rdbuf();
  if (!file)
    throw failure{exit_code::usage, path + ": can't be read"};
  return text.str();
}

/// Each kind has a required key that the others don't have.
[[nodiscard]] file_kind kind_of(const std::string& text) {
  try {
    const json_node root = parse_json(text);
    if (root.find("team") != nullptr)
      return file_kind::contract;
    return root.find("data_centres") != nullptr ? file_kind::fleet : file_kind::host;
  } catch (const error&) {
    return file_kind::host;
  }
}

template <typename T>
void fill(checked_file& file, const object_table<T>& table, const checked<T>& result) {
  file.problems = result.problems;
  if (result)
    file.canonical = table.write(*result.value);
}

} // namespace

checked_file check_file(const std::string& path, std::optional<file_kind> wanted) {
  checked_file file;
  file.path = path;
  file.text = read_file(path);
  file.kind = wanted ? *wanted : kind_of(file.text);
  if (file.kind == file_kind::contract) {
    const auto result = check_contract(path, file.text);
    fill(file, contract_table(), result);
    file.name = result ? result.value->team.str() : "";
  } else if (file.kind == file_kind::fleet) {
    fill(file, fleet_settings_table(), check_fleet_settings(path, file.text));
    file.name = std::string{fleet_document_name};
  } else {
    const auto result = check_host_settings(path, file.text);
    fill(file, host_settings_table(), result);
    file.name = result ? result.value->name.str() : "";
  }
  return file;
}

checked_file require_good_file(const std::string& path, file_kind wanted) {
  checked_file file = check_file(path, wanted);
  if (!file.problems.empty())
    throw failure{exit_code::faulty, "faulty document\n" + to_text(file.problems)};
  return file;
}

json_node canonical_document(file_kind kind, const std::string& text) {
  checked_file file;
  if (kind == file_kind::contract)
    fill(file, contract_table(), check_contract("", text));
  else
    fill(file, fleet_settings_table(), check_fleet_settings("", text));
  if (!file.problems.empty())
    throw failure{exit_code::failed,
                  "the document in force can't be read by this program: " + to_text(file.problems)};
  return file.canonical;
}

} // namespace sedgechute::cli
