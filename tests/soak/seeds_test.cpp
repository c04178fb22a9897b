// Hosts as processes under random faults, from fixed seeds. Seeds that ever broke a promise stay in
// the list, each with a line on the cause.

#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

namespace {

int run_seed(int seed, const std::string& flags) {
  const std::string command = std::string{SEDGECHUTE_PROGRAMS} + "/sedgechute-soak " + flags +
                              " --seed " + std::to_string(seed) +
                              " --folder /tmp/sedgechute-soak-ci";
  return std::system(
      command.c_str()); // NOLINT(cert-env33-c,concurrency-mt-unsafe): our own program
}

} // namespace

TEST_CASE("promises are kept under random faults") {
  for (const int seed : {1, 2, 3})
    CHECK(run_seed(seed, "--seconds 4") == 0);
}

// Hosts are replaced in series that overlap, settings and configurations change, endpoints leave,
// and callers go on using their connections. None of that is a failure: what ran is answered whole.
TEST_CASE("planned work loses no request") {
  for (const int seed : {2, 4})
    CHECK(run_seed(seed, "--planned --seconds 6") == 0);
}
