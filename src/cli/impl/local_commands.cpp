// Commands that need no host.

#include "cli/impl/document_file.hpp"
#include "cli/impl/output.hpp"
#include "cli/impl/random_bytes.hpp"

namespace sedgechute::cli {
namespace {

constexpr std::size_t key_id_bytes = 6;

exit_code check_files(const invocation& call) {
  static_cast<void>(call.argument(0, "FILE"));
  bool good = true;
  json_node results = json_node::array();
  for (const auto& path : call.arguments) {
    const checked_file file = check_file(path);
    good = good && file.problems.empty();
    results.children.push_back(json_node::object()
                                   .add("file", json_node::of(path))
                                   .add("kind", json_node::of(std::string{name_of(file.kind)}))
                                   .add("ok", json_node::of(file.problems.empty()))
                                   .add("problems", problems_node(file.problems)));
    if (call.flags.json)
      continue;
    if (file.problems.empty())
      call.out << path << ": good " << name_of(file.kind) << " document\n";
    else
      call.out << to_text(file.problems) << '\n';
  }
  if (call.flags.json)
    call.out << to_text(results) << '\n';
  return good ? exit_code::ok : exit_code::faulty;
}

exit_code new_key(const invocation& call) {
  const std::string id = call.flags.id.empty() ? to_hex(random_bytes(key_id_bytes)) : call.flags.id;
  if (id.find('-') != std::string::npos)
    throw failure{exit_code::usage, "--id must have no dash"};
  const std::string bearer = make_bearer_key(id, random_bytes(key_secret_bytes));
  const hashed_key hashed = hash_bearer_key(bearer, to_hex(random_bytes(key_salt_bytes)));
  const json_node entry = hashed_key_table().write(hashed);
  if (call.flags.json) {
    call.out << to_text(json_node::object().add("key", json_node::of(bearer)).add("entry", entry))
             << '\n';
    return exit_code::ok;
  }
  call.out << "key, shown only now: " << bearer << "\nentry for the contract or settings:\n"
           << to_pretty_text(entry);
  return exit_code::ok;
}

exit_code print_schema(const invocation& call) {
  const auto kind = value_named<file_kind>(call.argument(0, "host, contract or fleet"));
  if (!kind)
    throw failure{exit_code::usage, "the schema is host, contract or fleet"};
  std::vector<field_info> fields = host_settings_table().info();
  if (*kind == file_kind::contract)
    fields = contract_table().info();
  if (*kind == file_kind::fleet)
    fields = fleet_settings_table().info();
  call.out << schema_page(fields);
  return exit_code::ok;
}

const registered_subcommand check_command{
    "check",
    {"FILE...", "Checks host settings, contracts and fleet settings, all faults in one run",
     "The kind is told by the file's keys. Nothing is sent anywhere. Exit status 2 when a file "
     "has faults.",
     check_files}};
const registered_subcommand key_command{
    "key new",
    {"[--id ID]", "Draws a bearer key and prints it with its entry for a contract or settings",
     "The key is printed once and kept nowhere; the entry holds a salted hash.", new_key}};
const registered_subcommand schema_command{
    "schema",
    {"host|contract|fleet", "Prints the fields of a document with units, ranges and defaults", "",
     print_schema}};

} // namespace
} // namespace sedgechute::cli
