#include "config/impl/schema_page.hpp"

namespace sedgechute {
namespace {

[[nodiscard]] bool is_list(const field_info& field) {
  return field.rule.type.compare(0, 4, "list") == 0;
}

/// A bar would end a Markdown cell.
[[nodiscard]] std::string cell(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '|')
      escaped += '\\';
    escaped += c;
  }
  return escaped;
}

[[nodiscard]] std::string default_cell(const field_info& field) {
  if (field.required)
    return "required";
  return field.default_text.empty() ? "" : "`" + field.default_text + "`";
}

void append_rows(std::string& out, const std::string& prefix,
                 const std::vector<field_info>& fields) {
  for (const auto& field : fields) {
    const std::string pointer = prefix + "/" + field.name;
    out += "| `" + pointer + "` | " + field.rule.type + " | " + field.rule.unit + " | " +
           cell(field.rule.range) + " | " + default_cell(field) + " | " + cell(field.brief) +
           " |\n";
    append_rows(out, is_list(field) ? pointer + "/N" : pointer, field.rule.fields);
  }
}

} // namespace

std::string schema_page(const std::vector<field_info>& fields) {
  std::string out = "| key | type | unit | range | default | meaning |\n"
                    "| --- | --- | --- | --- | --- | --- |\n";
  append_rows(out, "", fields);
  return out;
}

} // namespace sedgechute
