#include "cli/cli.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::vector<std::string>, host, {},
          "admin address IP:PORT of a host; give it several times, the next one is tried when one "
          "does not answer");
ABSL_FLAG(std::string, key, "",
          "operator key; better in the environment variable SEDGECHUTE_KEY or with --key_file, "
          "for others can see a command line");
ABSL_FLAG(std::string, key_file, "", "file with the operator key");
ABSL_FLAG(std::string, tls_authorities, "", "PEM file of authorities; use TLS");
ABSL_FLAG(std::string, tls_certificate, "",
          "PEM file of your certificate, for hosts that ask for one");
ABSL_FLAG(std::string, tls_key, "", "PEM file of its private key");
ABSL_FLAG(bool, json, false, "one line of JSON instead of text");
ABSL_FLAG(bool, wait, false, "publish: wait until it is in force on every host");
ABSL_FLAG(std::int64_t, timeout_ms, 10000, "longest wait for an answer, and for --wait");
ABSL_FLAG(std::int64_t, replaces, -1, "publish: the revision that the file replaces");
ABSL_FLAG(std::string, record_id, "", "publish: the record id to repeat");
ABSL_FLAG(std::uint64_t, revision, 0, "wait: the revision; 0 for the one in force");
ABSL_FLAG(std::uint64_t, epoch, 0, "budget release: the epoch to release");
ABSL_FLAG(std::string, reason, "", "budget release: why, for the record");
ABSL_FLAG(std::string, team, "", "request show, report burn: the team");
ABSL_FLAG(std::string, html, "", "report burn: file to write the page to");
ABSL_FLAG(std::string, id, "", "key new: key id; drawn when empty");
ABSL_FLAG(std::uint64_t, after, 0, "events: the number to start after");
ABSL_FLAG(std::int64_t, max, 100, "events, history: most entries");
ABSL_FLAG(bool, follow, false, "events: go on");

namespace {

using namespace sedgechute;

constexpr std::string_view host_flag = "--host";

/// Abseil lets the last of several equal flags win, so all `--host` are joined into one.
[[nodiscard]] std::vector<std::string> join_hosts(const std::vector<std::string>& words) {
  std::vector<std::string> joined;
  std::string hosts;
  for (std::size_t i = 0; i < words.size(); ++i) {
    const std::string& word = words[i];
    const std::string assigned = std::string{host_flag} + "=";
    std::string value;
    if (word.compare(0, assigned.size(), assigned) == 0)
      value = word.substr(assigned.size());
    else if (word == host_flag && i + 1 < words.size())
      value = words[++i];
    else
      joined.push_back(word);
    if (!value.empty())
      hosts += (hosts.empty() ? "" : ",") + value;
  }
  if (!hosts.empty())
    joined.push_back(std::string{host_flag} + "=" + hosts);
  return joined;
}

[[nodiscard]] std::string read_key() {
  if (!absl::GetFlag(FLAGS_key).empty())
    return absl::GetFlag(FLAGS_key);
  std::string key;
  if (!absl::GetFlag(FLAGS_key_file).empty()) {
    std::ifstream file{absl::GetFlag(FLAGS_key_file)};
    if (!(file >> key))
      throw cli::failure{cli::exit_code::usage, absl::GetFlag(FLAGS_key_file) + ": has no key"};
    return key;
  }
  const char* from_environment = std::getenv("SEDGECHUTE_KEY");
  return from_environment == nullptr ? "" : from_environment;
}

[[nodiscard]] cli::options read_flags() {
  cli::options flags;
  for (const auto& text : absl::GetFlag(FLAGS_host)) {
    const auto host = address::parse(text);
    if (!host)
      throw cli::failure{cli::exit_code::usage, "--host " + text + " is not IP:PORT"};
    flags.hosts.push_back(*host);
  }
  flags.key = read_key();
  flags.authorities = absl::GetFlag(FLAGS_tls_authorities);
  flags.certificate = absl::GetFlag(FLAGS_tls_certificate);
  flags.certificate_key = absl::GetFlag(FLAGS_tls_key);
  if (flags.certificate.empty() != flags.certificate_key.empty())
    throw cli::failure{cli::exit_code::usage, "--tls_certificate and --tls_key go together"};
  if (!flags.certificate.empty() && flags.authorities.empty())
    throw cli::failure{cli::exit_code::usage, "--tls_certificate needs --tls_authorities"};
  flags.json = absl::GetFlag(FLAGS_json);
  flags.wait = absl::GetFlag(FLAGS_wait);
  flags.timeout = time_ms{absl::GetFlag(FLAGS_timeout_ms)};
  if (absl::GetFlag(FLAGS_replaces) >= 0)
    flags.replaces = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_replaces));
  flags.record_id = absl::GetFlag(FLAGS_record_id);
  flags.revision = absl::GetFlag(FLAGS_revision);
  flags.epoch = absl::GetFlag(FLAGS_epoch);
  flags.reason = absl::GetFlag(FLAGS_reason);
  flags.team = absl::GetFlag(FLAGS_team);
  flags.html = absl::GetFlag(FLAGS_html);
  flags.id = absl::GetFlag(FLAGS_id);
  flags.after = absl::GetFlag(FLAGS_after);
  flags.max = absl::GetFlag(FLAGS_max);
  flags.follow = absl::GetFlag(FLAGS_follow);
  return flags;
}

/// \returns the words that are no flags, if help is asked for
[[nodiscard]] std::optional<std::vector<std::string>>
help_words(const std::vector<std::string>& words) {
  bool asked = words.size() <= 1;
  std::vector<std::string> plain;
  for (std::size_t i = 1; i < words.size(); ++i) {
    asked = asked || words[i] == "--help" || words[i] == "-h" || words[i] == "help";
    if (words[i][0] != '-' && words[i] != "help")
      plain.push_back(words[i]);
  }
  return asked ? std::optional{plain} : std::nullopt;
}

[[nodiscard]] std::vector<std::string> parse_flags(std::vector<std::string> words) {
  std::vector<char*> pointers;
  for (auto& word : words)
    pointers.push_back(word.data());
  const auto rest = absl::ParseCommandLine(static_cast<int>(pointers.size()), pointers.data());
  return {rest.begin() + 1, rest.end()};
}

} // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> words = join_hosts({argv, argv + argc});
  if (const auto asked = help_words(words)) {
    std::cout << cli::help(*asked);
    return 0;
  }
  absl::SetProgramUsageMessage("sedgechute COMMAND [ARGUMENTS] [--flags]");
  const std::vector<std::string> rest = parse_flags(words);
  try {
    return static_cast<int>(cli::run(rest, read_flags(), std::cout, std::cerr));
  } catch (const cli::failure& ended) {
    std::cerr << "sedgechute: " << ended.what() << '\n';
    return static_cast<int>(ended.code());
  }
}
