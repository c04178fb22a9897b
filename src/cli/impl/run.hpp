#pragma once

#include "cli/impl/exit_code.hpp"
#include "cli/impl/options.hpp"

#include <iosfwd>

namespace sedgechute::cli {

/// \brief Finds the subcommand that `words` begin with and runs it; its failures are written to
/// `err`, with `--json` as an object.
[[nodiscard]] exit_code run(const std::vector<std::string>& words, const options& flags,
                            std::ostream& out, std::ostream& err);

/// \returns help for the subcommand that `words` begin with, or the list of all
[[nodiscard]] std::string help(const std::vector<std::string>& words);

} // namespace sedgechute::cli
