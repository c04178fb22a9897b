#include "prepaid/impl/loan_ledger.hpp"

#include <algorithm>

namespace sedgechute {

void lent_ledger::note(const loan_key& loan, std::uint64_t tokens) {
  open_[loan] = tokens;
  oldest_first_.push_back(loan);
  while (oldest_first_.size() > capacity_) {
    open_.erase(oldest_first_.front());
    oldest_first_.pop_front();
  }
}

std::optional<std::uint64_t> lent_ledger::given(const loan_key& loan) const {
  const auto at = open_.find(loan);
  return at == open_.end() ? std::nullopt : std::optional{at->second};
}

// A return message may arrive twice or late, and a duplicate must credit nothing: the borrower
// debited the tokens once. So the first message closes the loan, even if it returns a part. The
// loan stays known, so that a repeated question that arrives late is not taken for a new one. A
// later incarnation of this host knows no loan of this one: it counts as used whatever this one may
// have lent.
std::uint64_t lent_ledger::close(const loan_key& loan, std::uint64_t returned) {
  const auto at = open_.find(loan);
  if (at == open_.end())
    return 0;
  const std::uint64_t credited = std::min(at->second, returned);
  at->second = 0;
  return credited;
}

void borrowed_ledger::note(const std::string& team, const borrowed_loan& loan) {
  std::deque<borrowed_loan>& of_team = loans_[team];
  of_team.push_back(loan);
  if (of_team.size() > capacity_)
    of_team.pop_front();
}

// Requests do not record which loan's tokens they use, and for the team it makes no difference
// which loan is returned. The lenders of the newest loans are the most likely to be running still.
std::vector<borrowed_loan> borrowed_ledger::take(const std::string& team, std::uint64_t unused) {
  std::vector<borrowed_loan> taken;
  std::deque<borrowed_loan>& of_team = loans_[team];
  while (unused > 0 && !of_team.empty()) {
    taken.push_back(of_team.back());
    of_team.pop_back();
    taken.back().tokens = std::min(taken.back().tokens, unused);
    unused -= taken.back().tokens;
  }
  return taken;
}

} // namespace sedgechute
