#include "config/impl/json_node.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Handler.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSONString.h>
#include <Poco/NumberFormatter.h>
#include <Poco/UTF8Encoding.h>

#include <limits>

namespace sedgechute {
namespace {

/// Builds nodes from the parser's events. Poco's own handler would keep only the last of two equal
/// keys, and a contract with two "limits" would silently mean the second.
class node_builder final : public Poco::JSON::Handler {
 public:
  void reset() override { open_.clear(); }
  void startObject() override { open_.push_back(json_node::object()); }
  void endObject() override { close(); }
  void startArray() override { open_.push_back(json_node::array()); }
  void endArray() override { close(); }
  void key(const std::string& name) override { open_.back().names.push_back(name); }
  void null() override { place(json_node{}); }
  void value(int v) override { place(json_node::of(std::int64_t{v})); }
  void value(unsigned v) override { place(json_node::of(std::int64_t{v})); }
  void value(Poco::Int64 v) override { place(json_node::of(std::int64_t{v})); }
  void value(Poco::UInt64 v) override { place(json_node::of(static_cast<double>(v))); }
  void value(const std::string& v) override { place(json_node::of(v)); }
  void value(double v) override { place(json_node::of(v)); }
  void value(bool v) override { place(json_node::of(v)); }

  [[nodiscard]] json_node take() { return std::move(root_); }

 private:
  void close() {
    json_node done = std::move(open_.back());
    open_.pop_back();
    place(std::move(done));
  }

  void place(json_node node) {
    if (open_.empty())
      root_ = std::move(node);
    else
      open_.back().children.push_back(std::move(node));
  }

  std::vector<json_node> open_;
  json_node root_;
};

[[nodiscard]] bool is_utf8(std::string_view text) {
  const auto* bytes = reinterpret_cast<const unsigned char*>(text.data());
  const Poco::UTF8Encoding encoding;
  std::size_t at = 0;
  while (at < text.size()) {
    const auto left = text.size() - at;
    const int length = encoding.sequenceLength(bytes + at, 1);
    if (length < 1 || static_cast<std::size_t>(length) > left)
      return false;
    if (!Poco::UTF8Encoding::isLegal(bytes + at, length))
      return false;
    at += static_cast<std::size_t>(length);
  }
  return true;
}

void append_text(std::string& out, const json_node& node, int indent);

void append_line_break(std::string& out, int indent) {
  if (indent < 0)
    return;
  out += '\n';
  out.append(static_cast<std::size_t>(indent) * 2, ' ');
}

void append_children(std::string& out, const json_node& node, int indent) {
  const int inner = indent < 0 ? indent : indent + 1;
  for (std::size_t i = 0; i < node.children.size(); ++i) {
    if (i > 0)
      out += ',';
    append_line_break(out, inner);
    if (node.type == json_type::object) {
      out += Poco::toJSON(node.names[i]);
      out += indent < 0 ? ":" : ": ";
    }
    append_text(out, node.children[i], inner);
  }
  if (!node.children.empty())
    append_line_break(out, indent);
}

void append_text(std::string& out, const json_node& node, int indent) {
  switch (node.type) {
  case json_type::null:
    out += "null";
    return;
  case json_type::boolean:
    out += node.boolean ? "true" : "false";
    return;
  case json_type::integer:
    out += std::to_string(node.integer);
    return;
  case json_type::real:
    out += Poco::NumberFormatter::format(node.real);
    return;
  case json_type::text:
    out += Poco::toJSON(node.text);
    return;
  case json_type::array:
    out += '[';
    append_children(out, node, indent);
    out += ']';
    return;
  case json_type::object:
    out += '{';
    append_children(out, node, indent);
    out += '}';
    return;
  }
}

} // namespace

json_node json_node::of(bool value) {
  json_node node;
  node.type = json_type::boolean;
  node.boolean = value;
  return node;
}

json_node json_node::of(std::int64_t value) {
  json_node node;
  node.type = json_type::integer;
  node.integer = value;
  return node;
}

json_node json_node::of(double value) {
  json_node node;
  node.type = json_type::real;
  node.real = value;
  return node;
}

json_node json_node::of(std::string value) {
  json_node node;
  node.type = json_type::text;
  node.text = std::move(value);
  return node;
}

json_node json_node::array() {
  json_node node;
  node.type = json_type::array;
  return node;
}

json_node json_node::object() {
  json_node node;
  node.type = json_type::object;
  return node;
}

json_node& json_node::add(std::string name, json_node value) {
  names.push_back(std::move(name));
  children.push_back(std::move(value));
  return *this;
}

const json_node* json_node::find(std::string_view name) const noexcept {
  for (std::size_t i = 0; i < names.size(); ++i)
    if (names[i] == name)
      return &children[i];
  return nullptr;
}

json_node parse_json(std::string_view text, json_bounds bounds) {
  if (text.size() > bounds.bytes)
    throw error{error_kind::payload_too_large, "document",
                std::to_string(text.size()) + " bytes, at most " + std::to_string(bounds.bytes) +
                    " are read"};
  if (!is_utf8(text))
    throw error{error_kind::bad_encoding, "document", "not valid UTF-8"};
  if (text.find_first_not_of(" \t\r\n") == std::string_view::npos)
    throw error{error_kind::malformed_json, "document", "empty"};
  Poco::SharedPtr<node_builder> builder{new node_builder};
  Poco::JSON::Parser parser{builder};
  parser.setDepth(bounds.depth);
  try {
    parser.parse(std::string{text});
  } catch (const Poco::Exception& failure) {
    throw error{error_kind::malformed_json, "document", failure.displayText()};
  }
  return builder->take();
}

std::string to_text(const json_node& node) {
  std::string out;
  append_text(out, node, -1);
  return out;
}

std::string to_pretty_text(const json_node& node) {
  std::string out;
  append_text(out, node, 0);
  out += '\n';
  return out;
}

std::string pointer_step(std::string_view name) {
  std::string step;
  for (const char c : name) {
    if (c == '~')
      step += "~0";
    else if (c == '/')
      step += "~1";
    else
      step += c;
  }
  return step;
}

} // namespace sedgechute
