// Whether the checks can fail: deliberate faults must be noticed by the schedules and tests that
// are there for them. `scripts/measure mutations` tries all; a fixed part is tried here.

#include "process.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using sedgechute::fleet_test::process;

namespace {

const std::string build = SEDGECHUTE_BUILD_DIR;
const std::string source = SEDGECHUTE_SOURCE_DIR;
constexpr int longest_ms = 300000; // on a machine that builds something else as well

/// \returns what a program prints, with its exit code in the last line
std::string output_of(const std::string& program, const std::vector<std::string>& arguments) {
  const std::string file = build + "/mutations_test.txt";
  process run{program, arguments, file};
  const int code = run.wait(longest_ms);
  std::ifstream in{file};
  const std::string text{std::istreambuf_iterator<char>{in}, {}};
  return text + "exit code " + std::to_string(code);
}

} // namespace

TEST_CASE("schedules notice every deliberate fault of the ledger") {
  const std::string output = output_of(build + "/bin/sedgechute-faults", {"--mutations"});
  INFO(output);
  CHECK(output.ends_with("{\"mutations\":20,\"missed\":0}\nexit code 0"));
}

// A line that a mutation replaces was changed, and the mutation with it would be lost unseen.
TEST_CASE("each deliberate fault in the code on the platform still fits its source") {
  const std::string output = output_of(source + "/bench/mutations/mutate.py", {"--fits"});
  INFO(output);
  CHECK(output.ends_with("\"missed\": 0}\nexit code 0"));
}

TEST_CASE("tests notice a deliberate fault of each kind in the code on the platform") {
  const std::string output =
      output_of(source + "/bench/mutations/mutate.py", {"--quick", "--build", build});
  INFO(output);
  CHECK(output.ends_with("{\"mutations\": 26, \"missed\": 0}\nexit code 0"));
}
