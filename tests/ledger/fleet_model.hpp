#pragma once

#include "ledger/ledger.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sedgechute::ledger {

/// \brief Kinds of steps in a schedule. Each step has two numbers that choose among the objects
/// present at the time, so that a schedule stays valid when steps are removed from it.
enum class step_kind : std::uint8_t {
  pass_time,     ///< the clock moves and one host ticks
  run,           ///< a round: deliver all messages, append all records, tick all hosts
  deliver,       ///< one message arrives, in any order
  drop,          ///< one message is lost
  repeat,        ///< one message arrives and stays in flight
  append,        ///< one record is appended
  lose_append,   ///< one record is lost before it reaches the log
  repeat_append, ///< one record is appended and stays in flight
  copy_late,     ///< one message arrives; a copy is delayed until a `late_message` step
  hold_append,   ///< one record is delayed until a `late_append` step
  late_message,  ///< a delayed message arrives
  late_append,   ///< a delayed record is appended
  read,          ///< one host reads the log
  see_members,   ///< one host updates its list of live hosts
  request,       ///< a caller sends a request
  retry,         ///< a caller sends an unfinished request again, to any host
  settle,        ///< a running request ends
  no_usage,      ///< a running request ends and its engine reports no usage
  shrink,        ///< a running request needs less than was reserved
  withdraw,      ///< a reserved request is not dispatched
  top_up,
  reduce_contract,
  crash,     ///< a host dies; its next incarnation starts at once
  pause,     ///< pauses a host, or resumes a paused one
  cut_hosts, ///< disconnects two hosts, or reconnects them
  cut_data_centre,
  cut_log, ///< disconnects one host from the log, or reconnects it
  log_outage,
  checkpoint,
  trim,    ///< the log drops the records before the newest checkpoint
  release, ///< an operator proves which written-off tokens were not used
  drain,
  long_wait, ///< the clock moves past every timeout
};

struct step {
  step_kind kind{};
  std::uint32_t a{};
  std::uint32_t b{};
};

/// \brief Draws random steps; the most frequent kinds make progress between faults. Each source
/// favours some kinds and excludes others, so that schedules differ more than with equal weights.
/// Half of the sources also insert episodes: fixed sequences of steps on the same hosts, which
/// independent draws hardly ever produce.
class step_source {
 public:
  explicit step_source(random_source& random);
  [[nodiscard]] step next();

 private:
  [[nodiscard]] step single();
  void begin_episode();

  random_source& random_;
  std::vector<std::uint32_t> weights_; ///< by kind
  std::uint32_t total_{};
  bool uses_episodes_{};
  std::deque<step> episode_; ///< remaining steps of the current episode
};

[[nodiscard]] std::string to_text(const step& s);

/// \brief Violations found in one run of a schedule.
struct findings {
  token_count overspend_tokens{};
  std::uint64_t double_billed{};
  std::uint64_t unresolved{};
  std::string first; ///< text of the first violation, empty if there is none

  [[nodiscard]] bool clean() const noexcept { return first.empty(); }
};

struct model_options {
  std::uint32_t hosts{4};
  std::uint32_t data_centres{2};
  std::uint32_t teams{2};
  token_count bought{4000};
  ledger_options ledger;
};

/// \brief Several hosts on a fake clock, network and log, single-threaded. Also keeps the expected
/// sums of a naive ledger: bought, billed and consumed tokens by team.
class fleet_model {
 public:
  fleet_model(const model_options& options, std::uint64_t seed);

  void apply(const step& s);
  /// \brief Checks the invariants in all hosts at once.
  void check();
  /// \brief Ends all faults, runs until all work is done and checks that no slice is still held.
  void heal_and_check();
  /// \brief Advances the clock, delivers all messages, appends all records and ticks all hosts.
  void run_round();

  [[nodiscard]] const findings& found() const noexcept { return found_; }
  [[nodiscard]] const ledger_state& log_state() const noexcept { return reference_; }

  // For tests of single scenarios.
  struct running_request;
  std::size_t start_request(std::uint32_t host, std::uint32_t team, token_count bound);
  [[nodiscard]] budget_outcome outcome(std::size_t request) const;
  /// \returns the host that holds the request's reservation.
  [[nodiscard]] std::uint32_t holder_of(std::size_t request) const;
  [[nodiscard]] team_totals totals(std::uint32_t team) const;
  /// \brief Updates every host's list of live and connected hosts.
  void see_all_members();
  void finish_request(std::size_t request, std::optional<token_count> used);
  void set_contract(std::uint32_t team, token_count bought);
  [[nodiscard]] budget_host& host(std::uint32_t index) { return *hosts_[index].budgets; }
  [[nodiscard]] token_count billed(std::uint32_t team) const { return expected_[team].billed; }
  void collect(std::uint32_t index);
  [[nodiscard]] time_ms now() const noexcept { return now_; }

  struct running_request {
    std::uint32_t host{};
    incarnation entry;
    ticket_number ticket{};
    std::uint32_t team{};
    std::uint32_t key{};
    token_count bound{};
    budget_outcome outcome{budget_outcome::pending};
    incarnation holder;
    epoch_number epoch{};
    time_ms since;
    bool over{};
  };

