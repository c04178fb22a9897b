#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief Identifies a loan for both hosts: the borrower and the number of its request.
struct loan_key {
  std::string borrower;
  std::string team;
  std::uint64_t number{}; ///< number of the request; no incarnation of the borrower reuses it

  auto operator<=>(const loan_key&) const = default;
};

/// \brief Loans that this incarnation of a host made and may get back. No I/O; not thread-safe.
class lent_ledger {
 public:
  explicit lent_ledger(std::size_t capacity) : capacity_{capacity} {}

  void note(const loan_key& loan, std::uint64_t tokens);
  /// \returns the tokens lent for a request that was answered before, or nothing if it is new
  [[nodiscard]] std::optional<std::uint64_t> given(const loan_key& loan) const;
  /// \brief Closes a loan when its borrower returns what it did not use.
  /// \returns the tokens to credit, at most those lent; none if the loan is unknown or closed
  [[nodiscard]] std::uint64_t close(const loan_key& loan, std::uint64_t returned);

 private:
  std::size_t capacity_;
  std::map<loan_key, std::uint64_t> open_;
  std::deque<loan_key> oldest_first_; ///< open loans and some closed ones
};

/// \brief A loan as its borrower records it.
struct borrowed_loan {
  std::string lender;
  std::uint64_t number{};
  std::uint64_t tokens{};

  bool operator==(const borrowed_loan&) const = default;
};

/// \brief Loans that this incarnation of a host received and can return, by team. No I/O; not
/// thread-safe.
class borrowed_ledger {
 public:
  explicit borrowed_ledger(std::size_t capacity) : capacity_{capacity} {}

  void note(const std::string& team, const borrowed_loan& loan);
  /// \brief Removes loans that are to be returned, newest first.
  /// \returns loans of together at most `unused` tokens, each with the tokens to return
  [[nodiscard]] std::vector<borrowed_loan> take(const std::string& team, std::uint64_t unused);

 private:
  std::size_t capacity_;                                   ///< loans per team
  std::map<std::string, std::deque<borrowed_loan>> loans_; ///< oldest first
};

} // namespace sedgechute
