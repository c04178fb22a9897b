#pragma once

#include "claims/claims.hpp"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sedgechute::test {

/// \brief Deliberate protocol faults, to verify that the checks detect them.
enum class mutation {
  none,
  skip_witness,           ///< the holder commits claims without asking the witness
  ignore_seal,            ///< the witness accepts claims of an epoch that is sealed or over
  trust_append,           ///< a host applies its own append without reading it back
  forget_tombstones,      ///< a new witness receives an empty table
  not_run_if_unreachable, ///< an unreachable holder is reported as `not run`
  blind_to_lost_epochs,   ///< a holder that lacks claims of lost epochs grants their keys
  run_resume_only,        ///< an attempt that may only resume starts again
  forget_attempts,        ///< every grant is reported as a first attempt as requested
};

/// \brief Kinds of actions; `a` and `b` are the numbers of an `action`.
enum class action_kind {
  begin,      ///< host `b` gets a request with key `a`
  advance,    ///< time passes and some messages arrive
  end_run,    ///< run `a` ends, with the outcome chosen by `b`
  crash,      ///< host `a` is replaced by a new process
  pause,      ///< host `a` pauses
  resume,     ///< host `a` resumes, sometimes with a gap in the log
  cut,        ///< links are cut: those of host `a`, or those between data centres
  heal,       ///< all links are restored
  log_outage, ///< the log becomes unavailable
  log_back,   ///< the log is available again
  suspect,    ///< host `a` wrongly believes that host `b` is dead
  drain,      ///< host `a` is drained, then replaced
};

} // namespace sedgechute::test

template <>
struct sedgechute::enum_names<sedgechute::test::action_kind> {
  using action_kind = sedgechute::test::action_kind;
  static constexpr auto entries = enum_table<action_kind>({{action_kind::begin, "begin"},
                                                           {action_kind::advance, "advance"},
                                                           {action_kind::end_run, "end_run"},
                                                           {action_kind::crash, "crash"},
                                                           {action_kind::pause, "pause"},
                                                           {action_kind::resume, "resume"},
                                                           {action_kind::cut, "cut"},
                                                           {action_kind::heal, "heal"},
                                                           {action_kind::log_outage, "log_outage"},
                                                           {action_kind::log_back, "log_back"},
                                                           {action_kind::suspect, "suspect"},
                                                           {action_kind::drain, "drain"}});
};

template <>
struct sedgechute::enum_names<sedgechute::test::mutation> {
  using mutation = sedgechute::test::mutation;
  static constexpr auto entries =
      enum_table<mutation>({{mutation::none, "none"},
                            {mutation::skip_witness, "skip_witness"},
                            {mutation::ignore_seal, "ignore_seal"},
                            {mutation::trust_append, "trust_append"},
                            {mutation::forget_tombstones, "forget_tombstones"},
                            {mutation::not_run_if_unreachable, "not_run_if_unreachable"},
                            {mutation::blind_to_lost_epochs, "blind_to_lost_epochs"},
                            {mutation::run_resume_only, "run_resume_only"},
                            {mutation::forget_attempts, "forget_attempts"}});
};

namespace sedgechute::test {

/// \brief Counts of events and of violations in a schedule.
struct findings {
  std::size_t calls{};
  std::size_t runs{};
  std::size_t ran_twice{};
  std::size_t false_not_run{};
  std::size_t mixed_answers{};
  std::size_t
      unresolved{};    ///< calls without exactly one decision, or with a wrong kind of decision
  std::size_t stuck{}; ///< new keys not granted long after the last failure
  std::size_t refused_unknown{};
  std::size_t refused_not_run{};
  std::size_t retained{};
  std::size_t joined{};

  findings& operator+=(const findings& other);
  [[nodiscard]] bool clean() const noexcept {
    return ran_twice + false_not_run + mixed_answers + unresolved + stuck == 0;
  }
};

/// \brief A step of a schedule.
struct action {
  action_kind kind{action_kind::advance};
  std::uint32_t a{};
  std::uint32_t b{};
};

/// \brief Several hosts on a simulated network, log, failure detector and engines, with an oracle:
/// a map from each key to the calls and runs under it.
class claims_simulation {
 public:
  explicit claims_simulation(std::uint64_t seed, mutation fault = mutation::none);

