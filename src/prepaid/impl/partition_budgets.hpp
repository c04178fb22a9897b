#pragma once

#include "prepaid/impl/account.hpp"
#include "prepaid/impl/prepaid_options.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sedgechute {

enum class reserve_outcome {
  reserved,
  short_here, ///< the budget may cover it, but not what this host holds of it
  exhausted,  ///< what is left of the budget does not cover it
};

template <>
struct enum_names<reserve_outcome> {
  static constexpr auto entries =
      enum_table<reserve_outcome>({{reserve_outcome::reserved, "reserved"},
                                   {reserve_outcome::short_here, "short_here"},
                                   {reserve_outcome::exhausted, "exhausted"}});
};

/// \brief A host that holds tokens of a team, by its last record.
struct token_holder {
  std::string host;
  std::uint64_t slack{};
};

/// \brief What counts as used by an earlier life of this host, which it may not have used.
struct write_off {
  std::string team;
  account last;                   ///< as the earlier life wrote it
  std::optional<time_ms> elapsed; ///< at most, until that life ended; nothing when no clock tells
  std::uint64_t used{};           ///< counted, of what `last` was granted
};

/// \brief The budgets of one partition as one host sees them, and its own use of them. Pure: time
/// comes in, records go out. Not thread-safe.
///
/// Each `now` is by the clock of `clock_reading::boot`: promises made in records are kept by it.
class partition_budgets {
 public:
  /// \brief Says whether this host shall hold tokens of a team, for itself and others.
  using holder_predicate = std::function<bool(const std::string& team)>;

  /// \param started  when this life of the host began; all earlier ones had ended by then
  partition_budgets(std::string host, std::uint64_t incarnation, const clock_reading& started,
                    const prepaid_options& options);

  /// \brief A host that shall not hold a team's tokens has only what its requests are using.
  void set_holder_predicate(holder_predicate holds) { holds_ = std::move(holds); }
  [[nodiscard]] bool holds(const std::string& team) const { return !holds_ || holds_(team); }
  /// \returns whether this host was granted anything that it may still use
  [[nodiscard]] bool holds_tokens() const;
  /// \returns whether requests or other hosts rely on this host's next record
  [[nodiscard]] bool needs_prompt_sync() const;

  /// \brief When this life began is known better: what earlier lives may have used is judged anew.
  void restate_start(const clock_reading& started);
  [[nodiscard]] const clock_reading& started() const noexcept { return started_; }
  [[nodiscard]] std::vector<write_off> write_offs() const;

  /// \brief Takes a record from the log, in the log's order; `end` is the offset behind it.
  void apply(const account_record& record, std::uint64_t end, time_ms now);
  /// \brief A host's record cannot be read, or was dropped, and is the newest under its key. It
  /// frees nothing: what the host was last known to hold stays granted to it. Where nothing is
  /// known of the host, it may hold all that nobody else holds, and is written off as used by
  /// `plan` after a while.
  void note_unreadable(const std::string& team, const std::string& host, time_ms now);
  /// \brief The log is known up to `end`, also where records were not ours to read.
  void advance(std::uint64_t end) noexcept;
  [[nodiscard]] std::uint64_t end() const noexcept { return end_; }

  /// \brief A request for a team's tokens has come, whatever becomes of it.
  void note_request(const std::string& team, std::uint64_t bound, time_ms now);
  /// \param prepaid  what the team has paid for today
  [[nodiscard]] reserve_outcome reserve(const std::string& team, std::uint64_t prepaid,
                                        std::uint64_t bound, time_ms now);
  /// \returns how long until what this host promised covers a reservation, with no further record;
  ///   nothing when it never does
  [[nodiscard]] std::optional<time_ms> covered_after(const std::string& team, std::uint64_t bound,
                                                     time_ms now) const;
  /// \brief A reservation that fell short waits for the next records, or waits no longer.
  void begin_waiting(const std::string& team, std::uint64_t bound);
  void end_waiting(const std::string& team, std::uint64_t bound);
  /// \brief Ends a reservation; `used` at most `bound`.
  void settle(const std::string& team, std::uint64_t bound, std::uint64_t used);

  /// \brief Gives tokens of this host to another, for which they count as used here.
  /// \returns how many: all, fewer where this host may use fewer, or none. What it holds beyond
  /// that
  ///   is wanted of the next record.
  [[nodiscard]] std::uint64_t lend(const std::string& team, std::uint64_t tokens, time_ms now);
  /// \returns whether other hosts want more of a team's tokens than this one may use, and its next
  ///   record can promise some
  [[nodiscard]] bool has_unpromised_demand(const std::string& team) const;
  /// \brief Takes tokens that another host lent.
  void receive(const std::string& team, std::uint64_t tokens);
  /// \brief A request waits for loans, or waits no longer: what comes meanwhile is for it.
  void begin_borrowing(const std::string& team, std::uint64_t bound);
  void end_borrowing(const std::string& team, std::uint64_t bound);
  /// \returns tokens lent to this host that no request uses or waits for
  [[nodiscard]] std::uint64_t idle_loans(const std::string& team) const;
  /// \brief Gives up tokens that were lent to this host: from now on it does not use them.
  /// \returns how many: all, or as many as are idle
  [[nodiscard]] std::uint64_t give_back(const std::string& team, std::uint64_t tokens);
  /// \brief Takes tokens that this life of this host lent and nobody used nor will.
  void take_back(const std::string& team, std::uint64_t tokens);
  /// \returns tokens that are missing for a reservation here, beside those that wait for loans
  [[nodiscard]] std::uint64_t shortfall(const std::string& team, std::uint64_t bound,
                                        time_ms now) const;
  /// \returns the other hosts that hold tokens of a team
  [[nodiscard]] std::vector<token_holder> holders(const std::string& team) const;

