#include "membership/membership.hpp"
#include "slopes/meter.hpp"
#include "slopes/names.hpp"
#include "slopes/runs.hpp"
#include "wire/wire.hpp"

#include <deque>
#include <map>
#include <memory>

namespace sedgechute::slopes {

namespace {

constexpr double headers = 28.0; // IP and UDP

std::string address_of(std::size_t i) {
  return absl::StrFormat("10.1.%u.%u:8201", i / 250, i % 250);
}

/// Members joined by a loss-free network, in virtual time.
class member_fleet {
 public:
  explicit member_fleet(std::size_t count) {
    std::vector<listed_host> listed;
    for (std::size_t i = 0; i < count; ++i) {
      listed.push_back({host_name(i).host, data_centre_name(i), address_of(i), false});
      places_[address_of(i)] = i;
    }
    for (std::size_t i = 0; i < count; ++i) {
      members_.push_back(std::make_unique<membership>(host_name(i), data_centre_name(i),
                                                      address_of(i), membership_options{},
                                                      host_name(i).number));
      members_.back()->on_host_list(now_, listed);
    }
  }

  void run(time_ms span) {
    for (const time_ms end = now_ + span; now_ < end;) {
      now_ = now_ + time_ms{50};
      for (std::size_t i = 0; i < members_.size(); ++i) {
        if (!members_[i])
          continue;
        members_[i]->tick(now_);
        collect(*members_[i]);
      }
      pump();
    }
  }
  void crash(std::size_t i) { members_[i].reset(); }
  [[nodiscard]] std::size_t seen() { return members_.front()->view().members.size(); }

  double messages{0};
  double bytes{0};

 private:
  void collect(membership& from) {
    for (const auto& sent : from.take_output()) {
      network_.emplace_back(places_.at(sent.address), to_wire(sent.message).SerializeAsString());
      ++messages;
      bytes += static_cast<double>(network_.back().second.size()) + headers;
    }
  }
  void pump() {
    while (!network_.empty()) {
      const auto [to, text] = std::move(network_.front());
      network_.pop_front();
      if (!members_[to])
        continue;
      wire::membership_message parsed;
      parsed.ParseFromString(text);
      members_[to]->on_message(now_, from_wire(parsed));
      collect(*members_[to]);
    }
  }

  time_ms now_{1'000'000};
  std::map<std::string, std::size_t> places_;
  std::vector<std::unique_ptr<membership>> members_;
  std::deque<std::pair<std::size_t, std::string>> network_;
};

} // namespace

void run_membership(slope_table& table) {
  series bytes{"member", "member_bytes_per_s", "B/s sent", "host", {}};
  series messages{"member", "member_messages_per_s", "messages/s sent", "host", {}};
  series cpu{"member", "member_cpu_us_per_s", "us/s", "host", {}};
  series memory{"member", "member_state_bytes", "B", "host", {}};
  series failure{"member", "member_bytes_per_failure", "B sent", "host", {}};
  constexpr double seconds = 60.0;
  for (const std::size_t count : {50U, 150U, 350U}) {
    const double before = allocated_bytes();
    member_fleet fleet{count};
    fleet.run(time_ms{180'000}); // the news of the common start has been passed on by then
    const auto x = static_cast<double>(count);
    memory.points.push_back({x, (allocated_bytes() - before) / x});
    fleet.messages = fleet.bytes = 0;
    const double start = thread_cpu_us();
    fleet.run(time_ms{static_cast<std::int64_t>(seconds * 1000.0)});
    cpu.points.push_back({x, (thread_cpu_us() - start) / seconds / x});
    const double steady = fleet.bytes / seconds / x;
    bytes.points.push_back({x, steady});
    messages.points.push_back({x, fleet.messages / seconds / x});
    fleet.bytes = 0;
    fleet.crash(count / 2);
    fleet.run(time_ms{10'000});
    failure.points.push_back({x, fleet.bytes / x - steady * 10.0});
  }
  for (const series& s : {bytes, messages, cpu, memory, failure})
    table.add(s);
}

} // namespace sedgechute::slopes
