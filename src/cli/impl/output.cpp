#include "cli/impl/output.hpp"

#include <algorithm>
#include <array>
#include <iomanip>

namespace sedgechute::cli {
namespace {

/// Columns come in this order and others after them, for hosts may list members in any order.
constexpr std::array<std::string_view, 24> usual_order{
    "name",        "value",  "host",  "seq",  "at_ms",    "offset",   "epoch",   "holder",
    "data_centre", "state",  "ready", "team", "class",    "verdict",  "tokens",  "spent",
    "outstanding", "opened", "stage", "ms",   "endpoint", "revision", "address", "meaning"};

[[nodiscard]] std::size_t usual_place(const std::string& column) {
  const auto found = std::find(usual_order.begin(), usual_order.end(), column);
  return static_cast<std::size_t>(found - usual_order.begin());
}

} // namespace

std::vector<std::string> columns_of(const json_node& rows) {
  std::vector<std::string> columns;
  for (const auto& row : rows.children)
    for (const auto& name : row.names)
      if (std::find(columns.begin(), columns.end(), name) == columns.end())
        columns.push_back(name);
  std::stable_sort(columns.begin(), columns.end(),
                   [](const auto& a, const auto& b) { return usual_place(a) < usual_place(b); });
  return columns;
}

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
    const bool plain = value.type != json_type::array && value.type != json_type::object;
    if (plain && !shown(&value).empty())
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
