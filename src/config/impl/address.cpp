#include "config/impl/address.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace sedgechute {
namespace {

[[nodiscard]] bool is_number_of(int family, const std::string& ip) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(family, ip.c_str(), bytes.data()) == 1;
}

} // namespace

std::string address::str() const {
  if (ip.empty())
    return {};
  const bool six = ip.find(':') != std::string::npos;
  return (six ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

std::optional<address> address::parse(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  const std::string_view digits = text.substr(colon + 1);
  std::string_view ip = text.substr(0, colon);
  address parsed;
  const auto [end, failure] =
      std::from_chars(digits.data(), digits.data() + digits.size(), parsed.port);
  if (failure != std::errc{} || end != digits.data() + digits.size() || parsed.port == 0)
    return std::nullopt;
  const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (bracketed)
    ip = ip.substr(1, ip.size() - 2);
  parsed.ip = std::string{ip};
  if (!is_number_of(bracketed ? AF_INET6 : AF_INET, parsed.ip))
    return std::nullopt;
  return parsed;
}

value_rule<address> address_rule() {
  return {{"address", "", "IP:port", {}},
          [](const json_node& node, address& out, check_run& run) {
            if (!expect_type(node, json_type::text, run))
              return;
            if (const auto parsed = address::parse(node.text))
              out = *parsed;
            else
              run.fault("\"" + node.text + "\" is not IP:port, for example 10.0.0.7:8101");
          },
          [](const address& value) { return json_node::of(value.str()); }};
}

} // namespace sedgechute
