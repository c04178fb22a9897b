#include "cli/impl/run.hpp"

#include "cli/impl/output.hpp"
#include "cli/impl/subcommand.hpp"

#include <iomanip>
#include <ostream>
#include <sstream>

namespace sedgechute::cli {
namespace {

constexpr std::size_t most_words = 2;
constexpr int name_width = 18;

struct match {
  std::string name;
  std::size_t words{0};
};

/// \returns the registered name made of the most leading words; empty when there is none
[[nodiscard]] match find_name(const std::vector<std::string>& words) {
  match best;
  std::string name;
  for (std::size_t i = 0; i < words.size() && i < most_words; ++i) {
    name += (i > 0 ? " " : "") + words[i];
    if (registry<subcommand>::make(name) != nullptr)
      best = {name, i + 1};
  }
  return best;
}

[[nodiscard]] std::string unknown_command(const std::vector<std::string>& words) {
  if (words.empty())
    return "no command given; see sedgechute --help";
  std::string given = words[0];
  if (words.size() > 1)
    given += " " + words[1];
  const std::string nearest = nearest_name(given, registry<subcommand>::names());
  return "unknown command \"" + given + "\"" +
         (nearest.empty() ? "" : " (did you mean \"" + nearest + "\"?)") +
         "; see sedgechute --help";
}

[[nodiscard]] std::string all_commands() {
  std::ostringstream text;
  text << "sedgechute: drives a fleet by its documents and tells what it did\n\n"
       << "usage: sedgechute COMMAND [ARGUMENTS] [--flags]\n\ncommands:\n";
  for (const auto& name : registry<subcommand>::names())
    text << "  " << std::left << std::setw(name_width) << name << ' '
         << registry<subcommand>::make(name)->brief << '\n';
  text << "\nSee sedgechute COMMAND --help for one command, --helpfull for all flags.\n"
       << "\nexit status:\n";
  for (const auto& [code, meaning] : enum_names<exit_code>::entries)
    text << "  " << static_cast<int>(code) << "  " << meaning << '\n';
  return text.str();
}

exit_code report(const std::string& message, exit_code code, const options& flags,
                 std::ostream& err) {
  if (flags.json)
    err << to_text(json_node::object()
                       .add("exit_status", json_node::of(static_cast<std::int64_t>(code)))
                       .add("message", json_node::of(message)))
        << '\n';
  else
    err << "sedgechute: " << message << '\n';
  return code;
}

} // namespace

exit_code run(const std::vector<std::string>& words, const options& flags, std::ostream& out,
              std::ostream& err) {
  const match found = find_name(words);
  if (found.words == 0)
    return report(unknown_command(words), exit_code::usage, flags, err);
  const std::vector<std::string> rest{words.begin() + static_cast<std::ptrdiff_t>(found.words),
                                      words.end()};
  try {
    return registry<subcommand>::make(found.name)->run({rest, flags, out, err});
  } catch (const failure& ended) {
    return report(ended.what(), ended.code(), flags, err);
  } catch (const std::exception& ended) {
    return report(ended.what(), exit_code::failed, flags, err);
  }
}

std::string help(const std::vector<std::string>& words) {
  const match found = find_name(words);
  if (found.words == 0)
    return all_commands();
  const auto command = registry<subcommand>::make(found.name);
  std::string text = "usage: sedgechute " + found.name +
                     (command->arguments.empty() ? "" : " " + command->arguments) + "\n\n" +
                     command->brief + "\n";
  if (!command->details.empty())
    text += "\n" + command->details + "\n";
  return text;
}

} // namespace sedgechute::cli
