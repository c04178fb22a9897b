#pragma once

#include "kernel/kernel.hpp"

#include <stdexcept>
#include <string>

namespace sedgechute::cli {

/// \brief What the program's exit status says; scripts rely on the numbers.
enum class exit_code {
  ok = 0,
  usage = 1,       ///< unknown command, missing argument, unknown flag
  faulty = 2,      ///< the document is faulty or void
  conflict = 3,    ///< another change was first
  pending = 4,     ///< not known, or not in force everywhere, within the timeout
  unreachable = 5, ///< no host answered
  refused = 6,     ///< the key is missing or doesn't allow it
  not_found = 7,   ///< no such document, team, request or host
  log_down = 8,    ///< the log can't be reached; nothing can be published
  failed = 9,      ///< any other error
};

/// \brief Ends a subcommand with a message and an exit status.
class failure : public std::runtime_error {
 public:
  failure(exit_code code, const std::string& message) : std::runtime_error{message}, code_{code} {}

  [[nodiscard]] exit_code code() const noexcept { return code_; }

 private:
  exit_code code_;
};

} // namespace sedgechute::cli

template <>
struct sedgechute::enum_names<sedgechute::cli::exit_code> {
  using code = cli::exit_code;
  static constexpr auto entries = enum_table<code>({{code::ok, "done"},
                                                    {code::usage, "wrong usage"},
                                                    {code::faulty, "faulty or void document"},
                                                    {code::conflict, "another change was first"},
                                                    {code::pending, "not done within the timeout"},
                                                    {code::unreachable, "no host answered"},
                                                    {code::refused, "key missing or not allowed"},
                                                    {code::not_found, "not found"},
                                                    {code::log_down, "log out of reach"},
                                                    {code::failed, "any other error"}});
};
