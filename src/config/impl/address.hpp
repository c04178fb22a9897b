#pragma once

#include "config/impl/value_rule.hpp"

#include <optional>

namespace sedgechute {

/// \brief An IP number and port. Names are not resolved: the fleet talks by IP numbers.
struct address {
  std::string ip;
  std::uint16_t port{0};

  [[nodiscard]] bool empty() const noexcept { return ip.empty(); }
  /// \returns `IP:port`, with brackets around an IPv6 number
  [[nodiscard]] std::string str() const;
  /// \returns nothing when `text` is not an IP number and a port of 1 or more
  [[nodiscard]] static std::optional<address> parse(std::string_view text);

  auto operator<=>(const address&) const = default;
  friend std::ostream& operator<<(std::ostream& out, const address& a) { return out << a.str(); }
};

[[nodiscard]] value_rule<address> address_rule();

} // namespace sedgechute
