#include "config/impl/check_document.hpp"

namespace sedgechute {

std::optional<json_node> open_document(std::string_view text, check_run& run) {
  std::optional<json_node> root;
  try {
    root = parse_json(text);
  } catch (const error& failure) {
    run.fault(failure.why());
    return std::nullopt;
  }
  const json_node* schema = root->find("schema");
  if (schema == nullptr || schema->type != json_type::integer)
    return root;
  const std::string version = "schema " + std::to_string(schema->integer);
  const std::string ours = std::to_string(current_schema);
  if (schema->integer > current_schema)
    run.fault_at("/schema", version + " is newer than " + ours +
                                ", the newest that this program reads: update the program first");
  else if (schema->integer < current_schema)
    run.fault_at("/schema", version + " is older than " + ours +
                                ", the oldest that this program reads: bring the document to " +
                                "schema " + ours);
  else
    return root;
  return std::nullopt;
}

} // namespace sedgechute
