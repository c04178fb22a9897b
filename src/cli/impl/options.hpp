#pragma once

#include "config/config.hpp"

#include <optional>
#include <string>
#include <vector>

namespace sedgechute::cli {

/// \brief What the flags say.
struct options {
  std::vector<address> hosts;  ///< admin addresses, tried in this order
  std::string key;             ///< operator key
  std::string authorities;     ///< PEM file; not empty means TLS
  std::string certificate;     ///< PEM file; shown to hosts that ask for one
  std::string certificate_key; ///< PEM file of its private key
  bool json{false};            ///< one line of JSON instead of text
  bool wait{false};            ///< publish: until in force everywhere
  time_ms timeout{10000};      ///< for an answer, and for --wait
  time_ms poll{200};           ///< between two looks while waiting
  std::optional<std::uint64_t> replaces;
  std::string record_id;
  std::uint64_t revision{0};
  std::uint64_t epoch{0};
  std::string reason;
  std::string team;
  std::string html; ///< file to write a page to
  std::string id;
  std::uint64_t after{0};
  std::int64_t max{100};
  bool follow{false};
};

} // namespace sedgechute::cli
