#include "slopes/meter.hpp"
#include "slopes/names.hpp"
#include "slopes/runs.hpp"
#include "slopes/samples.hpp"

#include <deque>
#include <map>
#include <memory>

namespace sedgechute::slopes {

namespace {

using ledger::budget_host;
using ledger::budget_outcome;

constexpr std::size_t teams = 60;
constexpr int repeats = 5;
constexpr token_amount bound = 600;
constexpr token_amount used = 350;

/// Budget hosts joined by a loss-free network and one log, in virtual time.
class ledger_fleet {
 public:
  explicit ledger_fleet(std::size_t count) {
    std::vector<ledger::live_host> live;
    for (std::size_t i = 0; i < count; ++i) {
      live.push_back({host_name(i), data_centre_name(i)});
      index_[host_name(i)] = i;
      hosts_.push_back(std::make_unique<budget_host>(
          host_name(i), data_centre_name(i), ledger::ledger_options{}, host_name(i).number));
    }
    for (const auto& host : hosts_) {
      host->on_members(now_, live);
      for (std::size_t team = 0; team < teams; ++team)
        host->on_contract(now_, team + 1, team_name(team), token_amount{1} << 40U);
    }
    offset_ = teams;
  }

  void request(std::size_t entry, std::size_t team, std::size_t number) {
    const request_id key{absl::StrFormat("request-%08u", number)};
    const auto decision = hosts_[entry]->reserve(now_, {team_name(team), key, bound, std::nullopt});
    open_[{entry, decision.ticket}] = decision.outcome;
    collect(entry);
    pump();
    for (int waited = 0; open_.at({entry, decision.ticket}) == budget_outcome::pending; ++waited) {
      if (waited > 100)
        return;
      advance(time_ms{50});
    }
    if (open_.at({entry, decision.ticket}) == budget_outcome::granted) {
      ++granted;
      hosts_[entry]->settle(now_, decision.ticket, used);
      collect(entry);
      pump();
    }
    open_.erase({entry, decision.ticket});
  }

  void advance(time_ms span) {
    for (const time_ms end = now_ + span; now_ < end;) {
      now_ = now_ + time_ms{50};
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        hosts_[i]->tick(now_);
        collect(i);
      }
      pump();
    }
  }

  void reset_counts() { granted = messages = message_bytes = records = record_bytes = 0; }

  std::size_t granted{0};
  std::size_t messages{0};
  std::size_t message_bytes{0};
  std::size_t records{0};
  std::size_t record_bytes{0};

 private:
  struct in_flight {
    std::size_t from;
    std::size_t to;
    std::string bytes;
  };

  void collect(std::size_t from) {
    auto output = hosts_[from]->take_output();
    for (const auto& message : output.messages) {
      wire::envelope envelope = envelope_to(message.to);
      *envelope.mutable_ledger() = to_wire(message.body);
      network_.push_back({from, index_.at(message.to), envelope.SerializeAsString()});
      ++messages;
      message_bytes += network_.back().bytes.size();
    }
    for (const auto& record : output.records) {
      wire::log_record stored;
      *stored.mutable_ledger() = to_wire(record);
      log_.push_back(stored.SerializeAsString());
      ++records;
      record_bytes += log_.back().size();
    }
    for (const auto& decision : output.decisions)
      open_[{from, decision.ticket}] = decision.outcome;
  }

  void pump() {
    while (!network_.empty() || !log_.empty()) {
      if (!log_.empty())
        replay();
      if (!network_.empty())
        deliver();
    }
  }

  void replay() {
    const std::string stored = std::move(log_.front());
    log_.pop_front();
    ++offset_;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i]->on_record(now_, offset_, ledger_of(stored));
      collect(i);
    }
  }

  void deliver() {
    const in_flight arriving = std::move(network_.front());
    network_.pop_front();
    wire::envelope envelope;
    envelope.ParseFromString(arriving.bytes);
    hosts_[arriving.to]->on_message(now_, host_name(arriving.from), host_name(arriving.to),
                                    from_wire(envelope.ledger()));
    collect(arriving.to);
  }

  time_ms now_{1'000'000};
  std::uint64_t offset_{};
  std::map<incarnation, std::size_t> index_;
  std::vector<std::unique_ptr<budget_host>> hosts_;
  std::deque<in_flight> network_;
  std::deque<std::string> log_;
  std::map<std::pair<std::size_t, ledger::ticket_number>, budget_outcome> open_;
};

struct fleet_counts {
  double requests{};
  double cpu_us{};
  double messages{};
  double bytes{};
};

/// Requests spread over the hosts and teams, 20 ms apart; the first ones, which bring the slices,
/// are not counted.
fleet_counts run_requests(std::size_t hosts, std::size_t requests) {
  ledger_fleet fleet{hosts};
  std::size_t number = 0;
  const auto one = [&] {
    fleet.request((number * 7) % hosts, (number * 11) % teams, number);
    if (++number % 3 == 0)
      fleet.advance(time_ms{50});
  };
  for (std::size_t i = 0; i < teams * data_centres * 4; ++i)
    one();
  fleet.reset_counts();
  const double start = thread_cpu_us();
  for (std::size_t i = 0; i < requests; ++i)
    one();
  return {static_cast<double>(fleet.granted), thread_cpu_us() - start,
          static_cast<double>(fleet.messages), static_cast<double>(fleet.message_bytes)};
}

/// A local reservation and its settling, on the host that holds the slice.
void local_requests(slope_table& table) {
  series cpu{"holder", "local_reserve_settle_us", "us", "request", {}};
  for (const std::size_t requests : {2000U, 4000U, 8000U}) {
    const double spent = least_of(repeats, [&] {
      ledger_fleet fleet{1};
      fleet.request(0, 0, 0);
      const double start = thread_cpu_us();
      for (std::size_t i = 1; i <= requests; ++i)
        fleet.request(0, 0, i);
      return thread_cpu_us() - start;
    });
    cpu.points.push_back({static_cast<double>(requests), spent});
  }
  table.add(cpu);
}

} // namespace

void run_holders(slope_table& table) {
  local_requests(table);
  series cpu{"entry+holder", "request_cpu_us", "us", "request", {}};
  series messages{"entry+holder", "request_messages", "messages", "request", {}};
  series bytes{"entry+holder", "request_message_bytes", "B", "request", {}};
  constexpr std::size_t hosts = 20;
  for (const std::size_t requests : {5000U, 10'000U, 20'000U}) {
    fleet_counts counts;
    counts.cpu_us = least_of(repeats, [&] {
      counts = run_requests(hosts, requests);
      return counts.cpu_us;
    });
    cpu.points.push_back({counts.requests, counts.cpu_us});
    messages.points.push_back({counts.requests, counts.messages});
    bytes.points.push_back({counts.requests, counts.bytes});
  }
  for (const series& s : {cpu, messages, bytes})
    table.add(s);
}

} // namespace sedgechute::slopes
