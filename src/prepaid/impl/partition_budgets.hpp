#pragma once

#include "prepaid/impl/account.hpp"
#include "prepaid/impl/prepaid_options.hpp"
#include "prepaid/impl/recent_demand.hpp"
#include "prepaid/impl/request_pauses.hpp"

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
  short_here, ///< the budget may cover it, but this host's tokens do not
  exhausted,  ///< the rest of the budget does not cover it
};

template <>
struct enum_names<reserve_outcome> {
  static constexpr auto entries =
      enum_table<reserve_outcome>({{reserve_outcome::reserved, "reserved"},
                                   {reserve_outcome::short_here, "short_here"},
                                   {reserve_outcome::exhausted, "exhausted"}});
};

/// \brief A host that holds tokens of a team, according to its last record.
struct token_holder {
  std::string host;
  std::uint64_t slack{};
};

/// \brief Tokens counted as used by an earlier incarnation of this host, although it may not have
/// used them.
struct write_off {
  std::string team;
  account last;                   ///< last account of that incarnation
  std::optional<time_ms> elapsed; ///< longest time from `last` to its end; nothing if unknown
  std::uint64_t used{};           ///< tokens counted as used, of those granted in `last`
};

/// \brief One host's view of the budgets of a partition, and its own use of them. No I/O: time is
/// passed in, and records are returned. Not thread-safe.
///
/// Each `now` is by the clock of `clock_reading::boot`, which also measures the time since a
/// promise.
class partition_budgets {
 public:
  /// \brief Whether this host holds tokens of a team, for itself and other hosts.
  using holder_predicate = std::function<bool(const std::string& team)>;

  /// \param started  when this incarnation of the host began; all earlier ones had ended by then
  partition_budgets(std::string host, std::uint64_t incarnation, const clock_reading& started,
                    const prepaid_options& options);

  /// \brief Sets the teams whose tokens this host holds. Of other teams it is granted only what its
  /// requests use.
  void set_holder_predicate(holder_predicate holds) { holds_ = std::move(holds); }
  [[nodiscard]] bool holds(const std::string& team) const { return !holds_ || holds_(team); }
  /// \returns whether this host or, by their records, another one expects requests of a team
  [[nodiscard]] bool active(const std::string& team, time_ms now) const;
  /// \returns tokens beyond the reported use that this host's last record allows within a time
  [[nodiscard]] std::uint64_t promised(const std::string& team, time_ms within) const;
  /// \returns whether this host has unused grants
  [[nodiscard]] bool holds_tokens() const;
  /// \returns whether requests or other hosts rely on this host's next record
  [[nodiscard]] bool needs_prompt_sync() const;

  /// \brief Corrects the start of this incarnation, and recomputes what earlier ones may have used.
  void restate_start(const clock_reading& started);
  [[nodiscard]] const clock_reading& started() const noexcept { return started_; }
  [[nodiscard]] std::vector<write_off> write_offs() const;

  /// \brief Applies a record of the log, in log order; `end` is the offset after it.
  void apply(const account_record& record, std::uint64_t end, time_ms now);
  /// \brief The newest record under a host's key is unreadable or was deleted. This frees no
  /// tokens: what the host was last known to hold stays granted to it, and `plan` restores that
  /// record. If nothing is known of the host, it may hold all tokens of the recorded budget that no
  /// other host holds; `plan` writes them off as used after a timeout.
  void note_unreadable(const std::string& team, const std::string& host, time_ms now);
  /// \brief The same, if all earlier records were read: a host of which nothing is known has no
  /// account.
  void note_overwritten(const std::string& team, const std::string& host, time_ms now);
  /// \brief Records of a host may have been missed, and its newest one is unreadable: what is known
  /// of its account may be out of date, and counts as unknown. This host still knows its own
  /// account if no append is unanswered.
  void forget_account(const std::string& team, const std::string& host);
  /// \returns the keys of the accounts and recorded budgets that are known
  [[nodiscard]] std::vector<std::string> known_keys() const;
  /// \brief Applies a team's recorded budget, in log order.
  void apply(const budget_record& record);
  /// \brief The newest record of a team's recorded budget is unreadable or was deleted.
  void note_unreadable_budget(const std::string& team);
  /// \brief The same, if records may have been missed: what is known of it may be out of date.
  void forget_budget(const std::string& team);
  /// \returns the team's recorded budget, if it is known
  [[nodiscard]] std::optional<std::uint64_t> recorded_budget(const std::string& team) const;
  /// \brief The log was read up to `end`, including records that are not accounts.
  void advance(std::uint64_t end) noexcept;
  [[nodiscard]] std::uint64_t end() const noexcept { return end_; }
  [[nodiscard]] const std::string& host() const noexcept { return host_; }
  /// \returns whether the newest record of a host is unreadable, and no earlier one is known
  [[nodiscard]] bool is_unreadable(const std::string& team, const std::string& host) const;

