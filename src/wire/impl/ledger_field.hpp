#pragma once

#include "wire/impl/ledger_codec.hpp"

#include <string>

namespace sedgechute::ledger_field {

/// \brief Checks of single fields; each throws an error of `kind` that names the field.
class checker {
 public:
  checker(error_kind kind, const char* where) noexcept : kind_{kind}, where_{where} {}

  [[noreturn]] void reject(const char* field, const char* why) const {
    throw error{kind_, std::string{where_} + '.' + field, why};
  }
  [[nodiscard]] const std::string& name(const std::string& text, const char* field) const {
    if (text.empty())
      reject(field, "missing");
    if (text.size() > max_ledger_name)
      reject(field, "longer than any name");
    return text;
  }
  [[nodiscard]] ledger::token_count tokens(ledger::token_count count, const char* field) const {
    if (count < 0 || count > max_ledger_tokens)
      reject(field, "not an amount of tokens");
    return count;
  }
  [[nodiscard]] incarnation host(const wire::ledger_host& given, const char* field) const {
    return {host_id{name(given.name(), field)}, given.incarnation()};
  }
  /// \returns the enumerator for a wire value; the wire begins with an
  /// unset value.
  template <typename E>
  [[nodiscard]] E enumerator(int value, const char* field) const {
    const auto result = static_cast<E>(value - 1);
    if (value <= 0 || name_of(result) == "?")
      reject(field, "unknown value");
    return result;
  }

 private:
  error_kind kind_;
  const char* where_;
};

/// \returns the wire's value of an enumerator: one more, because 0 is unset.
template <typename W, typename E>
[[nodiscard]] W to_wire_enum(E value) noexcept {
  return static_cast<W>(static_cast<int>(value) + 1);
}

inline void set_host(wire::ledger_host& out, const incarnation& host) {
  out.set_name(host.host.str());
  out.set_incarnation(host.number);
}

} // namespace sedgechute::ledger_field
