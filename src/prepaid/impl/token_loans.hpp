#pragma once

#include "kernel/kernel.hpp"
#include "prepaid/impl/budget_manager.hpp"
#include "prepaid/impl/holder_selection.hpp"
#include "prepaid/impl/loan_ledger.hpp"
#include "prepaid/impl/loan_message.hpp"
#include "telemetry/telemetry.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sedgechute {

struct loan_options {
  /// Longest wait for one host's answer: a round trip between data centres takes 3 ms, and a host
  /// with a quarter of a core may be busy with others for twenty.
  time_ms answer_timeout{30};
  /// Longest wait of one request for tokens of other hosts.
  time_ms borrow_timeout{90};
  /// Hosts that one request asks. Each holds part of what its team has left; a large request may
  /// need what several hold.
  std::size_t max_hosts_asked{6};
  /// A host that did not answer is not asked again for so long: it may be cut off.
  time_ms unresponsive_backoff{1000};
  /// Questions without an answer that are remembered; their answers still bring tokens.
  std::size_t max_open_requests{256};
  /// Loans of a host that it may get back. The longest request takes fifteen seconds, and a holder
  /// lends some fifty times a second; what is forgotten counts as used.
  std::size_t max_lent_loans{2048};
  /// Loans of a team that a host can give back.
  std::size_t max_borrowed_loans{64};
};

/// \brief Tokens that hosts lend each other, when the log is out of reach or has none to grant, and
/// give back when they were not used. A message that is lost loses its tokens: they count as used
/// where they were given. Thread-safe.
class token_loans {
 public:
  /// \brief Sends a message to a host; false when no such host is known.
  using sender = std::function<bool(const std::string& host, std::string_view bytes)>;
  using near_predicate = std::function<bool(const std::string& host)>;

  /// \param desk  must not have been started
  /// \param is_near  whether a host is of the own data centre
  token_loans(std::string self, budget_manager& manager, sender send, near_predicate is_near,
              const loan_options& options, const clock& time, structured_log& log);
  token_loans(const token_loans&) = delete;
  token_loans& operator=(const token_loans&) = delete;
  ~token_loans() = default;

  /// \brief Asks hosts in turn until as many tokens as are needed were lent to this host.
  /// \returns how many were
  std::uint64_t borrow(const token_demand& demand, const std::vector<token_holder>& from);

  /// \brief Gives back what was lent of a team's tokens and nobody uses here.
  void give_back(const std::string& team);

  /// \brief Takes a message of another host.
  /// \returns false when the bytes are none, or none that a host sends
  [[nodiscard]] bool handle(std::string_view bytes);

 private:
  struct loan_request {
    std::string team;
    std::uint64_t asked{};              ///< tokens
    bool awaited{true};                 ///< by a request
    bool taken{false};                  ///< its answer has come
    std::optional<std::uint64_t> given; ///< tokens that this host now has
  };

  [[nodiscard]] std::vector<token_holder> order(const std::vector<token_holder>& holders);
  /// \returns nothing when the host did not answer in time
  [[nodiscard]] std::optional<std::uint64_t> ask(const std::string& host, const std::string& team,
                                                 std::uint64_t tokens, time_ms until);
  void lend(const loan_message& asked);
  /// \returns false when nobody who was asked can have said so
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
  std::map<std::uint64_t, loan_request> open_; ///< by number, the oldest first
  std::map<std::string, time_ms> unresponsive_until_;
  lent_ledger lent_;
  borrowed_ledger borrowed_;
  random_source random_;
  std::uint64_t last_request_number_{0};
};

} // namespace sedgechute