 private:
  struct fake_host {
    std::unique_ptr<budget_host> budgets;
    incarnation id;
    data_centre_id data_centre;
    bool paused{};
    bool log_cut{};
    bool draining{};
    log_offset read_upto{};
    std::deque<ledger_snapshot> incoming; ///< parts of a checkpoint not restored yet
  };
  /// A checkpoint that is being read from one host part by part, between other steps.
  struct open_checkpoint {
    std::uint32_t host{};
    incarnation giver;
    cut_number cut{};
    ledger_snapshot whole;
    std::vector<ledger_snapshot> parts;
  };
  struct in_flight {
    incarnation from;
    outgoing_message message;
  };
  struct log_entry {
    std::optional<ledger_record> record;
    team_id team;
    token_count bought{};
  };
  /// Sums of one team in the naive ledger.
  struct expected_sums {
    token_count contract{};
    token_count billed{};
    token_count unbilled{}; ///< consumed by requests that no entry host could settle
  };
  /// State of one request across its attempts, as the claims of a real fleet hold it.
  struct claim {
    std::uint32_t team{};
    token_count bound{};
    std::optional<incarnation> holder;
    bool finished{};
    std::uint32_t bills{};
    std::set<epoch_number> epochs; ///< epochs of its attempts' reservations
    token_count consumed{};        ///< by attempts of dead entry hosts, until the request is billed
  };

  void start_host(std::uint32_t index);
  void deliver(std::size_t index, bool keep);
  void copy_late(std::size_t index);
  void deliver_late(std::size_t index);
  void append(std::size_t index, bool keep);
  void append_late(std::size_t index);
  void read_log(std::uint32_t index, std::size_t most);
  void restore_next_part(fake_host& h);
  void start_checkpoint(std::uint32_t index);
  void advance_checkpoint();
  void finish_checkpoint();
  void see_members(std::uint32_t index);
  void start_attempt(std::uint32_t host, std::uint32_t key);
  void on_decision(std::uint32_t host, const budget_decision& decision);
  void claim_key(std::uint32_t host, std::size_t request);
  void end_request(running_request& r, std::optional<token_count> used);
  [[nodiscard]] running_request* running(std::uint32_t choice);
  [[nodiscard]] bool connected(std::uint32_t a, std::uint32_t b) const;
  [[nodiscard]] std::optional<std::uint32_t> host_named(const host_id& name) const;
  void report(const std::string& what);
  void check_team(std::uint32_t team);
  [[nodiscard]] bool is_only_attempt(const running_request& r) const;
  void check_slice(const slice& s);
  void release(std::uint32_t choice);
  [[nodiscard]] token_count unproven(const delegation& d) const;

  model_options options_;
  random_source random_;
  time_ms now_{1000};
  std::vector<fake_host> hosts_;
  std::vector<bool> cuts_; ///< hosts x hosts
  std::vector<in_flight> network_;
  std::vector<in_flight> late_messages_; ///< delayed copies
  std::vector<ledger_record> appends_;
  std::vector<ledger_record> late_appends_; ///< delayed records
  std::vector<log_entry> log_;              ///< offset - 1
  log_offset first_retained_{1};
  std::optional<open_checkpoint> open_checkpoint_;
  std::vector<ledger_snapshot> checkpoint_; ///< parts of the last complete checkpoint
  bool log_down_{};
  std::set<record_id> applied_; ///< grants and releases
  ledger_state reference_;      ///< has replayed the whole log
  std::vector<team_id> teams_;
  std::vector<expected_sums> expected_;
  std::vector<claim> claims_;
  std::vector<running_request> requests_;
  std::map<epoch_number, token_count> billed_of_; ///< by epoch
  std::map<std::pair<epoch_number, std::uint32_t>, token_count> transfers_;
  findings found_;
};

} // namespace sedgechute::ledger

template <>
struct sedgechute::enum_names<sedgechute::ledger::step_kind> {
  using enum sedgechute::ledger::step_kind;
  static constexpr auto entries =
      enum_table<sedgechute::ledger::step_kind>({{pass_time, "pass_time"},
                                                 {run, "run"},
                                                 {deliver, "deliver"},
                                                 {drop, "drop"},
                                                 {repeat, "repeat"},
                                                 {append, "append"},
                                                 {lose_append, "lose_append"},
                                                 {repeat_append, "repeat_append"},
                                                 {copy_late, "copy_late"},
                                                 {hold_append, "hold_append"},
                                                 {late_message, "late_message"},
                                                 {late_append, "late_append"},
                                                 {read, "read"},
                                                 {see_members, "see_members"},
                                                 {request, "request"},
                                                 {retry, "retry"},
                                                 {settle, "settle"},
                                                 {no_usage, "no_usage"},
                                                 {shrink, "shrink"},
                                                 {withdraw, "withdraw"},
                                                 {top_up, "top_up"},
                                                 {reduce_contract, "reduce_contract"},
                                                 {crash, "crash"},
                                                 {pause, "pause"},
                                                 {cut_hosts, "cut_hosts"},
                                                 {cut_data_centre, "cut_data_centre"},
                                                 {cut_log, "cut_log"},
                                                 {log_outage, "log_outage"},
                                                 {checkpoint, "checkpoint"},
                                                 {trim, "trim"},
                                                 {release, "release"},
                                                 {drain, "drain"},
                                                 {long_wait, "long_wait"}});
};
