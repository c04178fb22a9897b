// Random schedules of requests at one host that holds no tokens: each borrows what it lacks, its
// loan arrives after other requests began and ended, and it wakes up later still. Unused tokens are
// returned. A request whose loan covered it must not be refused because another request took its
// tokens, and no tokens are used that were not lent.

#include "prepaid/prepaid.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace sedgechute;

namespace {

const std::string team = "team-a";
constexpr std::uint64_t paid = 1000000;
constexpr time_ms now{1000};
constexpr int steps = 300;

struct waiting_request {
  std::uint64_t bound{};
  std::uint64_t asked{};
  bool delivered{false};
};

class schedule {
 public:
  explicit schedule(std::uint64_t seed) : random_{seed} {}

  /// \returns requests that were refused although their loans covered them
  [[nodiscard]] int run() {
    for (int i = 0; i < steps; ++i)
      step();
    return refused_;
  }
  /// \returns tokens that requests reserved or used and that no host lent
  [[nodiscard]] std::uint64_t used_without_loan() const {
    return spent_ > lent_ ? spent_ - lent_ : 0;
  }
  [[nodiscard]] int reserved() const noexcept { return reserved_; }

 private:
  void step() {
    switch (random_.below(5)) {
    case 0:
    case 1:
      return begin();
    case 2:
      return deliver_loan();
    case 3:
      return wake();
    default:
      return settle();
    }
  }

  void begin() {
    const std::uint64_t bound = 1 + random_.below(500);
    const std::uint64_t asked = book_.shortfall(team, bound, now);
    if (asked == 0)
      return reserve(bound);
    book_.begin_borrowing(team, bound);
    waiting_.push_back({bound, asked});
  }

  void deliver_loan() {
    if (waiting_.empty())
      return;
    waiting_request& one = waiting_[random_.below(waiting_.size())];
    if (one.delivered)
      return;
    one.delivered = true;
    lent_ += one.asked;
    book_.receive(team, one.asked);
  }

  void wake() {
    if (waiting_.empty())
      return;
    const std::size_t index = random_.below(waiting_.size());
    const waiting_request one = waiting_[index];
    if (!one.delivered)
      return;
    waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(index));
    book_.end_borrowing(team, one.bound);
    reserve(one.bound);
  }

  void reserve(std::uint64_t bound) {
    if (book_.reserve(team, paid, bound, now) != reserve_outcome::reserved) {
      ++refused_;
      return;
    }
    ++reserved_;
    spent_ += bound;
    open_.push_back(bound);
  }

  void settle() {
    if (!open_.empty()) {
      const std::uint64_t bound = open_.back();
      const std::uint64_t used = random_.below(bound + 1);
      open_.pop_back();
      spent_ -= bound - used;
      book_.settle(team, bound, used);
    }
    if (random_.below(2) == 0)
      lent_ -= book_.give_back(team, book_.idle_loans(team));
  }

  random_source random_;
  partition_budgets book_{"taker", 1, {}, prepaid_options{}};
  std::vector<waiting_request> waiting_;
  std::vector<std::uint64_t> open_; ///< bounds
  std::uint64_t lent_{0};           ///< lent and not returned
  std::uint64_t spent_{0};
  int refused_{0};
  int reserved_{0};
};

} // namespace

TEST_CASE("no schedule refuses a request that was lent all that it asked for") {
  int reserved = 0;
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    schedule one{seed};
    INFO("seed ", seed);
    REQUIRE(one.run() == 0);
    REQUIRE(one.used_without_loan() == 0);
    reserved += one.reserved();
  }
  CHECK(reserved > 2000 * 10); // else the schedules test nothing
}
