#pragma once

#include "config/impl/value_rule.hpp"

#include <utility>

namespace sedgechute {

/// \brief One field of an object of type T.
template <typename T>
struct field {
  field_info info;
  std::function<void(const json_node&, T&, check_run&)> read;
  std::function<json_node(const T&)> write;
};

enum class presence { optional, required };

/// \brief A field held in a member of T.
template <typename T, typename V>
[[nodiscard]] field<T> make_field(std::string name, V T::*member, value_rule<V> rule,
                                  std::string brief, presence needed = presence::optional) {
  field<T> made;
  made.info = {std::move(name), std::move(brief), needed == presence::required, "", rule.info};
  if (needed == presence::optional && rule.info.type != "object")
    made.info.default_text = to_text(rule.write(T{}.*member));
  made.read = [member, read = rule.read](const json_node& node, T& out, check_run& run) {
    read(node, out.*member, run);
  };
  made.write = [member, write = rule.write](const T& value) { return write(value.*member); };
  return made;
}

/// \brief The table of an object's fields: the one place that says how a T looks in JSON.
template <typename T>
class object_table {
 public:
  /// \brief Checks what concerns several fields; runs only on an object whose fields are all good.
  using whole_check = std::function<void(const T&, check_run&)>;

  explicit object_table(std::vector<field<T>> fields, whole_check whole = {})
      : fields_{std::move(fields)}, whole_{std::move(whole)} {}

  void read(const json_node& node, T& out, check_run& run) const {
    if (!expect_type(node, json_type::object, run))
      return;
    const std::size_t before = run.problems().size();
    check_names(node, run);
    for (const auto& one : fields_)
      read_field(one, node, out, run);
    if (whole_ && run.problems().size() == before)
      whole_(out, run);
  }

  [[nodiscard]] json_node write(const T& value) const {
    json_node object = json_node::object();
    for (const auto& one : fields_)
      object.add(one.info.name, one.write(value));
    return object;
  }

  [[nodiscard]] std::vector<field_info> info() const {
    std::vector<field_info> all;
    for (const auto& one : fields_)
      all.push_back(one.info);
    return all;
  }

 private:
  void check_names(const json_node& node, check_run& run) const {
    std::vector<std::string> known;
    for (const auto& one : fields_)
      known.push_back(one.info.name);
    for (std::size_t i = 0; i < node.names.size(); ++i) {
      const auto& name = node.names[i];
      const check_run::step member{run, name};
      if (std::find(known.begin(), known.end(), name) == known.end())
        run.fault("unknown key", nearest_name(name, known));
      if (node.find(name) != &node.children[i])
        run.fault("duplicate key");
    }
  }

  static void read_field(const field<T>& one, const json_node& node, T& out, check_run& run) {
    const check_run::step member{run, one.info.name};
    if (const json_node* found = node.find(one.info.name))
      one.read(*found, out, run);
    else if (one.info.required)
      run.fault("is missing");
  }

  std::vector<field<T>> fields_;
  whole_check whole_;
};

/// \brief A nested object by its own table, which must outlive the rule.
template <typename T>
[[nodiscard]] value_rule<T> object_rule(const object_table<T>& table) {
  return {{"object", "", "", table.info()},
          [&table](const json_node& node, T& out, check_run& run) { table.read(node, out, run); },
          [&table](const T& value) { return table.write(value); }};
}

} // namespace sedgechute
