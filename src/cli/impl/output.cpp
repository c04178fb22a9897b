#include "cli/impl/output.hpp"

#include <algorithm>
#include <iomanip>

namespace sedgechute::cli {

std::string shown(const json_node* value) {
  if (value == nullptr)
    return {};
  return value->type == json_type::text ? value->text : to_text(*value);
}

void print_table(std::ostream& out, const json_node& rows,
                 const std::vector<std::string>& columns) {
  std::vector<std::size_t> widths;
  for (const auto& column : columns) {
    std::size_t width = column.size();
    for (const auto& row : rows.children)
      width = std::max(width, shown(row.find(column)).size());
    widths.push_back(width);
  }
  const auto print_cell = [&](std::size_t i, const std::string& text) {
    const bool last = i + 1 == columns.size();
    out << std::left << std::setw(last ? 0 : static_cast<int>(widths[i]) + 2) << text
        << (last ? "\n" : "");
  };
  for (std::size_t i = 0; i < columns.size(); ++i)
    print_cell(i, columns[i]);
  for (const auto& row : rows.children)
    for (std::size_t i = 0; i < columns.size(); ++i)
      print_cell(i, shown(row.find(columns[i])));
}

void print_members(std::ostream& out, const json_node& object) {
  for (std::size_t i = 0; i < object.names.size(); ++i) {
    const json_node& value = object.children[i];
    if (value.type != json_type::array && value.type != json_type::object)
      out << object.names[i] << ": " << shown(&value) << '\n';
  }
}

std::string text_member(const json_node& object, std::string_view name) {
  const auto* found = object.find(name);
  return found == nullptr || found->type != json_type::text ? "" : found->text;
}

std::int64_t number_member(const json_node& object, std::string_view name) {
  const auto* found = object.find(name);
  return found == nullptr || found->type != json_type::integer ? 0 : found->integer;
}

bool true_member(const json_node& object, std::string_view name) {
  const auto* found = object.find(name);
  return found != nullptr && found->type == json_type::boolean && found->boolean;
}

json_node problems_node(const std::vector<problem>& problems) {
  json_node list = json_node::array();
  for (const auto& one : problems)
    list.children.push_back(json_node::object()
                                .add("file", json_node::of(one.file))
                                .add("pointer", json_node::of(one.pointer))
                                .add("reason", json_node::of(one.reason))
                                .add("nearest", json_node::of(one.nearest)));
  return list;
}

} // namespace sedgechute::cli
