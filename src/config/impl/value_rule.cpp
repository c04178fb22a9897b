#include "config/impl/value_rule.hpp"

#include <cmath>

namespace sedgechute {
namespace {

constexpr std::size_t longest_name = 64;
constexpr std::string_view name_punctuation = "._-/:@";

[[nodiscard]] bool is_letter_or_digit(char c) noexcept {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

[[nodiscard]] bool is_name_character(char c) noexcept {
  return is_letter_or_digit(c) || name_punctuation.find(c) != std::string_view::npos;
}

[[nodiscard]] bool is_control_character(char c) noexcept {
  return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
}

[[nodiscard]] bool is_hex_digit(char c) noexcept {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

[[nodiscard]] std::string range_text(integer_range range) {
  if (range.greatest == std::numeric_limits<std::int64_t>::max())
    return std::to_string(range.least) + " or more";
  return std::to_string(range.least) + " to " + std::to_string(range.greatest);
}

[[nodiscard]] std::string range_text(length_range range) {
  return std::to_string(range.least) + " to " + std::to_string(range.greatest) + " bytes";
}

[[nodiscard]] bool expect_length(const std::string& text, length_range range, check_run& run) {
  if (text.size() >= range.least && text.size() <= range.greatest)
    return true;
  run.fault(std::to_string(text.size()) + " bytes long, must have " + range_text(range));
  return false;
}

[[nodiscard]] json_node text_node(const std::string& value) {
  return json_node::of(value);
}

} // namespace

bool expect_type(const json_node& node, json_type wanted, check_run& run) {
  if (node.type == wanted)
    return true;
  run.fault("must be a " + std::string{name_of(wanted)} + ", is a " +
            std::string{name_of(node.type)});
  return false;
}

value_rule<bool> boolean_rule() {
  return {{"boolean", "", "true, false", {}},
          [](const json_node& node, bool& out, check_run& run) {
            if (expect_type(node, json_type::boolean, run))
              out = node.boolean;
          },
          [](const bool& value) { return json_node::of(value); }};
}

value_rule<std::int64_t> integer_rule(integer_range range, std::string unit) {
  return {{"whole number", std::move(unit), range_text(range), {}},
          [range](const json_node& node, std::int64_t& out, check_run& run) {
            if (!expect_type(node, json_type::integer, run))
              return;
            if (node.integer < range.least || node.integer > range.greatest)
              run.fault(std::to_string(node.integer) + " is out of range, must be " +
                        range_text(range));
            else
              out = node.integer;
          },
          [](const std::int64_t& value) { return json_node::of(value); }};
}

value_rule<time_ms> time_rule(integer_range range) {
  value_rule<std::int64_t> inner = integer_rule(range, "ms");
  return {inner.info,
          [read = inner.read](const json_node& node, time_ms& out, check_run& run) {
            std::int64_t count = out.count();
            read(node, count, run);
            out = time_ms{count};
          },
          [](const time_ms& value) { return json_node::of(value.count()); }};
}

value_rule<double> ratio_rule() {
  return {{"number", "", "0 to 1", {}},
          [](const json_node& node, double& out, check_run& run) {
            const bool whole = node.type == json_type::integer;
            if (!whole && !expect_type(node, json_type::real, run))
              return;
            const double value = whole ? static_cast<double>(node.integer) : node.real;
            // Written so that a NaN fails too.
            if (!(value >= 0.0 && value <= 1.0))
              run.fault("out of range, must be 0 to 1");
            else
              out = value;
          },
          [](const double& value) { return json_node::of(value); }};
}

value_rule<std::string> text_rule(length_range range) {
  return {{"text", "", range_text(range), {}},
          [range](const json_node& node, std::string& out, check_run& run) {
            if (!expect_type(node, json_type::text, run) || !expect_length(node.text, range, run))
              return;
            if (std::any_of(node.text.begin(), node.text.end(), is_control_character))
              run.fault("has a control character");
            else
              out = node.text;
          },
          text_node};
}

value_rule<std::string> name_rule() {
  const length_range range{1, longest_name};
  return {{"name", "", "1 to 64 letters, digits and ._-/:@", {}},
          [range](const json_node& node, std::string& out, check_run& run) {
            if (!expect_type(node, json_type::text, run) || !expect_length(node.text, range, run))
              return;
            if (!std::all_of(node.text.begin(), node.text.end(), is_name_character))
              run.fault("a name has only letters, digits and ._-/:@");
            else
              out = node.text;
          },
          text_node};
}

value_rule<std::string> hex_rule(length_range range) {
  return {{"hexadecimal text", "", range_text(range), {}},
          [range](const json_node& node, std::string& out, check_run& run) {
            if (!expect_type(node, json_type::text, run) || !expect_length(node.text, range, run))
              return;
            if (node.text.size() % 2 != 0 ||
                !std::all_of(node.text.begin(), node.text.end(), is_hex_digit))
              run.fault("must be pairs of the digits 0-9 and a-f");
            else
              out = node.text;
          },
          text_node};
}

} // namespace sedgechute
