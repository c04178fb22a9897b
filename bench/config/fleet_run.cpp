#include "fleet_run.hpp"

#include "cli/cli.hpp"

#include <chrono>
#include <thread>

namespace sedgechute::bench {
namespace {

constexpr double longest_wait_ms = 10000;
constexpr std::chrono::milliseconds look_interval{2};
constexpr std::int64_t least_queue = 1000;

using wall = std::chrono::steady_clock;

[[nodiscard]] double ms_since(wall::time_point start) {
  return std::chrono::duration<double, std::milli>(wall::now() - start).count();
}

[[nodiscard]] cli::options options_for(const std::vector<address>& hosts, const std::string& key) {
  cli::options flags;
  flags.hosts = hosts;
  flags.key = key;
  return flags;
}

[[nodiscard]] json_node get_document(const address& host, const fleet_options& wanted) {
  const cli::options flags = options_for({host}, wanted.key);
  cli::api_client client{flags};
  return cli::expect_good(client.get("/admin/v1/documents/contract/" + wanted.team)).body;
}

[[nodiscard]] std::int64_t publish_change(const address& host, const fleet_options& wanted,
                                          std::size_t number) {
  const json_node current = get_document(host, wanted);
  auto agreed = check_contract("", cli::text_member(current, "body"));
  if (!agreed)
    throw cli::failure{cli::exit_code::failed, to_text(agreed.problems)};
  agreed.value->limits.queue_length = least_queue + static_cast<std::int64_t>(number);
  random_source random = random_source::from_system();
  json_node body = json_node::object();
  body.add("record_id", json_node::of("measure-" + std::to_string(random())));
  body.add("replaces", json_node::of(cli::number_member(current, "revision")));
  body.add("based_on", json_node::of(cli::number_member(current, "sequence")));
  body.add("body", json_node::of(to_text(contract_table().write(*agreed.value))));
  const cli::options flags = options_for({host}, wanted.key);
  cli::api_client client{flags};
  const auto answer =
      cli::expect_good(client.post("/admin/v1/documents/contract/" + wanted.team, body));
  const auto* outcome = answer.body.find("outcome");
  return outcome == nullptr ? 0 : cli::number_member(*outcome, "offset");
}

/// \returns the time until all of the hosts had the revision; beyond the longest wait when not
[[nodiscard]] double wait_for(const std::vector<address>& hosts, std::int64_t revision,
                              wall::time_point start, const fleet_options& wanted) {
  for (const auto& host : hosts) {
    while (cli::number_member(get_document(host, wanted), "revision") < revision) {
      if (ms_since(start) > longest_wait_ms)
        return ms_since(start);
      std::this_thread::sleep_for(look_interval);
    }
  }
  return ms_since(start);
}

} // namespace

fleet_result run_fleet(const fleet_options& wanted) {
  fleet_result result;
  for (std::size_t i = 0; i < wanted.changes; ++i) {
    const auto start = wall::now();
    const std::int64_t revision =
        publish_change(wanted.hosts[i % wanted.hosts.size()], wanted, i + 1);
    result.everywhere_ms.push_back(wait_for(wanted.hosts, revision, start, wanted));
    bool late = revision == 0 || result.everywhere_ms.back() > longest_wait_ms;
    if (!wanted.cut_off.empty()) {
      result.cut_off_ms.push_back(wait_for(wanted.cut_off, revision, start, wanted));
      late = late || result.cut_off_ms.back() > longest_wait_ms;
    }
    result.failed += late ? 1 : 0;
  }
  return result;
}

} // namespace sedgechute::bench