  /// \brief Records to append at `end()`: grants wanted, slack handed back, use reported. What is
  /// handed back is not used from now on, whether or not the append will be answered.
  /// \param prepaid  by team
  /// \param leaving  hands everything back that is not in use
  [[nodiscard]] std::vector<account_record>
  plan(const std::map<std::string, std::uint64_t>& prepaid, const clock_reading& now, bool leaving);

  /// \returns hosts that wrote lately and hold tokens, this one included
  [[nodiscard]] std::size_t holding_hosts(time_ms now) const;
  /// \returns what all hosts have used of a team's budget, as far as they reported it
  [[nodiscard]] std::uint64_t used(const std::string& team) const;
  [[nodiscard]] std::uint64_t granted(const std::string& team) const;
  /// \returns what this life of this host lent and did not get back
  [[nodiscard]] std::uint64_t lent(const std::string& team) const;
  /// \returns whether the log, as far as it is known, has tokens left to grant for a reservation
  [[nodiscard]] bool grantable(const std::string& team, std::uint64_t prepaid,
                               std::uint64_t bound) const;
  /// \returns what this host may still use at this moment
  [[nodiscard]] std::uint64_t slack(const std::string& team, time_ms now) const;

 private:
  struct known_account {
    account value;
    time_ms written;
  };
  struct team_state {
    std::map<std::string, known_account> accounts; ///< by host
    std::optional<account> previous_incarnation;   ///< last record of the life before this one
    std::map<std::string, time_ms> unreadable; ///< hosts with an unreadable account, and since when
    bool overwritten{false};                   ///< this host's record, by another writer
    std::uint64_t written_off{};               ///< may have been used by earlier lives of this host
    std::uint64_t settled{};                   ///< by this life of this host
    std::uint64_t reserved{};
    std::uint64_t lent{};              ///< to other hosts, by this life
    std::uint64_t received{};          ///< from other hosts, by this life
    std::uint64_t borrowing{};         ///< bounds of requests that wait for loans
    std::uint64_t wanted{};            ///< by reservations that wait for the log
    std::uint64_t unpromised_demand{}; ///< by another host, above what this one had promised to use
    std::vector<account> unacknowledged; ///< written, but not known to be in the log or not
    double rate{};                       ///< tokens a second
    double lent_rate{};                  ///< of these, lent
    double rate_weight{};                ///< of what `rate` was measured from; 1 after a while
    std::uint64_t requests{};            ///< that came since `rate_updated_at`
    double unpromised_rate{};            ///< that others asked for in vain, though it is held here
    double lent_since_update{};          ///< tokens, less those given back, since then
    double unpromised_since_update{};    ///< asked for in vain since then
    time_ms rate_updated_at;
  };
  struct budget_summary;

  void write_off_previous_incarnation(team_state& state) const;
  [[nodiscard]] const team_state* find(const std::string& team) const;
  [[nodiscard]] account own_account(const team_state& state) const;
  /// \returns what this host has used of its grants: not what others lent to it
  [[nodiscard]] std::uint64_t own_use(const team_state& state) const;
  /// \returns granted and not used, whether or not a promise to use less stands
  [[nodiscard]] std::uint64_t own_unused(const team_state& state) const;
  /// \returns granted, not used, and within what this host promised in its records
  [[nodiscard]] std::uint64_t own_slack(const team_state& state, time_ms now) const;
  /// \returns lent to this host and not used by it
  [[nodiscard]] static std::uint64_t unused_loans(const team_state& state) noexcept;
  [[nodiscard]] std::uint64_t total_use(const team_state& state) const;
  void update_rate(team_state& state, time_ms now) const;
  [[nodiscard]] budget_summary summarize(const team_state& state, std::uint64_t prepaid,
                                         time_ms now) const;
  /// \returns tokens that this host should have free; 0 for a team that it shall not hold
  [[nodiscard]] std::uint64_t target_slack(const std::string& team, const team_state& state,
                                           const budget_summary& pool) const;
  /// \param pool  as it is now; null when leaving
  [[nodiscard]] account next_account(const std::string& team, const team_state& state,
                                     const budget_summary* pool) const;
  void promise(account& next, const team_state& state, const budget_summary& pool,
               const clock_reading& now) const;
  /// \returns a record that counts whatever an unreadable account may have granted as used
  [[nodiscard]] std::optional<account_record> write_off_unreadable(const std::string& team,
                                                                   const team_state& state,
                                                                   std::uint64_t prepaid,
                                                                   const clock_reading& now) const;
  /// \returns whether a record would tell the others or a later life something new
  [[nodiscard]] bool should_write(const team_state& state, const account& next) const;

  std::string host_;
  std::uint64_t incarnation_;
  clock_reading started_;
  prepaid_options options_;
  holder_predicate holds_;
  std::unordered_map<std::string, team_state> teams_;
  std::uint64_t end_{0};
  double mean_request_{0}; ///< tokens
};

} // namespace sedgechute