  /// \brief Counts a request for a team's tokens, whatever its outcome.
  void note_request(const std::string& team, std::uint64_t bound, time_ms now);
  /// \param prepaid  tokens that the team has paid for today
  [[nodiscard]] reserve_outcome reserve(const std::string& team, std::uint64_t prepaid,
                                        std::uint64_t bound, time_ms now);
  /// \returns the time until this host's promise covers a reservation without a further record;
  /// nothing if it never does
  [[nodiscard]] std::optional<time_ms> covered_after(const std::string& team, std::uint64_t bound,
                                                     time_ms now) const;
  /// \brief A reservation that fell short begins or ends its wait for the next records.
  void begin_waiting(const std::string& team, std::uint64_t bound);
  void end_waiting(const std::string& team, std::uint64_t bound);
  /// \brief Ends a reservation of `bound` tokens; `used` is at most `bound`.
  void settle(const std::string& team, std::uint64_t bound, std::uint64_t used);

  /// \brief Lends tokens to another host; they count as used here.
  /// \param borrower  the other host: what it asks for replaces what it asked for before
  /// \returns the number of tokens lent: all, or as many as this host's promise allows. What it
  /// holds beyond the promise is requested from its next record.
  [[nodiscard]] std::uint64_t lend(const std::string& team, std::uint64_t tokens, time_ms now,
                                   const std::string& borrower = {});
  /// \returns whether other hosts asked for more of a team's tokens than this host's promise
  /// allows, and its next record can promise some
  [[nodiscard]] bool has_unpromised_demand(const std::string& team) const;
  /// \brief Credits tokens that another host lent.
  void receive(const std::string& team, std::uint64_t tokens);
  /// \brief A request begins or ends its wait for loans; loans that arrive meanwhile are kept for
  /// it.
  void begin_borrowing(const std::string& team, std::uint64_t bound);
  void end_borrowing(const std::string& team, std::uint64_t bound);
  /// \returns borrowed tokens that no request uses or waits for, without those kept for the
  /// requests of the next second
  [[nodiscard]] std::uint64_t idle_loans(const std::string& team) const;
  /// \returns the teams that have idle loans because they sent no request in the last second
  [[nodiscard]] std::vector<std::string> release_kept_loans(time_ms now);
  /// \brief Keeps no loans from now on.
  /// \returns the teams that have idle loans
  [[nodiscard]] std::vector<std::string> release_all_loans();
  /// \returns tokens that requests lack which wait for loans
  [[nodiscard]] std::uint64_t unfunded(const std::string& team, time_ms now) const;
  /// \returns tokens to borrow besides those that requests lack
  [[nodiscard]] std::uint64_t loan_ahead(const std::string& team, time_ms now) const;
  /// \brief Debits borrowed tokens that are to be returned; they are not used from now on.
  /// \returns the number debited, at most the idle ones
  [[nodiscard]] std::uint64_t give_back(const std::string& team, std::uint64_t tokens);
  /// \brief Credits tokens that this incarnation lent and that were returned unused.
  void take_back(const std::string& team, std::uint64_t tokens);
  /// \returns tokens that this host lacks for a reservation, besides those kept for requests that
  /// wait for loans
  [[nodiscard]] std::uint64_t shortfall(const std::string& team, std::uint64_t bound,
                                        time_ms now) const;
  /// \returns the other hosts that hold tokens of a team
  [[nodiscard]] std::vector<token_holder> holders(const std::string& team) const;

  /// \brief Returns records to append at `end()`, which request grants, return slack and report
  /// use. Returned slack is not used from now on, whether or not the append is answered.
  /// \param prepaid  paid tokens by team
  /// \param leaving  returns all tokens that are not in use
  [[nodiscard]] std::vector<account_record>
  plan(const std::map<std::string, std::uint64_t>& prepaid, const clock_reading& now, bool leaving);

  /// \returns the number of hosts that wrote recently and hold tokens, including this one
  [[nodiscard]] std::size_t holding_hosts(time_ms now) const;
  /// \returns the tokens of a team's budget that all hosts have reported as used
  [[nodiscard]] std::uint64_t used(const std::string& team) const;
  [[nodiscard]] std::uint64_t granted(const std::string& team) const;
  /// \returns tokens that this incarnation lent and that were not returned
  [[nodiscard]] std::uint64_t lent(const std::string& team) const;
  /// \returns whether the log, as far as it was read, has enough tokens left to grant for a
  /// reservation
  [[nodiscard]] bool grantable(const std::string& team, std::uint64_t prepaid,
                               std::uint64_t bound) const;
  /// \returns tokens that this host may use at `now`
  [[nodiscard]] std::uint64_t slack(const std::string& team, time_ms now) const;

