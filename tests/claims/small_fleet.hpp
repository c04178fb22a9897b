#pragma once

#include "claims/claims.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace sedgechute::test {

/// \brief A simulated fleet of a few hosts in one data centre. Messages are delivered at the next
/// step and are lost only on links that a test cuts.
class small_fleet {
 public:
  explicit small_fleet(std::size_t hosts, claims_options options = {}, std::uint32_t shards = 1)
      : options_{options} {
    options_.unpinned_shards = shards;
    options_.shards_per_data_centre = shards;
    for (std::size_t i = 0; i < hosts; ++i)
      start(i);
    run(time_ms{4000});
  }

  void start(std::size_t i) {
    if (hosts_.size() <= i)
      hosts_.resize(i + 1);
    hosts_[i] = std::make_unique<claim_host>(incarnation{name(i), ++last_number_}, data_centre(),
                                             options_, last_number_);
    numbers_[i] = last_number_;
    read_[i] = 0;
    leaving_.erase(i);
  }
  void stop(std::size_t i) { hosts_[i].reset(); }
  void drain(std::size_t i) {
    leaving_.insert(i);
    hosts_[i]->drain(now);
  }

  [[nodiscard]] claim_host& at(std::size_t i) { return *hosts_[i]; }
  [[nodiscard]] incarnation who(std::size_t i) const { return {name(i), numbers_.at(i)}; }

  void run(time_ms span) {
    for (const time_ms end = now + span; now < end; now += time_ms{10})
      step();
  }

  std::uint64_t begin(std::size_t i, const std::string& key, bool idempotent = false,
                      std::uint64_t fingerprint = 1, const std::string& team = "t") {
    return at(i).begin(now, {team_id{team}, key, fingerprint, idempotent, false});
  }
  /// \returns the decision on a new request, after running for long enough
  claim_decision ask(std::size_t i, const std::string& key, bool idempotent = false,
                     std::uint64_t fingerprint = 1, const std::string& team = "t") {
    const std::uint64_t ticket = begin(i, key, idempotent, fingerprint, team);
    run(time_ms{4000});
    return decision(i, ticket);
  }
  [[nodiscard]] claim_decision decision(std::size_t i, std::uint64_t ticket) {
    return decisions_.at({numbers_.at(i), ticket});
  }
  [[nodiscard]] bool is_decided(std::size_t i, std::uint64_t ticket) {
    return decisions_.contains({numbers_.at(i), ticket});
  }

  /// \returns the index of the holder (or witness) of the shard of `key`
  [[nodiscard]] std::size_t holder_of(const std::string& key) {
    return index_of(status_of(key).holder);
  }
  [[nodiscard]] std::size_t witness_of(const std::string& key) {
    return index_of(status_of(key).witness);
  }
  [[nodiscard]] shard_status status_of(const std::string& key) {
    shard_map map{options_};
    for (std::size_t offset = 1; offset <= log.size(); ++offset)
      (void)map.apply(now, offset, log[offset - 1]);
    return *map.find(shard_of({team_id{"t"}, key}, options_));
  }
  /// \returns a host that is neither holder nor witness for `key`
  [[nodiscard]] std::size_t uninvolved_host_of(const std::string& key) {
    std::size_t i = 0;
    while (i == holder_of(key) || i == witness_of(key))
      ++i;
    return i;
  }

  time_ms now{1000000};
  bool log_down{false};
  std::set<std::size_t> paused; ///< hosts that neither run nor receive messages
  std::set<std::pair<std::size_t, std::size_t>> cut; ///< links that lose all messages
  std::vector<claims_record> log;

  static host_id name(std::size_t i) { return host_id{"h" + std::to_string(i)}; }
  static data_centre_id data_centre() { return data_centre_id{"a"}; }

 private:
  struct in_flight {
    incarnation from;
    incarnation to;
    claims_message message;
  };

  [[nodiscard]] std::size_t index_of(const incarnation& host) const {
    for (const auto& [i, number] : numbers_)
      if (number == host.number)
        return i;
    return hosts_.size();
  }
  [[nodiscard]] bool is_up(std::size_t i) const {
    return i < hosts_.size() && hosts_[i] && !paused.contains(i);
  }
  [[nodiscard]] bool is_cut(std::size_t a, std::size_t b) const {
    return cut.contains({a, b}) || cut.contains({b, a});
  }

  void step() {
    std::vector<in_flight> arriving;
    arriving.swap(network_);
    for (const in_flight& sent : arriving) {
      const std::size_t to = index_of(sent.to);
      if (to < hosts_.size() && paused.contains(to))
        network_.push_back(sent);
      else if (is_up(to) && !is_cut(index_of(sent.from), to))
        hosts_[to]->on_message(now, sent.from, sent.message);
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      if (is_up(i))
        step_host(i);
    // Records become visible after the step, so concurrent proposals don't see each other.
    log.insert(log.end(), appended_.begin(), appended_.end());
    appended_.clear();
  }

  void step_host(std::size_t i) {
    std::vector<live_host> view;
    for (std::size_t other = 0; other < hosts_.size(); ++other)
      if (is_up(other) && !is_cut(i, other))
        view.push_back({who(other), data_centre(), leaving_.contains(other)});
    hosts_[i]->on_members(now, view);
    while (!log_down && read_[i] < log.size()) {
      const claims_record record = log[read_[i]];
      hosts_[i]->on_record(now, ++read_[i], record);
    }
    hosts_[i]->tick(now);
    claims_output output = hosts_[i]->take_output();
    for (auto& sent : output.messages)
      network_.push_back({who(i), sent.to, std::move(sent.message)});
    for (auto& record : output.records)
      if (!log_down)
        appended_.push_back(record);
    for (auto& decision : output.decisions)
      decisions_[{numbers_.at(i), decision.ticket}] = decision;
  }

  claims_options options_;
  std::uint64_t last_number_{0};
  std::vector<std::unique_ptr<claim_host>> hosts_;
  std::map<std::size_t, std::uint64_t> numbers_;
  std::map<std::size_t, std::size_t> read_;
  std::set<std::size_t> leaving_;
  std::vector<claims_record> appended_;
  std::vector<in_flight> network_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, claim_decision> decisions_;
};

[[nodiscard]] inline bool refuses(const claim_decision& decision, error_kind kind) {
  const auto* refusal = std::get_if<refuse_decision>(&decision.body);
  return refusal != nullptr && refusal->kind == kind;
}

[[nodiscard]] inline bool proceeds(const claim_decision& decision) {
  return std::holds_alternative<proceed_decision>(decision.body);
}

} // namespace sedgechute::test