  void apply(const action& step);
  /// \brief Ends all failures and advances time until every call must have been decided.
  void settle();
  /// \brief Checks that every host grants new keys again; to be called after `settle`.
  void check_recovery();
  [[nodiscard]] const findings& found() const noexcept { return found_; }
  /// \returns a random action, weighted so that most schedules make progress
  [[nodiscard]] action random_action();

  static constexpr std::size_t host_count = 5;
  static constexpr std::size_t key_count = 6;

 private:
  struct host_slot {
    incarnation who;
    std::unique_ptr<claim_host> host;
    std::size_t read{0}; ///< records of the log applied
    bool paused{false};
    bool draining{false};
    std::vector<live_host> view; ///< as last passed to the host
  };
  struct in_flight {
    incarnation from;
    incarnation to;
    claims_message message;
  };
  struct caller_key {
    std::string text;
    std::uint64_t fingerprint{};
    bool idempotent{};
    time_ms first_used;
  };
  struct call {
    std::string key;
    std::size_t host{};
    std::uint64_t number{}; ///< of the host's incarnation
    std::uint64_t ticket{};
    bool idempotent{};
    bool look_up{};
    bool decided{};
    bool ran{};
    bool running{};
    bool told_not_run{};
    std::uint64_t began_at{}; ///< event number, which orders events of the same millisecond
    std::uint64_t granted_at{};
  };
  struct key_history {
    std::size_t runs{};
    std::vector<std::size_t> calls;
  };
  using call_id = std::pair<std::uint64_t, std::uint64_t>; ///< incarnation number, ticket

  static data_centre_id data_centre(std::size_t slot) {
    return data_centre_id{slot < 3 ? "a" : "b"};
  }
  static claims_options options();
  void start(std::size_t slot);
  void begin(std::uint32_t key, std::size_t slot);
  std::size_t call_host(const caller_key& key, std::size_t slot, bool fresh, bool look_up);
  void advance(time_ms span);
  void end_run(std::uint32_t chosen, std::uint32_t how);
  void crash(std::size_t slot);
  void collect(std::size_t slot);
  void append(std::size_t slot, const claims_record& record);
  void read_log(std::size_t slot);
  /// \brief Restores the host from another's checkpoint, as if the log had dropped unread records.
  void skip_log(std::size_t slot);
  void refresh_views();
  void deliver_some();
  bool mutate(std::size_t slot, const addressed_claims_message& sent);
  void decide(std::size_t slot, const claim_decision& decision);
  void proceed(std::size_t index, const proceed_decision& decision);
  void refused(std::size_t index, error_kind kind);
  void check_not_run(std::size_t index);
  [[nodiscard]] std::optional<std::size_t> slot_of(const incarnation& who) const;
  [[nodiscard]] bool is_cut(std::size_t a, std::size_t b) const { return cut_[a][b]; }

  mutation fault_;
  random_source random_;
  time_ms now_{1000};
  std::uint64_t events_{0};
  std::array<host_slot, host_count> hosts_;
  std::array<std::array<bool, host_count>, host_count> cut_{};
  std::array<std::array<time_ms, host_count>, host_count> suspected_until_{};
  std::vector<in_flight> network_;
  std::vector<in_flight> delivering_; ///< kept between calls to reuse its memory
  std::vector<claims_record> log_;
  std::vector<claims_record> late_appends_;
  bool log_down_{false};
  bool settling_{false};
  time_ms next_views_;
  std::vector<caller_key> keys_;
  std::vector<call> calls_;
  std::map<call_id, std::size_t> call_of_;
  std::map<std::string, key_history> history_;
  std::vector<std::size_t> running_;
  findings found_;
};

/// \brief Runs one schedule of `steps` random actions.
[[nodiscard]] findings run_schedule(std::uint64_t seed, std::size_t steps,
                                    mutation fault = mutation::none);

} // namespace sedgechute::test
