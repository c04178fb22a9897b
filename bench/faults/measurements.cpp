#include "measurements.hpp"

#include "measured_fleet.hpp"
#include "wire/impl/ledger_codec.hpp"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <iostream>
#include <string>

namespace sedgechute::ledger {

namespace {

using steady_clock = std::chrono::steady_clock;

double ns_since(steady_clock::time_point start) {
  return std::chrono::duration<double, std::nano>(steady_clock::now() - start).count();
}

// Time per `reserve` and `settle`, with two hosts, a holder and its witness, and all requests made
// on the holder.
double reserve_ns(double& settle_ns) {
  constexpr int requests = 400000;
  constexpr int batch = 500;
  const data_centre_id here{"dc"};
  const std::vector<live_host> live{{{host_id{"a"}, 1}, here}, {{host_id{"b"}, 1}, here}};
  const ledger_options options;
  budget_host a{live[0].host, here, options, 1};
  budget_host b{live[1].host, here, options, 2};
  const team_id team{"team-000001"};
  time_ms now{0};
  log_offset offset = 1;
  budget_host* const hosts[] = {&a, &b};
  for (budget_host* h : hosts) {
    h->on_members(now, live);
    h->on_contract(now, offset, team, token_count{1} << 45U);
  }
  const auto pump = [&] {
    now += time_ms{50};
    for (int turn = 0; turn < 4; ++turn)
      for (int i = 0; i < 2; ++i) {
        hosts[i]->tick(now);
        const budget_output out = hosts[i]->take_output();
        for (const outgoing_message& m : out.messages)
          hosts[m.to.host.str() == "b"]->on_message(now, live[static_cast<std::size_t>(i)].host,
                                                    m.to, m.body);
        for (const ledger_record& r : out.records) {
          ++offset;
          a.on_record(now, offset, r);
          b.on_record(now, offset, r);
        }
      }
  };
  static_cast<void>(a.reserve(now, {team, request_id{"first"}, 800, std::nullopt}));
  for (int i = 0; i < 10; ++i)
    pump();
  budget_host& holder = a.holder().reservation_count() > 0 ? a : b;
  double reserving = 0;
  double settling = 0;
  int done = 0;
  std::vector<ticket_number> tickets;
  std::vector<request_id> keys;
  for (int next = 0; done < requests; next += batch) {
    keys.clear();
    tickets.clear();
    for (int i = 0; i < batch; ++i)
      keys.emplace_back("request-" + std::to_string(next + i));
    auto start = steady_clock::now();
    for (const request_id& key : keys) {
      const budget_decision d = holder.reserve(now, {team, key, 800, std::nullopt});
      if (d.outcome == budget_outcome::granted)
        tickets.push_back(d.ticket);
    }
    if (tickets.size() == keys.size())
      reserving += ns_since(start);
    start = steady_clock::now();
    for (const ticket_number ticket : tickets)
      holder.settle(now, ticket, 300);
    if (tickets.size() == keys.size()) {
      settling += ns_since(start);
      done += batch;
    }
    pump();
  }
  settle_ns = settling / done;
  return reserving / done;
}

double bytes_per_idle_budget() {
  constexpr int budgets = 220000;
  const std::size_t before = mallinfo2().uordblks;
  budget_host host{{host_id{"a"}, 1}, data_centre_id{"dc"}, {}, 1};
  for (int i = 0; i < budgets; ++i)
    host.on_contract(time_ms{0}, 1, team_id{"customer-" + std::to_string(100000 + i)}, 1000000);
  const std::size_t after = mallinfo2().uordblks;
  return static_cast<double>(after - before) / budgets;
}

/// Size and time of a checkpoint of 220,000 budgets, a tenth of them used.
void print_checkpoint(std::string& json) {
  constexpr int budgets = 220000;
  ledger_state state{{}};
  log_offset offset = 0;
  const incarnation holder{host_id{"host-1"}, 1};
  for (int i = 0; i < budgets; ++i) {
    const team_id team{"customer-" + std::to_string(100000 + i)};
    state.on_contract(offset, team, 1000000);
    if (i % 10 != 0)
      continue;
    const record_id id{static_cast<std::uint64_t>(i), 1};
    grant given{team, 0, holder, holder, data_centre_id{"dc"}, 5000, 100, offset};
    state.on_record(++offset, {id, std::move(given)});
    report used;
    used.epochs.push_back({offset, 1, 700, 0, 0, 0, i % 100 != 0, {}});
    state.on_record(++offset, {id, std::move(used)});
  }
  auto start = steady_clock::now();
  const std::string bytes = to_wire(state.snapshot()).SerializeAsString();
  const double made_ms = ns_since(start) / 1e6;
  start = steady_clock::now();
  wire::ledger_snapshot parsed;
  static_cast<void>(parsed.ParseFromString(bytes));
  ledger_state restored{{}};
  restored.restore(from_wire(parsed));
  const double restored_ms = ns_since(start) / 1e6;
  std::printf("checkpoint of 220,000 budgets: %zu bytes, made in %.0f ms, restored in %.0f ms\n",
              bytes.size(), made_ms, restored_ms);
  json += ",\"checkpoint_bytes\":" + std::to_string(bytes.size());
}

struct traffic_profile {
  const char* name;
  std::vector<double> data_centre_share;
};

fleet_shape shape_of(const traffic_profile& profile, double hours_bought, double rate_factor) {
  constexpr double mean_used = 0.5 * 1100;
  fleet_shape shape;
  shape.data_centre_share = profile.data_centre_share;
  // Ten teams, a few of them with most of the traffic.
  for (const double rate : {6.0, 4.0, 2.5, 1.0, 0.6, 0.4, 0.2, 0.1, 0.05, 0.02}) {
    const double bought = rate * mean_used * 3600 * hours_bought;
    shape.teams.push_back({rate * rate_factor, static_cast<token_count>(bought * rate_factor)});
  }
  return shape;
}

double share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

struct partition_rates {
  double delegated{};
  double static_shares{};
  double central{};
};

/// False refusals in an hour with one data centre disconnected, after ten minutes of traffic;
/// summed over a run for each data centre.
partition_rates partition_hour(const traffic_profile& profile, double hours_bought,
                               std::uint64_t seed) {
  request_counts delegated;
  request_counts fixed;
  request_counts central;
  const auto add = [](request_counts& sum, const request_counts& more) {
    sum.asked += more.asked;
    sum.refused_falsely += more.refused_falsely;
  };
  for (std::uint32_t cut = 0; cut < profile.data_centre_share.size(); ++cut) {
    measured_fleet fleet{shape_of(profile, hours_bought, 1), seed + cut};
    fleet.run(time_ms{600000});
    fleet.reset_counts();
    fleet.cut(cut);
    fleet.run(time_ms{3600000});
    add(delegated, fleet.delegated());
    add(fixed, fleet.static_shares());
    add(central, fleet.central());
  }
  return {share(delegated.refused_falsely, delegated.asked),
          share(fixed.refused_falsely, fixed.asked), share(central.refused_falsely, central.asked)};
}

void print_profile(const traffic_profile& profile, std::uint64_t seed, std::string& json) {
  const auto number = [&](const std::string& name, double value) {
    std::printf("%s %s: %.6g\n", profile.name, name.c_str(), value);
    char text[160];
    std::snprintf(text, sizeof text, ",\"%s_%s\":%.6g", profile.name, name.c_str(), value);
    json += text;
  };
  for (const time_ms round : {time_ms{10}, time_ms{60}}) {
    fleet_shape shape = shape_of(profile, 0.2, 1);
    shape.round = round;
    measured_fleet fault_free{shape, seed};
    fault_free.run_until_spent(0.999, time_ms{3600000});
    const std::string suffix = "_rounds_of_" + std::to_string(round.count()) + "_ms";
    number("false_refusal_rate_no_faults" + suffix,
           share(fault_free.delegated().refused_falsely, fault_free.delegated().asked));
    number("false_refusal_rate_no_faults_static" + suffix,
           share(fault_free.static_shares().refused_falsely, fault_free.static_shares().asked));
  }
  for (const double hours : {1.5, 4.0, 24.0}) {
    const partition_rates rates = partition_hour(profile, hours, seed);
    const std::string suffix =
        "_budget_of_" + std::to_string(static_cast<int>(hours * 10)) + "_tenth_h";
    number("false_refusal_rate_partition" + suffix, rates.delegated);
    number("false_refusal_rate_partition_static" + suffix, rates.static_shares);
    number("false_refusal_rate_partition_central" + suffix, rates.central);
  }
  measured_fleet crashing{shape_of(profile, 24, 1), seed};
  crashing.run(time_ms{300000});
  const measured_fleet::crash_loss loss = crashing.crash_busiest();
  number("stranded_share", loss.stranded_share);
  number("stranded_share_without_witness", loss.without_witness);
  number("reclaimed_after_s", static_cast<double>(loss.reclaimed_after.count()) / 1000);
  for (const double factor : {1.0, 4.0}) {
    measured_fleet fleet{shape_of(profile, 24, factor), seed};
    fleet.run(time_ms{120000});
    const std::uint64_t appends = fleet.appends();
    const std::uint64_t messages = fleet.messages();
    const std::uint64_t asked = fleet.delegated().asked;
    const std::uint64_t openings = fleet.chunk_openings();
    fleet.run(time_ms{300000});
    const std::string suffix = factor > 1 ? "_at_4x" : "";
    number("requests_per_s" + suffix, static_cast<double>(fleet.delegated().asked - asked) / 300);
    number("records_per_s" + suffix, static_cast<double>(fleet.appends() - appends) / 300);
    number("chunk_openings_per_s" + suffix,
           static_cast<double>(fleet.chunk_openings() - openings) / 300);
    number("messages_per_request" + suffix,
           share(fleet.messages() - messages, fleet.delegated().asked - asked));
  }
}

/// Measures the fleet expected within two years, without its idle budgets: 350 hosts in 5 data
/// centres, 830 teams of which a few are large, 5,100 requests a second.
void print_large_fleet(std::uint64_t seed, std::string& json) {
  constexpr int teams = 830;
  constexpr double requests_per_s = 5100;
  constexpr double span_s = 60;
  fleet_shape shape;
  shape.hosts = 350;
  shape.data_centre_share = {0.3, 0.25, 0.2, 0.15, 0.1};
  double weights = 0;
  for (int team = 1; team <= teams; ++team)
    weights += 1.0 / team;
  for (int team = 1; team <= teams; ++team) {
    const double rate = requests_per_s / team / weights;
    shape.teams.push_back({rate, static_cast<token_count>(rate * 550 * 3600 * 24)});
  }
  measured_fleet fleet{shape, seed};
  fleet.run(time_ms{90000});
  const std::uint64_t asked = fleet.delegated().asked;
  const std::uint64_t appends = fleet.appends();
  const std::uint64_t messages = fleet.messages();
  const std::uint64_t bytes = fleet.message_bytes();
  const std::uint64_t openings = fleet.chunk_openings();
  const auto start = steady_clock::now();
  fleet.run(time_ms{static_cast<std::int64_t>(span_s * 1000)});
  const double cpu_us = ns_since(start) / 1000;
  const auto requests = static_cast<double>(fleet.delegated().asked - asked);
  const auto number = [&](const char* name, double value) {
    std::printf("350 hosts %s: %.6g\n", name, value);
    char text[120];
    std::snprintf(text, sizeof text, ",\"large_%s\":%.6g", name, value);
    json += text;
  };
  number("requests_per_s", requests / span_s);
  number("false_refusal_rate", share(fleet.delegated().refused_falsely, fleet.delegated().asked));
  number("records_per_s", static_cast<double>(fleet.appends() - appends) / span_s);
  number("chunk_openings_per_s", static_cast<double>(fleet.chunk_openings() - openings) / span_s);
  number("messages_per_request", static_cast<double>(fleet.messages() - messages) / requests);
  number("message_bytes_per_s_and_host",
         static_cast<double>(fleet.message_bytes() - bytes) / span_s / shape.hosts);
  number("cpu_share_of_a_core_per_host", cpu_us / 1e6 / span_s / shape.hosts);
}

} // namespace

int print_measurements(std::uint64_t seed) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const double idle = bytes_per_idle_budget();
  double settle = 0;
  const double reserve = reserve_ns(settle);
  std::printf("reserve at the holder: %.0f ns; settle: %.0f ns\n", reserve, settle);
  std::printf("bytes per idle budget: %.1f\n", idle);
  std::string json;
  print_checkpoint(json);
  print_profile({"linsubrunnur", {0.5, 0.3, 0.2}}, seed, json);
  print_profile({"souq_sayarat", {0.4, 0.3, 0.2, 0.1}}, seed, json);
  print_large_fleet(seed, json);
  std::printf("{\"reserve_ns\":%.0f,\"settle_ns\":%.0f,\"bytes_per_idle_budget\":%.1f%s}\n",
              reserve, settle, idle, json.c_str());
  return 0;
}

} // namespace sedgechute::ledger
