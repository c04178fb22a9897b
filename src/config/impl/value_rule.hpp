#pragma once

#include "config/impl/check_run.hpp"
#include "config/impl/json_node.hpp"

#include <algorithm>
#include <functional>
#include <limits>

namespace sedgechute {

struct field_info;

/// \brief What a reader of the documentation needs to know of a kind of value.
struct rule_info {
  std::string type;
  std::string unit;
  std::string range;
  std::vector<field_info> fields; ///< of an object, or of the objects in a list
};

/// \brief One row of a table of fields.
struct field_info {
  std::string name;
  std::string brief;
  bool required{false};
  std::string default_text; ///< JSON; empty for a required field
  rule_info rule;
};

/// \brief How a value is checked and read from JSON, written back, and described. Parsing,
/// checking, printing and the documentation all go by the same rules.
template <typename V>
struct value_rule {
  rule_info info;
  std::function<void(const json_node&, V&, check_run&)> read;
  std::function<json_node(const V&)> write;
};

/// \brief Notes a wrong type.
/// \returns whether the type is right
bool expect_type(const json_node& node, json_type wanted, check_run& run);

/// \brief Least and greatest value, both allowed.
struct integer_range {
  std::int64_t least{0};
  std::int64_t greatest{std::numeric_limits<std::int64_t>::max()};
};

/// \brief Least and greatest length in bytes, both allowed.
struct length_range {
  std::size_t least{0};
  std::size_t greatest{1024};
};

[[nodiscard]] value_rule<bool> boolean_rule();
[[nodiscard]] value_rule<std::int64_t> integer_rule(integer_range range, std::string unit = {});
[[nodiscard]] value_rule<time_ms> time_rule(integer_range range);
[[nodiscard]] value_rule<double> ratio_rule();
/// \brief Printable text.
[[nodiscard]] value_rule<std::string> text_rule(length_range range);
/// \brief Letters, digits and `._-/:@`, at most 64.
[[nodiscard]] value_rule<std::string> name_rule();
/// \brief An even number of lower-case hexadecimal digits.
[[nodiscard]] value_rule<std::string> hex_rule(length_range range);

/// \brief An identifier, written like a name.
template <typename Id>
[[nodiscard]] value_rule<Id> id_rule() {
  value_rule<std::string> inner = name_rule();
  return {inner.info,
          [read = inner.read](const json_node& node, Id& out, check_run& run) {
            std::string text;
            read(node, text, run);
            out = Id{std::move(text)};
          },
          [](const Id& value) { return json_node::of(value.str()); }};
}

/// \brief One of an enumeration's names.
template <typename E>
[[nodiscard]] value_rule<E> choice_rule() {
  std::vector<std::string> names;
  rule_info info{"choice", "", "", {}};
  for (const auto& [value, name] : enum_names<E>::entries) {
    names.emplace_back(name);
    info.range += (info.range.empty() ? "" : ", ") + std::string{name};
  }
  return {info,
          [names, range = info.range](const json_node& node, E& out, check_run& run) {
            if (!expect_type(node, json_type::text, run))
              return;
            if (const auto value = value_named<E>(node.text))
              out = *value;
            else
              run.fault("\"" + node.text + "\" is not one of " + range,
                        nearest_name(node.text, names));
          },
          [](const E& value) { return json_node::of(std::string{name_of(value)}); }};
}

/// \brief A list of at most `most` values, each by `inner`.
template <typename V>
[[nodiscard]] value_rule<std::vector<V>> list_rule(value_rule<V> inner, std::size_t most) {
  rule_info info{"list of " + inner.info.type, inner.info.unit, "at most " + std::to_string(most),
                 inner.info.fields};
  if (!inner.info.range.empty())
    info.range += ", each " + inner.info.range;
  return {info,
          [read = inner.read, most](const json_node& node, std::vector<V>& out, check_run& run) {
            if (!expect_type(node, json_type::array, run))
              return;
            if (node.children.size() > most) {
              run.fault(std::to_string(node.children.size()) + " entries, at most " +
                        std::to_string(most) + " are allowed");
              return;
            }
            out.assign(node.children.size(), V{});
            for (std::size_t i = 0; i < node.children.size(); ++i) {
              const check_run::step element{run, i};
              read(node.children[i], out[i], run);
            }
          },
          [write = inner.write](const std::vector<V>& values) {
            json_node list = json_node::array();
            for (const auto& value : values)
              list.children.push_back(write(value));
            return list;
          }};
}

/// \brief Notes every entry whose key an earlier entry has.
/// \param pointer the list's pointer relative to the present place, such as "/keys"
/// \param key     function from an entry to a comparable text
template <typename V, typename Key>
void check_no_repeats(const std::vector<V>& list, std::string_view pointer, std::string_view what,
                      Key key, check_run& run) {
  std::vector<std::string> seen;
  for (std::size_t i = 0; i < list.size(); ++i) {
    std::string text = key(list[i]);
    const auto first = std::find(seen.begin(), seen.end(), text);
    if (first != seen.end())
      run.fault_at(std::string{pointer} + "/" + std::to_string(i),
                   std::string{what} + " \"" + text + "\" stands already at entry " +
                       std::to_string(first - seen.begin()));
    seen.push_back(std::move(text));
  }
}

} // namespace sedgechute
