// Only one folder may use the platform's names. Otherwise they would spread, and the product would
// depend on one platform.

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace {

constexpr std::array names{
    "Attempt-Id", "Prefix-Hash",        "Not-Executed",  "Kv-Fetch",          "Kv-From",
    "Kv-Backup",  "Response-Signature", "Instance-Load", "Expected-Instance", "log-append",
    "log-newest", "log-read",           "keyed.",        "PathPrefix",        "LatencyTargetMs",
    "ApiKeys",    "Token-Usage",        "Deadline-Ms",   "FrontendAddress"};

bool is_source(const std::filesystem::path& path) {
  return path.extension() == ".cpp" || path.extension() == ".hpp";
}

std::string text_of(const std::filesystem::path& path) {
  std::ifstream in{path};
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

} // namespace

TEST_CASE("the platform's names occur only in the adapter and the stand-ins") {
  const std::filesystem::path root = std::filesystem::path{SEDGECHUTE_SOURCE_DIR} / "src";
  int looked_at = 0;
  for (const auto& entry : std::filesystem::recursive_directory_iterator{root}) {
    const std::string path = entry.path().string();
    if (!is_source(entry.path()) || path.find("/src/standin/") != std::string::npos)
      continue;
    ++looked_at;
    const std::string text = text_of(entry.path());
    for (const char* name : names) {
      INFO(path << " names " << name);
      CHECK(text.find(name) == std::string::npos);
    }
  }
  CHECK(looked_at > 300);
}

TEST_CASE("the adapter stays small") {
  std::size_t lines = 0;
  const std::filesystem::path root = std::filesystem::path{SEDGECHUTE_SOURCE_DIR} / "platform";
  for (const auto& entry : std::filesystem::recursive_directory_iterator{root}) {
    if (!is_source(entry.path()))
      continue;
    const std::string text = text_of(entry.path());
    lines += static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
  }
  CHECK(lines > 100);
  CHECK(lines < 2500);
}
