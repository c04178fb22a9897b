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

/// \brief Deliberate faults of the protocol, to show that the checks notice them.
enum class mutation {
  none,
  skip_witness,           ///< the holder believes the witness without having asked it
  ignore_seal,            ///< the witness accepts what belongs to an epoch that is sealed or over
  trust_append,           ///< a proposer takes its own append for read back
  forget_tombstones,      ///< a new witness gets an empty table
  not_run_if_unreachable, ///< silence of the holder is told as `not run`
  blind_to_lost_epochs,   ///< a holder that knows nothing says that nothing ran
  run_resume_only,        ///< an attempt that may only resume starts anew
  forget_attempts,        ///< every grant is told as the first attempt, as it was asked for
};

enum class action_kind {
  begin,      ///< a caller sends key `a` to host `b`
  advance,    ///< time passes and some messages arrive
  end_run,    ///< run `a` ends as `b` says
  crash,      ///< host `a` is replaced by a new process
  pause,      ///< host `a` stops for a while
  resume,     ///< host `a` goes on, sometimes with a gap in what it has read of the log
  cut,        ///< hosts `a` and `b` lose each other, or whole data centres do
  heal,       ///< all links work again
  log_outage, ///< the log is down
  log_back,
  suspect, ///< host `a` wrongly believes that host `b` is dead
  drain,   ///< host `a` stops as planned and is replaced
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

/// \brief What the checks have found in a schedule.
struct findings {
  std::size_t calls{};
  std::size_t runs{};
  std::size_t ran_twice{};
  std::size_t false_not_run{};
  std::size_t mixed_answers{};
  std::size_t unresolved{}; ///< calls without exactly one decision, or of a kind never asked for
  std::size_t stuck{};      ///< new keys refused long after the last failure
  std::size_t refused_unknown{};
  std::size_t refused_not_run{};
  std::size_t retained{};
  std::size_t joined{};

  findings& operator+=(const findings& other);
  [[nodiscard]] bool clean() const noexcept {
    return ran_twice + false_not_run + mixed_answers + unresolved + stuck == 0;
  }
};

struct action {
  action_kind kind{action_kind::advance};
  std::uint32_t a{};
  std::uint32_t b{};
};

/// \brief Several hosts over fakes of network, log, failure detector and engines, and the naive
/// oracle: one map from key to what happened under it.
class claims_simulation {
 public:
  explicit claims_simulation(std::uint64_t seed, mutation fault = mutation::none);

  void apply(const action& step);
  /// \brief Heals everything and lets time pass until every call must have been decided.
  void settle();
  /// \brief After `settle`: checks that new keys are decided again everywhere.
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
    std::vector<live_host> view; ///< as last told
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
    std::uint64_t began_at{}; ///< event counters order what happens in the same millisecond
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
  /// \brief The log has dropped what the host has not read; it goes on from another's checkpoint.
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
  std::vector<in_flight> delivering_; ///< kept for its memory
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
