#include "config/impl/json_node.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Handler.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSONString.h>
#include <Poco/NumberFormatter.h>
#include <Poco/UTF8Encoding.h>

#include <algorithm>
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

/// \returns bytes of the character at `at`; 0 when none is there
[[nodiscard]] std::size_t character_length(std::string_view text, std::size_t at) {
  const auto* bytes = reinterpret_cast<const unsigned char*>(text.data()) + at;
  const int length = Poco::UTF8Encoding{}.sequenceLength(bytes, 1);
  if (length < 1 || static_cast<std::size_t>(length) > text.size() - at)
    return 0;
  return Poco::UTF8Encoding::isLegal(bytes, length) ? static_cast<std::size_t>(length) : 0;
}

[[nodiscard]] bool is_utf8(std::string_view text) {
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t length = character_length(text, at);
    if (length == 0)
      return false;
    at += length;
  }
  return true;
}

// The parser refuses a whole number that 64 bits cannot hold, and with it a document that may hold
// one in a field of which nothing is known here. Written as a fraction it is read, if not exactly.
[[nodiscard]] std::string with_fractions(std::string_view text) {
  constexpr std::string_view number_bytes = "+-.0123456789Ee";
  constexpr std::size_t safe_digits = 18;
  std::string out;
  bool in_text = false;
  for (std::size_t at = 0; at < text.size();) {
    if (in_text || number_bytes.find(text[at]) == std::string_view::npos) {
      const std::size_t length = in_text && text[at] == '\\' ? 2 : 1;
      in_text = in_text != (text[at] == '"');
      out += text.substr(at, length);
      at += length;
      continue;
    }
    const std::string_view number = text.substr(at, text.find_first_not_of(number_bytes, at) - at);
    out += number;
    if (number.size() > safe_digits && number.find_first_of(".eE") == std::string_view::npos)
      out += ".0";
    at += number.size();
  }
  return out;
}

/// \throws Poco::Exception
[[nodiscard]] json_node parse_plain(const std::string& text, std::size_t depth) {
  Poco::SharedPtr<node_builder> builder{new node_builder};
  Poco::JSON::Parser parser{builder};
  parser.setDepth(depth);
  parser.parse(text);
  return builder->take();
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
  std::string plain{text};
  try {
    return parse_plain(plain, bounds.depth);
  } catch (const Poco::Exception& failure) {
    std::string widened = with_fractions(text);
    if (widened == plain)
      throw error{error_kind::malformed_json, "document", failure.displayText()};
    plain = std::move(widened);
  }
  try {
    return parse_plain(plain, bounds.depth);
  } catch (const Poco::Exception& failure) {
    throw error{error_kind::malformed_json, "document", failure.displayText()};
  }
}

std::string as_utf8(std::string_view text) {
  constexpr char replacement = '?';
  std::string out;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t length = character_length(text, at);
    if (length == 0)
      out += replacement;
    else
      out += text.substr(at, length);
    at += std::max<std::size_t>(length, 1);
  }
  return out;
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
