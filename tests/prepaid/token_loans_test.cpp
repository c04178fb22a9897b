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

/// A log that only one desk knows.
class private_log final : public account_log {
 public:
  account_page newest() override { return read(0); }

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
      one->desk.set_prepaid({{team, 100000}});
      one->desk.start();
    }
    for (int i = 0; i < 500 && giver_.desk.figures()[team].slack == 0; ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }

  struct host {
    host(const std::string& name, token_loans::sender send)
        : log{{.host = name, .file = "/dev/null"}}, desk{{name, 1, {}}, prepaid_options{},
                                                         one_log(),     time,
                                                         faults,        log},
          loans{name, desk, std::move(send), near_none, loan_options{}, time, log} {}
    host(const host&) = delete;
    host& operator=(const host&) = delete;
    ~host() { desk.stop(); }

    boot_clock since_start;
    fleet_clock time{since_start};
    structured_log log;
    metrics figures{"loans-test"};
    entry_faults faults{log, figures};
    budget_desk desk;
    token_loans loans;
  };

  bool questions_lost{false};
  bool answers_lost{false};
  std::string last_answer;

  [[nodiscard]] host& giver() { return giver_; }
  [[nodiscard]] host& taker() { return taker_; }
  [[nodiscard]] std::uint64_t borrow(std::uint64_t tokens) {
    return taker_.loans.borrow({team, tokens, "id-1"}, {{"giver", 1000}});
  }

 private:
  host giver_{"giver", [this](const std::string& to, std::string_view bytes) {
                last_answer = bytes;
                return to == "taker" && (answers_lost || taker_.loans.take(bytes));
              }};
  host taker_{"taker", [this](const std::string& to, std::string_view bytes) {
                return to == "giver" && (questions_lost || giver_.loans.take(bytes));
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

// One host has tokens, the other has the callers. What is lent leaves the one and is there for the
// other.
TEST_CASE("a host lends what another needs") {
  two_hosts hosts;
  const std::uint64_t before = hosts.giver().desk.figures()[team].slack;
  REQUIRE(before >= 100);
  const std::uint64_t held = hosts.taker().desk.figures()[team].slack;
  CHECK(hosts.borrow(100) == 100);
  CHECK(hosts.taker().desk.figures()[team].slack >= held + 100);
}

TEST_CASE("nobody lends more than it may use") {
  two_hosts hosts;
  CHECK(hosts.borrow(1000000) <= 100000);
}

// The host that is asked has been cut off. The request is not kept waiting, and the next one does
// not ask there again at once.
TEST_CASE("a host that does not answer is left alone for a while") {
  two_hosts hosts;
  hosts.questions_lost = true;
  CHECK(hosts.borrow(100) == 0);
  hosts.questions_lost = false;
  CHECK(hosts.borrow(100) == 0);
}

// The answer is late: who waited for it has given up. Its tokens count as used at the other host,
// so they are taken all the same, and only once though the answer comes twice.
TEST_CASE("an answer that comes late or twice brings its tokens once") {
  two_hosts hosts;
  hosts.answers_lost = true;
  CHECK(hosts.borrow(100) == 0);
  const std::uint64_t held = hosts.taker().desk.figures()[team].slack;
  REQUIRE(hosts.taker().loans.take(hosts.last_answer));
  const std::uint64_t with_loan = hosts.taker().desk.figures()[team].slack;
  CHECK(with_loan >= held + 100);
  REQUIRE(hosts.taker().loans.take(hosts.last_answer));
  CHECK(hosts.taker().desk.reserve(team, 60000) == reserve_outcome::reserved);
}

TEST_CASE("an answer to no question brings nothing") {
  two_hosts hosts;
  const std::uint64_t held = hosts.taker().desk.figures()[team].slack;
  REQUIRE(hosts.taker().loans.take(
      encode_loan({loan_step::given, 5, std::uint64_t{1} << 40U, "giver", team})));
  CHECK(hosts.taker().desk.figures()[team].slack < held + 100000);
  CHECK_FALSE(hosts.taker().loans.take("garbage"));
}

// An answer names more tokens than were asked for. Nobody counts them as used, so the team could
// use more than it paid for.
TEST_CASE("an answer of more than was asked for brings nothing, and the right one still does") {
  two_hosts hosts;
  hosts.answers_lost = true;
  CHECK(hosts.borrow(100) == 0);
  const std::uint64_t held = hosts.taker().desk.figures()[team].slack;
  auto answer = decode_loan(hosts.last_answer);
  REQUIRE(answer.has_value());
  REQUIRE(answer->tokens == 100);
  answer->tokens = std::uint64_t{1} << 40U;
  CHECK_FALSE(hosts.taker().loans.take(encode_loan(*answer)));
  CHECK(hosts.taker().desk.figures()[team].slack < held + 100000);
  REQUIRE(hosts.taker().loans.take(hosts.last_answer));
  CHECK(hosts.taker().desk.figures()[team].slack >= held + 100);
}
