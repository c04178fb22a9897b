#include "claims/claims.hpp"
#include "slopes/meter.hpp"
#include "slopes/names.hpp"
#include "slopes/runs.hpp"
#include "slopes/samples.hpp"

#include <deque>
#include <map>
#include <memory>

namespace sedgechute::slopes {

namespace {

/// Claim hosts joined by a loss-free network and one log, in virtual time.
class claims_fleet {
 public:
  explicit claims_fleet(std::size_t count, const claims_options& options) {
    std::vector<live_host> live;
    for (std::size_t i = 0; i < count; ++i) {
      live.push_back({host_name(i), data_centre_name(i), false});
      index_[host_name(i)] = i;
      hosts_.push_back(std::make_unique<claim_host>(host_name(i), data_centre_name(i), options,
                                                    host_name(i).number));
    }
    for (const auto& host : hosts_)
      host->on_members(now_, live);
    advance(time_ms{20'000});
    messages = bytes = records = 0;
  }

  /// \returns whether the claim was granted; it is then answered with an empty body
  bool run(std::size_t entry, std::size_t team, std::size_t number, bool minted) {
    const std::string key = minted ? hosts_[entry]->mint_key(now_).value_or("")
                                   : absl::StrFormat("caller-key-%016x", number);
    const std::uint64_t ticket =
        hosts_[entry]->begin(now_, {team_name(team), key, mix_hash(number, 9), false, minted});
    granted_ = false;
    collect(entry);
    pump();
    if (!granted_)
      return false;
    hosts_[entry]->progress(now_, ticket, endpoint_name(number % 500), 0);
    collect(entry);
    pump();
    retained_answer answer;
    answer.complete = true;
    answer.endpoint = endpoint_name(number % 500);
    answer.status = 200;
    answer.content_type = "application/json";
    hosts_[entry]->finish_answered(now_, ticket, answer);
    collect(entry);
    pump();
    return true;
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

  std::size_t messages{0};
  std::size_t bytes{0};
  std::size_t records{0};

 private:
  struct in_flight {
    std::size_t from;
    std::size_t to;
    std::string bytes;
  };

  void collect(std::size_t from) {
    auto output = hosts_[from]->take_output();
    for (claims_bundle& bundle : bundle_messages(std::move(output.messages))) {
      wire::envelope envelope = envelope_to(bundle.to);
      *envelope.mutable_claims() =
          to_wire(claims_envelope{host_name(from), bundle.to, std::move(bundle.messages)});
      network_.push_back({from, index_.at(bundle.to), envelope.SerializeAsString()});
      ++messages;
      bytes += network_.back().bytes.size();
    }
    for (const auto& record : output.records) {
      ++records;
      log_.push_back(record);
    }
    for (const auto& decision : output.decisions)
      granted_ = granted_ || std::holds_alternative<proceed_decision>(decision.body);
  }

  void pump() {
    while (!network_.empty() || !log_.empty()) {
      if (!log_.empty()) {
        const claims_record record = log_.front();
        log_.pop_front();
        ++offset_;
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
          hosts_[i]->on_record(now_, offset_, record);
          collect(i);
        }
      }
      if (!network_.empty()) {
        const in_flight arriving = std::move(network_.front());
        network_.pop_front();
        wire::envelope envelope;
        envelope.ParseFromString(arriving.bytes);
        for (const claims_message& message :
             from_wire(envelope.claims(), host_name(arriving.from), host_name(arriving.to)))
          hosts_[arriving.to]->on_message(now_, host_name(arriving.from), message);
        collect(arriving.to);
      }
    }
  }

  time_ms now_{1'000'000};
  std::uint64_t offset_{0};
  bool granted_{false};
  std::map<incarnation, std::size_t> index_;
  std::vector<std::unique_ptr<claim_host>> hosts_;
  std::deque<in_flight> network_;
  std::deque<claims_record> log_;
};

} // namespace

namespace {

void run_claims_of(slope_table& table, bool minted) {
  const std::string name = minted ? "minted_claim" : "claim";
  series cpu{"claims", name + "_cpu_us", "us", "claim", {}};
  series memory{"claims", name + "_state_bytes", "B", "claim", {}};
  series messages{"claims", name + "_messages", "messages", "claim", {}};
  series bytes{"claims", name + "_message_bytes", "B", "claim", {}};
  constexpr std::size_t hosts = 10;
  constexpr std::size_t claims_per_tick = 100;
  for (const std::size_t count : {2000U, 8000U, 20'000U}) {
    claims_options options;
    options.answer_bytes = 1U << 16U; // answers have a bound of their own; only claims are weighed
    claims_fleet fleet{hosts, options};
    const double before = allocated_bytes();
    const double start = thread_cpu_us();
    std::size_t granted = 0;
    for (std::size_t i = 0; i < count; ++i) {
      granted += fleet.run((i * 7) % hosts, i % 830, i, minted) ? 1 : 0;
      if (i % claims_per_tick == 0) // time goes on, so that timers of ended requests run out
        fleet.advance(time_ms{50});
    }
    const double spent = thread_cpu_us() - start;
    fleet.advance(time_ms{1000});
    const auto x = static_cast<double>(granted);
    cpu.points.push_back({x, spent});
    memory.points.push_back({x, allocated_bytes() - before});
    messages.points.push_back({x, static_cast<double>(fleet.messages)});
    bytes.points.push_back({x, static_cast<double>(fleet.bytes)});
  }
  for (const series& s : {cpu, memory, messages, bytes})
    table.add(s);
}

} // namespace

void run_claims(slope_table& table) {
  run_claims_of(table, false);
  run_claims_of(table, true);
}

} // namespace sedgechute::slopes
