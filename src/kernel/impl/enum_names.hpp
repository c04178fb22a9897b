#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace sedgechute {

/// \brief Table of an enumeration's names. A specialisation has `static constexpr std::array
/// entries` of `std::pair<E, std::string_view>`.
///
/// ```cpp
/// enum class colour { red, green };
/// template <> struct enum_names<colour> {
///   static constexpr auto entries = enum_table<colour>({{colour::red, "red"}, ...});
/// };
/// ```
template <typename E>
struct enum_names;

template <typename E, std::size_t N>
[[nodiscard]] constexpr std::array<std::pair<E, std::string_view>, N>
enum_table(const std::pair<E, std::string_view> (&entries)[N]) {
  std::array<std::pair<E, std::string_view>, N> table{};
  for (std::size_t i = 0; i < N; ++i)
    table[i] = entries[i];
  return table;
}

/// \returns the value's name, or "?" for a value outside the table.
template <typename E>
[[nodiscard]] constexpr std::string_view name_of(E value) noexcept {
  for (const auto& [candidate, name] : enum_names<E>::entries)
    if (candidate == value)
      return name;
  return "?";
}

template <typename E>
[[nodiscard]] constexpr std::optional<E> value_named(std::string_view wanted) noexcept {
  for (const auto& [candidate, name] : enum_names<E>::entries)
    if (name == wanted)
      return candidate;
  return std::nullopt;
}

/// \brief Streams any enumeration that has a name table.
template <typename Stream, typename E>
requires requires {
  enum_names<E>::entries;
}
Stream& operator<<(Stream& out, E value) {
  out << name_of(value);
  return out;
}

} // namespace sedgechute
