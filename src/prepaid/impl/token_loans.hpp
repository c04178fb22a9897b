#pragma once

#include "kernel/kernel.hpp"
#include "prepaid/impl/budget_manager.hpp"
#include "prepaid/impl/holder_selection.hpp"
#include "prepaid/impl/loan_ledger.hpp"
#include "prepaid/impl/loan_message.hpp"
#include "prepaid/impl/loan_policy.hpp"
#include "telemetry/telemetry.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sedgechute {

struct loan_options {
  /// Wait for one host's answer before the next is asked too: a round trip between data centres
  /// takes 3 ms, and a host with a quarter of a core may be busy with other work for twenty.
  time_ms answer_timeout{30};
  /// Longest wait for tokens of other hosts, unless the request says otherwise.
  time_ms borrow_timeout{90};
  /// Most hosts that one request asks. Each holds a part of the team's tokens, and a large request
  /// may need those of several.
  std::size_t max_hosts_asked{6};
  /// Unanswered requests that are remembered, so that late answers still credit tokens.
  std::size_t max_open_requests{256};
  /// Loans that a lender remembers and may get back. The longest request takes fifteen seconds, and
  /// a holder lends some fifty times a second. A forgotten loan counts as used.
  std::size_t max_lent_loans{2048};
  /// Loans per team that a borrower can return.
  std::size_t max_borrowed_loans{64};
};

/// \brief Lends tokens between hosts when the log is unreachable or has none to grant, and returns
/// unused ones. The tokens of a lost message are lost: they count as used at the lender.
/// Thread-safe.
class token_loans {
 public:
  /// \brief Sends a message to a host; returns false if the host is unknown.
  using sender = std::function<bool(const std::string& host, std::string_view bytes)>;
  using near_predicate = std::function<bool(const std::string& host)>;

  /// \param manager  must not have been started
  /// \param is_near  whether a host is in this host's data centre
  token_loans(std::string self, budget_manager& manager, sender send, near_predicate is_near,
              const loan_options& options, const clock& time, structured_log& log);
  token_loans(const token_loans&) = delete;
  token_loans& operator=(const token_loans&) = delete;
  ~token_loans() = default;

  /// \brief Asks hosts in turn until they have lent the tokens that requests need, and asks for
  /// those of the next requests besides.
  /// \returns the number of tokens lent
  std::uint64_t borrow(const token_demand& demand, const std::vector<token_holder>& from);

  /// \brief Returns idle borrowed tokens of a team to their lenders.
  void give_back(const std::string& team);

  /// \brief Handles a message from another host.
  /// \returns false if the message is malformed, or one that no host sends
  [[nodiscard]] bool handle(std::string_view bytes);

 private:
  struct loan_request {
    std::string host;
    std::string team;
    std::uint64_t asked{};              ///< tokens
    bool awaited{true};                 ///< a request waits for the answer
    bool taken{false};                  ///< the answer has arrived
    std::optional<std::uint64_t> given; ///< tokens credited to this host
  };

  [[nodiscard]] std::vector<token_holder> order(const std::vector<token_holder>& holders);
  /// \returns the number of the request; nothing if the host is unknown
  /// \returns the open question of a round to a host, if any
  [[nodiscard]] std::optional<loan_message> unanswered(const std::vector<std::uint64_t>& numbers,
                                                       const std::string& host) const;
  [[nodiscard]] std::optional<std::uint64_t> ask(const std::string& host, const std::string& team,
                                                 std::uint64_t tokens);
  struct round_progress {
    std::uint64_t lent{};
    std::size_t answers{};
  };
  /// \returns what the answers to the given requests lent; `mutex_` is locked
  [[nodiscard]] round_progress progress_of(const std::vector<std::uint64_t>& numbers) const;
  /// \brief Ends the requests of a round. Those without an answer stay open for a late one.
  [[nodiscard]] std::uint64_t end_round(const std::vector<std::uint64_t>& numbers);
  void lend(const loan_message& asked);
  /// \returns false if no host that was asked can have sent this answer
  [[nodiscard]] bool receive(const loan_message& given);
  void take_back(const loan_message& returned);
  void send_back(const std::string& team, const borrowed_loan& loan);

  std::string self_;
  budget_manager& manager_;
  sender send_;
  near_predicate is_near_;
  loan_options options_;
  const clock& time_;
  structured_log& log_;
  ordered_mutex mutex_{lock_rank::outbox};
  std::condition_variable_any answered_;
  std::map<std::uint64_t, loan_request> open_; ///< by number, oldest first
  silent_hosts silent_;
  lent_ledger lent_;
  borrowed_ledger borrowed_;
  random_source random_;
  std::uint64_t last_request_number_{0};
};

} // namespace sedgechute
