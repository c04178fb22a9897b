// sedgechute-config: what publishing costs and how long it takes. Without --hosts only the
// documents themselves are measured; with it, changes are published to a running fleet.

#include "fleet_run.hpp"
#include "samples.hpp"
#include "store_run.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>

ABSL_FLAG(std::uint64_t, histories, 100000, "histories compared with a naive replay");
ABSL_FLAG(std::uint64_t, contracts, 220000, "contracts of the largest store");
ABSL_FLAG(std::uint64_t, changes, 200, "changes published to the fleet");
ABSL_FLAG(std::vector<std::string>, hosts, {}, "admin addresses of a running fleet");
ABSL_FLAG(std::vector<std::string>, cut_off, {}, "admin addresses of its hosts without the log");
ABSL_FLAG(std::string, team, "", "team whose contract is changed");

namespace {

using namespace sedgechute;
using namespace sedgechute::bench;

constexpr std::size_t small_store = 830;
constexpr std::size_t changes_a_day = 3700;
constexpr double seconds_a_day = 86400;
constexpr double p50 = 0.5;
constexpr double p99 = 0.99;

[[nodiscard]] std::vector<address> addresses(const std::vector<std::string>& texts) {
  std::vector<address> parsed;
  for (const auto& text : texts) {
    const auto one = address::parse(text);
    if (!one)
      throw std::runtime_error{text + " is not IP:PORT"};
    parsed.push_back(*one);
  }
  return parsed;
}

[[nodiscard]] fleet_result run_fleet_if_given() {
  fleet_options wanted;
  wanted.hosts = addresses(absl::GetFlag(FLAGS_hosts));
  wanted.cut_off = addresses(absl::GetFlag(FLAGS_cut_off));
  if (wanted.hosts.empty())
    return {};
  const char* key = std::getenv("SEDGECHUTE_KEY");
  wanted.key = key == nullptr ? "" : key;
  wanted.team = absl::GetFlag(FLAGS_team);
  wanted.changes = absl::GetFlag(FLAGS_changes);
  return run_fleet(wanted);
}

int measure() {
  const fleet_result fleet = run_fleet_if_given();
  std::printf("fleet: %zu changes, in force everywhere p50 %.1f ms p99 %.1f ms\n",
              fleet.everywhere_ms.size(), quantile(fleet.everywhere_ms, p50),
              quantile(fleet.everywhere_ms, p99));
  const history_result histories = run_histories(absl::GetFlag(FLAGS_histories));
  std::printf("histories: %zu, reverted %d, half_applied %d, lost %d\n", histories.histories,
              histories.reverted, histories.half_applied, histories.lost);
  const store_result small = run_store(small_store, changes_a_day);
  const store_result large = run_store(absl::GetFlag(FLAGS_contracts), changes_a_day);
  for (const auto& store : {small, large})
    std::printf("%zu contracts: change %.1f us, %.0f bytes; checkpoint %.1f MB, start %.2f s\n",
                store.contracts, store.change_us, store.change_bytes, store.checkpoint_mb,
                store.restore_s);
  std::printf(
      "{\"changes\":%zu,\"failed\":%zu,\"everywhere_ms_p50\":%.1f,\"everywhere_ms_p99\":%.1f,"
      "\"cut_off_ms_p50\":%.1f,\"cut_off_ms_p99\":%.1f,\"histories\":%zu,\"reverted\":%d,"
      "\"half_applied\":%d,\"lost\":%d,\"contracts\":%zu,\"start_s\":%.3f,\"checkpoint_mb\":%.1f,"
      "\"change_us\":%.1f,\"change_us_830\":%.1f,\"change_bytes\":%.0f,"
      "\"bytes_per_s_at_3700_a_day\":%.1f,\"cpu_share_at_3700_a_day\":%.7f}\n",
      fleet.everywhere_ms.size(), fleet.failed, quantile(fleet.everywhere_ms, p50),
      quantile(fleet.everywhere_ms, p99), quantile(fleet.cut_off_ms, p50),
      quantile(fleet.cut_off_ms, p99), histories.histories, histories.reverted,
      histories.half_applied, histories.lost, large.contracts, large.restore_s, large.checkpoint_mb,
      large.change_us, small.change_us, large.change_bytes,
      large.change_bytes * changes_a_day / seconds_a_day,
      large.change_us * 1e-6 * changes_a_day / seconds_a_day);
  const bool broken = histories.reverted + histories.half_applied + histories.lost > 0;
  return broken || fleet.failed > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  try {
    return measure();
  } catch (const std::exception& failure) {
    std::cout << "{\"error\":\"" << failure.what() << "\"}" << std::endl;
    return 1;
  }
}
