#pragma once

#include "cli/impl/exit_code.hpp"
#include "cli/impl/options.hpp"

#include <functional>
#include <iosfwd>

namespace sedgechute::cli {

/// \brief One call of a subcommand.
struct invocation {
  std::vector<std::string> arguments; ///< the words after the subcommand's name
  const options& flags;
  std::ostream& out;
  std::ostream& err;

  /// \returns the argument at `index`
  /// \throws failure `usage` when it is missing
  [[nodiscard]] const std::string& argument(std::size_t index, std::string_view what) const;
};

/// \brief A subcommand; it registers itself under its words, such as "contract publish".
struct subcommand {
  std::string arguments; ///< as shown in its usage line
  std::string brief;
  std::string details; ///< further lines of its help; may be empty
  std::function<exit_code(const invocation&)> run;
};

/// \brief Adds a subcommand for the life of the program.
struct registered_subcommand {
  registered_subcommand(std::string words, const subcommand& command);
};

} // namespace sedgechute::cli
