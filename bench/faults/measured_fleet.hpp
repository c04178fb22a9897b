#pragma once

#include "ledger/ledger.hpp"

#include <map>
#include <memory>
#include <vector>

namespace sedgechute::ledger {

/// \brief Demand of one team: requests a second and tokens bought.
struct team_demand {
  double requests_per_s{};
  token_count bought{};
};

/// \brief Size, traffic and ledger options of a fleet.
struct fleet_shape {
  std::uint32_t hosts{9};
  std::vector<double> data_centre_share; ///< of the traffic
  std::vector<team_demand> teams;
  ledger_options ledger;
  time_ms round{60}; ///< time in which a message or a record arrives
};

/// \brief Requests of a run by their outcome under one policy.
struct request_counts {
  std::uint64_t asked{};
  std::uint64_t refused_falsely{}; ///< refused although the team's budget covered them
  std::uint64_t refused{};
};

/// \brief A fleet of budget hosts under steady traffic, with rounds for messages and log. Compares
/// it on the same requests with two baseline policies: equal static shares per host, and a central
/// counter on one host.
class measured_fleet {
 public:
  measured_fleet(fleet_shape shape, std::uint64_t seed);

  /// \brief Runs the traffic for a span.
  void run(time_ms span);
  /// \brief Runs until the share of the budgets is spent, at most for a span.
  void run_until_spent(double share, time_ms most);
  /// \brief Disconnects a data centre from the others and the log; `none` ends the partition.
  void cut(std::uint32_t data_centre);
  static constexpr std::uint32_t none = ~std::uint32_t{0};

  struct crash_loss {
    double stranded_share{};  ///< largest written-off share of a budget that the host held
    double without_witness{}; ///< the same without a witness that knows the opened amount
    time_ms reclaimed_after;
  };
  /// \brief Crashes the host that holds most slices and runs until its epochs are reclaimed.
  crash_loss crash_busiest();

  [[nodiscard]] const request_counts& delegated() const noexcept { return delegated_; }
  [[nodiscard]] const request_counts& static_shares() const noexcept { return static_; }
  [[nodiscard]] const request_counts& central() const noexcept { return central_; }
  [[nodiscard]] std::uint64_t appends() const noexcept { return log_.size(); }
  [[nodiscard]] std::uint64_t messages() const noexcept { return messages_; }
  [[nodiscard]] std::uint64_t message_bytes() const noexcept { return message_bytes_; }
  [[nodiscard]] std::uint64_t chunk_openings() const noexcept { return chunk_openings_; }
  [[nodiscard]] time_ms now() const noexcept { return now_; }
  void reset_counts();

 private:
  struct fleet_host {
    std::unique_ptr<budget_host> budgets;
    incarnation id;
    std::uint32_t data_centre{};
    log_offset read_upto{};
  };
  struct open_request {
    std::uint32_t team{};
    std::uint32_t host{};
    token_count bound{};
    token_count used{};
    time_ms ends;
    bool granted{};
  };
  /// Expected sums of one team, and its state under the two baseline policies.
  struct team_tally {
    token_count bought{};
    token_count spent{};
    token_count reserved{};
    std::vector<token_count> static_left; ///< by host
    token_count central_left{};
  };
  struct in_flight_message {
    incarnation from;
    outgoing_message message;
  };

  void round();
  void start_requests();
  void end_requests();
  void decide(std::uint32_t host, const budget_decision& decision);
  void collect(std::uint32_t host);
  void see_members();
  [[nodiscard]] bool connected(std::uint32_t a, std::uint32_t b) const;
  [[nodiscard]] std::uint32_t index_of(const incarnation& host) const;
  [[nodiscard]] std::uint32_t draw_host();
  [[nodiscard]] static bool is_counted(const team_tally& b);
  void count_baselines(const open_request& r, bool covered);

  fleet_shape shape_;
  random_source random_;
  time_ms now_{0};
  std::uint32_t cut_{none};
  std::vector<fleet_host> hosts_;
  std::vector<team_id> teams_;
  std::vector<team_tally> tallies_;
  std::vector<in_flight_message> network_;
  std::vector<ledger_record> appends_;
  std::vector<ledger_record> log_;
  ledger_state reference_;
  std::map<std::pair<std::uint32_t, ticket_number>, open_request> open_;
  std::multimap<time_ms, std::pair<std::uint32_t, ticket_number>> ends_;
  request_counts delegated_;
  request_counts static_;
  request_counts central_;
  std::uint64_t messages_{};
  std::uint64_t message_bytes_{};
  std::uint64_t chunk_openings_{};
  std::map<host_id, std::uint32_t> indices_;
  std::uint64_t next_key_{};
  std::vector<double> due_; ///< fractional requests due, by team
};

} // namespace sedgechute::ledger
