#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sedgechute {

enum class json_type { null, boolean, integer, real, text, array, object };

template <>
struct enum_names<json_type> {
  static constexpr auto entries = enum_table<json_type>({{json_type::null, "null"},
                                                         {json_type::boolean, "boolean"},
                                                         {json_type::integer, "whole number"},
                                                         {json_type::real, "number"},
                                                         {json_type::text, "text"},
                                                         {json_type::array, "list"},
                                                         {json_type::object, "object"}});
};

/// \brief A parsed JSON value that keeps the order of keys and repeated keys, so that both can be
/// reported.
struct json_node {
  json_type type{json_type::null};
  bool boolean{false};
  std::int64_t integer{0};
  double real{0};
  std::string text;
  std::vector<std::string> names;  ///< of an object's children, in order
  std::vector<json_node> children; ///< of an array or object

  [[nodiscard]] static json_node of(bool value);
  [[nodiscard]] static json_node of(std::int64_t value);
  [[nodiscard]] static json_node of(double value);
  [[nodiscard]] static json_node of(std::string value);
  [[nodiscard]] static json_node array();
  [[nodiscard]] static json_node object();

  /// \brief Appends a member to an object.
  json_node& add(std::string name, json_node value);
  /// \returns the first member of that name, or null
  [[nodiscard]] const json_node* find(std::string_view name) const noexcept;

  bool operator==(const json_node&) const = default;
};

/// \brief The most a document may take: larger ones are refused before they are parsed.
inline constexpr std::size_t max_document_bytes = std::size_t{1} << 20U;
/// \brief The deepest nesting a document may have.
inline constexpr std::size_t max_document_depth = 16;

/// \brief How much text, nested how deep, is parsed.
struct json_bounds {
  std::size_t bytes{max_document_bytes};
  std::size_t depth{max_document_depth};
};

/// \brief Parses strict JSON.
/// \throws error `payload_too_large`, `bad_encoding` (not UTF-8) or `malformed_json`
[[nodiscard]] json_node parse_json(std::string_view text, json_bounds bounds = {});

/// \returns `text` with each byte that belongs to no UTF-8 character replaced by `?`
[[nodiscard]] std::string as_utf8(std::string_view text);

/// \returns compact JSON text on one line
[[nodiscard]] std::string to_text(const json_node& node);
/// \returns JSON text of one member a line
[[nodiscard]] std::string to_pretty_text(const json_node& node);

/// \returns `name` escaped for use in a JSON pointer
[[nodiscard]] std::string pointer_step(std::string_view name);

} // namespace sedgechute
