#pragma once

#include "kernel/kernel.hpp"
#include "prepaid/impl/partition_budgets.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief A host borrows for this time of its own demand besides what its requests lack.
constexpr time_ms loan_ahead_window{500};
/// \brief It keeps what it uses in this time. A borrower that is killed loses what it keeps.
constexpr time_ms loan_kept_window{1000};
/// \brief Most tokens that a host borrows ahead or keeps, as a part of the team's budget.
constexpr double max_kept_fraction{0.01};

/// \param rate  tokens a second that requests of the team ask for at this host
/// \param prepaid  the team's budget
/// \returns tokens to borrow or to keep for the demand of `window`
[[nodiscard]] std::uint64_t tokens_for(double rate, time_ms window, std::uint64_t prepaid) noexcept;

/// \brief Hosts that did not answer questions lately. They are asked again after a pause, which
/// doubles with each question that they leave unanswered. No I/O; not thread-safe.
class silent_hosts {
 public:
  void note_silence(const std::string& host, time_ms now);
  void note_answer(const std::string& host) { hosts_.erase(host); }
  [[nodiscard]] bool may_answer(const std::string& host, time_ms now) const;

 private:
  struct silence {
    time_ms until;
    time_ms pause;
  };
  std::map<std::string, silence> hosts_;
};

struct loan_round_options {
  /// After this time without an answer the next host is asked too.
  time_ms answer_timeout{30};
  /// It is shorter if the wait leaves no time for this many questions.
  std::int64_t questions_in_wait{5};
  /// The least one; a round trip within a data centre takes a few milliseconds.
  time_ms least_answer_timeout{8};
  std::size_t max_hosts_asked{6};
};

/// \brief Whom a host asks for a loan, and when. The caller sends the questions and counts the
/// answers. No I/O; not thread-safe.
class loan_round {
 public:
  enum class action_kind {
    ask,  ///< ask `host` for `tokens`; repeat a question that it has not answered
    wait, ///< for an answer, until `until`
    end,
  };
  struct action {
    action_kind kind{action_kind::end};
    std::string host;
    std::uint64_t tokens{};
    time_ms until;
  };

  /// \param order  the hosts, in the order in which they are asked
  /// \param needed  ends the round when lent
  /// \param ahead  asked for besides
  loan_round(std::vector<token_holder> order, std::uint64_t needed, std::uint64_t ahead,
             time_ms until, const loan_round_options& options);

  /// \param lent  tokens lent by the answers of this round so far
  /// \param answers  their number
  [[nodiscard]] action next(std::uint64_t lent, std::size_t answers, time_ms now);
  [[nodiscard]] std::size_t asked() const noexcept { return asked_; }

 private:
  [[nodiscard]] time_ms answer_timeout() const;

  std::vector<token_holder> order_;
  std::uint64_t needed_;
  std::uint64_t ahead_;
  time_ms until_;
  loan_round_options options_;
  std::size_t asked_{0};
  time_ms first_asked_at_;
  time_ms last_asked_at_;
};

} // namespace sedgechute
