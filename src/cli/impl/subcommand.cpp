#include "cli/impl/subcommand.hpp"

namespace sedgechute::cli {

const std::string& invocation::argument(std::size_t index, std::string_view what) const {
  if (index >= arguments.size())
    throw failure{exit_code::usage, "missing " + std::string{what}};
  return arguments[index];
}

registered_subcommand::registered_subcommand(std::string words, const subcommand& command) {
  const registry<subcommand>::entry entry{
      std::move(words), [command] { return std::make_unique<subcommand>(command); }};
}

} // namespace sedgechute::cli
