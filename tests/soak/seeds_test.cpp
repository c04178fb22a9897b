// Hosts as processes under random faults, from fixed seeds. Seeds that ever broke a promise stay in
// the list, each with a line on the cause.

#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

namespace {

int run_seed(int seed) {
  const std::string command = std::string{SEDGECHUTE_PROGRAMS} +
                              "/sedgechute-soak --seconds 4 --seed " + std::to_string(seed) +
                              " --folder /tmp/sedgechute-soak-ci";
  return std::system(
      command.c_str()); // NOLINT(cert-env33-c,concurrency-mt-unsafe): our own program
}

} // namespace

TEST_CASE("promises are kept under random faults") {
  for (const int seed : {1, 2, 3})
    CHECK(run_seed(seed) == 0);
}
