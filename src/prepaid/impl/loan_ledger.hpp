#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief Names a loan for both hosts: the question that it answered, and who asked.
struct loan_key {
  std::string borrower;
  std::string team;
  std::uint64_t number{}; ///< of the question, never used again by any life of the borrower

  auto operator<=>(const loan_key&) const = default;
};

/// \brief What this life of a host lent and may get back. Pure; not thread-safe.
class lent_ledger {
 public:
  explicit lent_ledger(std::size_t capacity) : capacity_{capacity} {}

  void note(const loan_key& loan, std::uint64_t tokens);
  /// \returns what was given when the same question came before; nothing when it is new
  [[nodiscard]] std::optional<std::uint64_t> given(const loan_key& loan) const;
  /// \brief The borrower gives back what it did not use; that ends the loan.
  /// \returns tokens that were lent and are not used; none where the loan is not known or over
  [[nodiscard]] std::uint64_t close(const loan_key& loan, std::uint64_t returned);

 private:
  std::size_t capacity_;
  std::map<loan_key, std::uint64_t> open_;
  std::deque<loan_key> oldest_first_; ///< of those that are open, and some that are over
};

/// \brief A loan as its borrower knows it.
struct borrowed_loan {
  std::string lender;
  std::uint64_t number{};
  std::uint64_t tokens{};

  bool operator==(const borrowed_loan&) const = default;
};

/// \brief What this life of a host borrowed and can give back, by team. Pure; not thread-safe.
class borrowed_ledger {
 public:
  explicit borrowed_ledger(std::size_t capacity) : capacity_{capacity} {}

  void note(const std::string& team, const borrowed_loan& loan);
  /// \brief Takes out loans that are to be given back, the newest first.
  /// \returns loans with as many tokens as are not used, each with what it still can give back
  [[nodiscard]] std::vector<borrowed_loan> take(const std::string& team, std::uint64_t unused);

 private:
  std::size_t capacity_;                                   ///< of each team
  std::map<std::string, std::deque<borrowed_loan>> loans_; ///< the oldest first
};

} // namespace sedgechute
