#include "config/impl/document_diff.hpp"

#include <algorithm>

namespace sedgechute {
namespace {

/// \returns by what an entry of a list is recognised in the other document
[[nodiscard]] std::string label_of(const json_node& entry) {
  for (const char* key : {"id", "name"})
    if (const auto* found = entry.find(key); found != nullptr && found->type == json_type::text)
      return found->text;
  return entry.type == json_type::text ? entry.text : to_text(entry);
}

[[nodiscard]] std::vector<std::string> labels_of(const json_node& node) {
  if (node.type == json_type::object)
    return node.names;
  std::vector<std::string> labels;
  for (const auto& child : node.children)
    labels.push_back(label_of(child));
  return labels;
}

void compare(const std::string& pointer, const json_node* before, const json_node* after,
             std::vector<difference>& found);

[[nodiscard]] const json_node*
child_at(const json_node& node, const std::vector<std::string>& labels, const std::string& label) {
  const auto place = std::find(labels.begin(), labels.end(), label);
  return place == labels.end() ? nullptr : &node.children[place - labels.begin()];
}

void compare_children(const std::string& pointer, const json_node& before, const json_node& after,
                      std::vector<difference>& found) {
  const auto old_labels = labels_of(before);
  const auto new_labels = labels_of(after);
  for (std::size_t i = 0; i < old_labels.size(); ++i)
    compare(pointer + "/" + pointer_step(old_labels[i]), &before.children[i],
            child_at(after, new_labels, old_labels[i]), found);
  for (std::size_t i = 0; i < new_labels.size(); ++i)
    if (child_at(before, old_labels, new_labels[i]) == nullptr)
      compare(pointer + "/" + pointer_step(new_labels[i]), nullptr, &after.children[i], found);
}

void compare(const std::string& pointer, const json_node* before, const json_node* after,
             std::vector<difference>& found) {
  const bool both = before != nullptr && after != nullptr;
  if (both && *before == *after)
    return;
  const bool nested = both && before->type == after->type &&
                      (before->type == json_type::object || before->type == json_type::array);
  if (nested)
    compare_children(pointer, *before, *after, found);
  else
    found.push_back({pointer, before == nullptr ? "" : to_text(*before),
                     after == nullptr ? "" : to_text(*after)});
}

} // namespace

std::vector<difference> diff_documents(const json_node& before, const json_node& after) {
  std::vector<difference> found;
  compare("", &before, &after, found);
  return found;
}

} // namespace sedgechute
