#include "log_model.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <thread>

using namespace sedgechute;

namespace {

const std::string team = "team-a";

/// A log that only one budget manager uses.
class private_log final : public account_log {
 public:
  account_page newest() override { return read(0); }
  account_page retained() override { return read(0); }

  account_page read(std::uint64_t from) override {
    account_page page;
    page.end = log_.end();
    page.records.assign(log_.records.begin() + static_cast<std::ptrdiff_t>(from),
                        log_.records.end());
    return page;
  }

  std::optional<std::uint64_t> append_at(std::uint64_t end,
                                         const std::vector<account_record>& records) override {
    if (!log_.append_at(end, records))
      return std::nullopt;
    return log_.end();
  }

 private:
  log_model log_;
};

std::vector<std::unique_ptr<account_log>> one_log() {
  std::vector<std::unique_ptr<account_log>> all;
  all.push_back(std::make_unique<private_log>());
  return all;
}

bool near_none(const std::string&) {
  return false;
}

/// Two hosts whose messages are delivered at once, or lost.
class two_hosts {
 public:
  two_hosts() {
    for (host* one : {&giver_, &taker_}) {
      one->manager.set_prepaid({{team, 100000}});
      one->manager.start();
    }
    for (int i = 0;
         i < 500 && (giver_.manager.totals()[team].slack == 0 || !taker_.manager.loaded()); ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }

  struct host {
    host(const std::string& name, token_loans::sender send)
        : log{{.host = name, .file = "/dev/null"}}, manager{{name, 1, {}}, prepaid_options{},
                                                            one_log(),     time,
                                                            faults,        log},
          loans{name, manager, std::move(send), near_none, loan_options{}, time, log} {}
    host(const host&) = delete;
    host& operator=(const host&) = delete;
    ~host() { manager.stop(); }

    boot_clock since_start;
    fleet_clock time{since_start};
    structured_log log;
    metrics figures{"loans-test"};
    entry_faults faults{log, figures};
    budget_manager manager;
    token_loans loans;
  };

  bool questions_lost{false};
  bool answers_lost{false};
  bool returns_lost{false};
  std::string last_answer;
  std::string last_return;

  [[nodiscard]] host& giver() { return giver_; }
  [[nodiscard]] host& taker() { return taker_; }
  [[nodiscard]] std::uint64_t borrow(std::uint64_t tokens) {
    return taker_.loans.borrow({team, tokens, "id-1"}, {{"giver", 1000}});
  }

  /// \returns tokens that the giver lent and that were not returned
  [[nodiscard]] std::uint64_t lent() { return giver_.manager.totals()[team].lent; }

 private:
  host giver_{"giver", [this](const std::string& to, std::string_view bytes) {
                last_answer = bytes;
                return to == "taker" && (answers_lost || taker_.loans.handle(bytes));
              }};
  host taker_{"taker", [this](const std::string& to, std::string_view bytes) {
                const auto message = decode_loan(bytes);
                const bool returned = message && message->step == loan_step::returned;
                if (returned)
                  last_return = bytes;
                const bool lost = returned ? returns_lost : questions_lost;
                return to == "giver" && (lost || giver_.loans.handle(bytes));
              }};
};

} // namespace

TEST_CASE("a message about tokens reads back as it was written") {
  const loan_message written{loan_step::given, 77, 1234, "host-1", team};
  CHECK(decode_loan(encode_loan(written)) == written);
}

TEST_CASE("bytes that no host wrote are no message about tokens") {
  for (const char* bytes :
       {"", "asked", "asked\n1\n2\nh", "asked\n1\n2\nh\nt\nmore", "lost\n1\n2\nh\nt",
        "asked\nx\n2\nh\nt", "asked\n1\n-2\nh\nt", "asked\n1\n2\n\nt", "asked\n1\n2\nh\n",
        "asked\n1\n99999999999999999999999\nh\nt"}) {
    INFO(bytes);
    CHECK_FALSE(decode_loan(bytes).has_value());
  }
}

// One host has tokens, the other has callers. Lent tokens leave the lender and are usable at the
// borrower.
TEST_CASE("a host lends what another needs") {
  two_hosts hosts;
  const std::uint64_t before = hosts.giver().manager.totals()[team].slack;
  REQUIRE(before >= 100);
  const std::uint64_t held = hosts.taker().manager.totals()[team].slack;
  CHECK(hosts.borrow(100) == 100);
  CHECK(hosts.taker().manager.totals()[team].slack >= held + 100);
}

TEST_CASE("a host lends no more than it may use") {
  two_hosts hosts;
  CHECK(hosts.borrow(1000000) <= 100000);
}

// The host that is asked is cut off. The request does not wait for it, and the next request does
// not ask it again at once.
TEST_CASE("a host that does not answer is not asked again for a while") {
  two_hosts hosts;
  hosts.questions_lost = true;
  CHECK(hosts.borrow(100) == 0);
  hosts.questions_lost = false;
  CHECK(hosts.borrow(100) == 0);
}

// An answer arrives after its request has given up. Its tokens count as used at the lender and no
// request uses them here, so they are returned; only once, although the answer arrives twice.
TEST_CASE("a late answer returns its tokens once") {
  two_hosts hosts;
  hosts.answers_lost = true;
  CHECK(hosts.borrow(100) == 0);
  hosts.answers_lost = false;
  CHECK(hosts.lent() == 100);
  const std::string late = hosts.last_answer;
  REQUIRE(hosts.taker().loans.handle(late));
  CHECK(hosts.taker().manager.idle_loans(team) == 0);
  CHECK(hosts.lent() == 0);
  REQUIRE(hosts.borrow(60) == 60);
  REQUIRE(hosts.taker().loans.handle(late));
  CHECK(hosts.taker().manager.idle_loans(team) == 60);
  CHECK(hosts.lent() == 60);
}

// A request borrows the most that it may use, and uses less. The rest is returned to the lender; a
// duplicate of the return message, after other loans, credits nothing more.
TEST_CASE("unused borrowed tokens are returned once") {
  two_hosts hosts;
  REQUIRE(hosts.borrow(100) == 100);
  CHECK(hosts.lent() == 100);
  REQUIRE(hosts.taker().manager.reserve(team, 100) == reserve_outcome::reserved);
  hosts.taker().manager.settle(team, 100, 30);
  CHECK(hosts.taker().manager.idle_loans(team) == 0);
  CHECK(hosts.lent() == 30);
  REQUIRE(hosts.borrow(200) == 200);
  REQUIRE(hosts.giver().loans.handle(hosts.last_return));
  CHECK(hosts.lent() == 230);
}

// A message returns more tokens than were lent. The excess was never counted as used, so tokens
// that another loan still uses would look free.
TEST_CASE("a return credits at most the tokens of its loan") {
  two_hosts hosts;
  REQUIRE(hosts.borrow(100) == 100);
  REQUIRE(hosts.taker().manager.reserve(team, 100) == reserve_outcome::reserved);
  REQUIRE(hosts.borrow(60) == 60);
  REQUIRE(hosts.taker().manager.reserve(team, 60) == reserve_outcome::reserved);
  REQUIRE(hosts.lent() == 160);
  auto returned = decode_loan(hosts.last_answer);
  REQUIRE(returned.has_value());
  returned->step = loan_step::returned;
  returned->host = "taker";
  returned->tokens = 150;
  REQUIRE(hosts.giver().loans.handle(encode_loan(*returned)));
  CHECK(hosts.lent() == 100);
}

// A host stops while a request uses borrowed tokens. When the request ends, the rest is returned
// too.
TEST_CASE("a host that stops gives back what others lent it") {
  two_hosts hosts;
  REQUIRE(hosts.borrow(100) == 100);
  REQUIRE(hosts.taker().manager.reserve(team, 100) == reserve_outcome::reserved);
  (void)hosts.taker().manager.finish(time_ms{2000});
  hosts.taker().manager.settle(team, 100, 30);
  CHECK(hosts.lent() == 30);
}

// The message that returns tokens is lost. They count as used at the lender and are not used at the
// borrower.
TEST_CASE("tokens whose return is lost are used by no host") {
  two_hosts hosts;
  hosts.returns_lost = true;
  REQUIRE(hosts.borrow(100) == 100);
  REQUIRE(hosts.taker().manager.reserve(team, 100) == reserve_outcome::reserved);
  hosts.taker().manager.settle(team, 100, 30);
  CHECK(hosts.taker().manager.idle_loans(team) == 0);
  CHECK(hosts.lent() == 100);
}

// Two requests of a team run at once. The one that ends must not return tokens that the other waits
// for.
TEST_CASE("tokens that a request waits for are not returned when another ends") {
  partition_budgets budgets{"taker", 1, {}, prepaid_options{}};
  budgets.begin_borrowing(team, 100);
  budgets.receive(team, 60);
  CHECK(budgets.idle_loans(team) == 0);
  CHECK(budgets.give_back(team, 60) == 0);
  budgets.end_borrowing(team, 100);
  CHECK(budgets.give_back(team, 100) == 60);
  CHECK(budgets.idle_loans(team) == 0);
}

// A loan request arrives twice. The tokens of a second loan would be lost, since its answer is not
// expected.
TEST_CASE("a duplicate loan request gets the same answer and lends once") {
  two_hosts hosts;
  const std::string question = encode_loan({loan_step::asked, 9, 50, "taker", team});
  REQUIRE(hosts.giver().loans.handle(question));
  const std::uint64_t lent = hosts.lent();
  REQUIRE(hosts.giver().loans.handle(question));
  CHECK(hosts.lent() == lent);
}

TEST_CASE("an answer without a request credits nothing") {
  two_hosts hosts;
  const std::uint64_t held = hosts.taker().manager.totals()[team].slack;
  REQUIRE(hosts.taker().loans.handle(
      encode_loan({loan_step::given, 5, std::uint64_t{1} << 40U, "giver", team})));
  CHECK(hosts.taker().manager.totals()[team].slack < held + 100000);
  CHECK_FALSE(hosts.taker().loans.handle("garbage"));
}

// An answer has more tokens than were requested. No host counts the excess as used, so the team
// could use more than it paid for.
TEST_CASE(
    "an answer with more tokens than requested credits nothing, and the correct one still does") {
  two_hosts hosts;
  hosts.answers_lost = true;
  CHECK(hosts.borrow(100) == 0);
  const std::uint64_t held = hosts.taker().manager.totals()[team].slack;
  auto answer = decode_loan(hosts.last_answer);
  REQUIRE(answer.has_value());
  REQUIRE(answer->tokens == 100);
  answer->tokens = std::uint64_t{1} << 40U;
  CHECK_FALSE(hosts.taker().loans.handle(encode_loan(*answer)));
  CHECK(hosts.taker().manager.totals()[team].slack < held + 100000);
  CHECK(hosts.lent() == 100);
  REQUIRE(hosts.taker().loans.handle(hosts.last_answer));
  CHECK(hosts.taker().manager.idle_loans(team) == 0); // no request waits for them any more
  CHECK(hosts.lent() == 0);
}

// Guards against tokens that are lent to nobody: the question of a loan that was returned may
// arrive once more, and its borrower no longer waits for an answer.
TEST_CASE("a repeated question about a returned loan is answered with 0") {
  lent_ledger lent{8};
  const loan_key loan{"host-1", team, 1};
  lent.note(loan, 5);
  CHECK(lent.close(loan, 5) == 5);
  CHECK(lent.given(loan) == 0);
  CHECK(lent.close(loan, 5) == 0);
}