 private:
  struct known_account {
    account value;
    time_ms written;
  };
  struct team_state {
    std::map<std::string, known_account> accounts; ///< by host
    std::optional<account> previous_incarnation;   ///< last record of the previous incarnation
    std::map<std::string, time_ms> unreadable; ///< hosts with an unreadable account, and since when
    std::set<std::string> overwritten; ///< hosts whose known account another writer replaced
    std::optional<std::uint64_t> recorded_budget;
    bool budget_overwritten{false}; ///< another writer replaced the recorded budget
    std::uint64_t written_off{};    ///< tokens that earlier incarnations may have used
    std::uint64_t settled{};        ///< tokens used by this incarnation
    std::uint64_t reserved{};
    std::uint64_t lent{};                            ///< to other hosts, by this incarnation
    std::uint64_t received{};                        ///< from other hosts, by this incarnation
    std::uint64_t borrowing{};                       ///< bounds of requests that wait for loans
    std::uint64_t wanted{};                          ///< by reservations that wait for the log
    std::map<std::string, std::uint64_t> unpromised; ///< loan requests beyond the promise, by host
    recent_demand asked_for;                         ///< tokens that other hosts asked for
    recent_demand demand;    ///< tokens that requests at this host asked for
    request_pauses pauses;   ///< between requests at this host, and those of other hosts for loans
    std::uint64_t prepaid{}; ///< as of the last reservation
    std::uint64_t kept{};    ///< borrowed tokens that are kept for the next requests
    std::vector<account> unacknowledged; ///< appended, but not known whether they are in the log
    double rate{};                       ///< tokens a second
    double lent_rate{};                  ///< part of `rate` that was lent
    double rate_weight{};                ///< weight of the observations in `rate`; approaches 1
    std::uint64_t requests{};            ///< requests since `rate_updated_at`
    double unpromised_rate{};   ///< tokens per second that others asked for beyond the promise
    double lent_since_update{}; ///< tokens lent since then, minus those returned
    double unpromised_since_update{}; ///< tokens asked for beyond the promise since then
    time_ms rate_updated_at;
  };
  struct budget_summary;

  /// \returns tokens that the next record promises to hosts that wait for them
  [[nodiscard]] static std::uint64_t unpromised_demand(const team_state& state, time_ms now);
  [[nodiscard]] bool is_active(const team_state& state, time_ms now) const;
  void write_off_previous_incarnation(team_state& state) const;
  [[nodiscard]] const team_state* find(const std::string& team) const;
  [[nodiscard]] account own_account(const team_state& state) const;
  /// \returns tokens that this host has used of its grants, without borrowed ones
  [[nodiscard]] std::uint64_t own_use(const team_state& state) const;
  /// \returns tokens granted and not used, whatever the promise
  [[nodiscard]] std::uint64_t own_unused(const team_state& state) const;
  /// \returns tokens granted, not used, and within this host's promise
  [[nodiscard]] std::uint64_t own_slack(const team_state& state, time_ms now) const;
  /// \returns tokens borrowed and not used
  [[nodiscard]] static std::uint64_t unused_loans(const team_state& state) noexcept;
  [[nodiscard]] std::uint64_t total_use(const team_state& state) const;
  /// \returns the tokens granted to all hosts, as far as their accounts are known
  [[nodiscard]] static std::uint64_t total_granted(const team_state& state) noexcept;
  void update_rate(team_state& state, time_ms now) const;
  [[nodiscard]] budget_summary summarize(const team_state& state, std::uint64_t prepaid,
                                         time_ms now) const;
  /// \returns slack that this host should have; for a team that it does not hold, only what
  /// reservations wait for
  [[nodiscard]] std::uint64_t target_slack(const std::string& team, const team_state& state,
                                           const budget_summary& pool) const;
  /// \param pool  current totals; null when leaving
  [[nodiscard]] account next_account(const std::string& team, const team_state& state,
                                     const budget_summary* pool) const;
  /// \param remaining_fraction  unused part of the budget
  void promise(const std::string& team, account& next, const team_state& state,
               double remaining_fraction, const clock_reading& now) const;
  /// \returns records of other hosts as they were before another writer replaced them
  [[nodiscard]] std::vector<account_record> restored_accounts(const std::string& team,
                                                              const team_state& state) const;
  /// \returns the recorded budget to append with an account; nothing if the log has it
  [[nodiscard]] static std::optional<std::uint64_t> budget_to_record(const team_state& state,
                                                                     std::uint64_t prepaid);
  /// \returns a record that counts as used whatever an unreadable account may have been granted
  [[nodiscard]] std::optional<account_record> write_off_unreadable(const std::string& team,
                                                                   const team_state& state,
                                                                   std::uint64_t prepaid,
                                                                   const clock_reading& now) const;
  /// \param remaining_fraction  unused part of the budget
  /// \returns whether a record would be new to other hosts or to a later incarnation
  [[nodiscard]] bool should_write(const team_state& state, const account& next,
                                  double remaining_fraction) const;

  std::string host_;
  std::uint64_t incarnation_;
  clock_reading started_;
  prepaid_options options_;
  holder_predicate holds_;
  std::unordered_map<std::string, team_state> teams_;
  std::uint64_t end_{0};
  bool keeps_loans_{true};
  double mean_request_{0}; ///< tokens
};

} // namespace sedgechute
