#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sedgechute {

struct header_field {
  std::string name;
  std::string value;
};

/// \brief Header fields in the order of arrival; names are compared without case.
class header_fields {
 public:
  /// \returns the value of the first field `name`, or null
  [[nodiscard]] const std::string* find(std::string_view name) const noexcept;
  [[nodiscard]] bool has(std::string_view name) const noexcept { return find(name) != nullptr; }
  /// \returns the number of fields `name`
  [[nodiscard]] std::size_t count(std::string_view name) const noexcept;
  /// \returns the value as an unsigned integer; nothing when absent or not a number
  [[nodiscard]] std::optional<std::uint64_t> number(std::string_view name) const noexcept;

  void add(std::string name, std::string value);
  /// \brief Replaces every field `name` by one.
  void set(std::string_view name, std::string value);
  void remove(std::string_view name);
  /// \brief Removes hop-by-hop fields, including those listed in `Connection`.
  void remove_hop_by_hop();

  [[nodiscard]] const std::vector<header_field>& all() const noexcept { return fields_; }

 private:
  std::vector<header_field> fields_;
};

struct request_head {
  std::string method;
  std::string target; ///< path and query, unchanged
  header_fields fields;

  [[nodiscard]] std::string_view path() const noexcept;
};

struct response_head {
  int status{};
  std::string reason;
  bool old_version{false}; ///< HTTP/1.0
  header_fields fields;
};

/// \brief Parses a header that `check_request_header` has accepted.
[[nodiscard]] request_head parse_request_head(std::string_view text);

/// \returns nothing when `text` is not a valid response header
[[nodiscard]] std::optional<response_head> parse_response_head(std::string_view text);

[[nodiscard]] std::string to_text(const request_head& head);
[[nodiscard]] std::string to_text(const response_head& head);

/// \returns whether two texts are equal, ignoring the case of ASCII letters
[[nodiscard]] bool equal_without_case(std::string_view a, std::string_view b) noexcept;

/// \returns `text` as an unsigned integer; nothing when it is not one
[[nodiscard]] std::optional<std::uint64_t> parse_number(std::string_view text) noexcept;

} // namespace sedgechute
