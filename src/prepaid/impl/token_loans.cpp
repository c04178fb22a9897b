#include "prepaid/impl/token_loans.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace sedgechute {

token_loans::token_loans(std::string self, budget_manager& manager, sender send,
                         near_predicate is_near, const loan_options& options, const clock& time,
                         structured_log& log)
    : self_{std::move(self)}, manager_{manager}, send_{std::move(send)}, is_near_{std::move(
                                                                             is_near)},
      options_{options}, time_{time}, log_{log}, lent_{options.max_lent_loans},
      borrowed_{options.max_borrowed_loans}, random_{random_source::from_system()} {
  manager_.set_loan_functions(
      [this](const token_demand& demand, const std::vector<token_holder>& from) {
        return borrow(demand, from);
      },
      [this](const std::string& team) { give_back(team); });
  // An answer to a request of an earlier incarnation must not match a request of this one.
  last_request_number_ = random_() >> 1U;
}

std::uint64_t token_loans::borrow(const token_demand& demand,
                                  const std::vector<token_holder>& from) {
  const time_ms began = time_.now();
  const time_ms longest = demand.max_wait == time_ms{} ? options_.borrow_timeout : demand.max_wait;
  loan_round round{
      order(from),
      demand.tokens,
      demand.ahead,
      began + longest,
      {.answer_timeout = options_.answer_timeout, .max_hosts_asked = options_.max_hosts_asked}};
  std::vector<std::uint64_t> numbers;
  std::size_t unsent = 0;
  for (;;) {
    std::unique_lock lock{mutex_};
    const round_progress seen = progress_of(numbers);
    const loan_round::action next = round.next(seen.lent, seen.answers + unsent, time_.now());
    if (next.kind == loan_round::action_kind::end)
      break;
    if (next.kind == loan_round::action_kind::wait) {
      const time_ms pause = std::max(next.until - time_.now(), time_ms{});
      answered_.wait_for(lock, std::chrono::milliseconds{pause.count()},
                         [&] { return progress_of(numbers).answers > seen.answers; });
      continue;
    }
    const auto repeated = unanswered(numbers, next.host);
    lock.unlock();
    if (repeated)
      send_(next.host, encode_loan(*repeated));
    else if (const auto number = ask(next.host, demand.team, next.tokens))
      numbers.push_back(*number);
    else
      ++unsent;
  }
  const std::uint64_t got = end_round(numbers);
  if (round.asked() > 0)
    log_.write(severity::info, "tokens_borrowed", {.request = demand.request, .team = demand.team},
               {{log_field::tokens, demand.tokens + demand.ahead},
                {log_field::granted, got},
                {log_field::count, round.asked()},
                {log_field::duration_ms, time_.now() - began}});
  return got;
}

token_loans::round_progress
token_loans::progress_of(const std::vector<std::uint64_t>& numbers) const {
  round_progress seen;
  for (const std::uint64_t number : numbers) {
    const auto at = open_.find(number);
    if (at != open_.end() && !at->second.given)
      continue;
    ++seen.answers; // a request that was forgotten gets no answer
    seen.lent += at == open_.end() ? 0 : *at->second.given;
  }
  return seen;
}

// The lender answers a repeated question as it answered the first, so nothing is lent twice.
std::optional<loan_message> token_loans::unanswered(const std::vector<std::uint64_t>& numbers,
                                                    const std::string& host) const {
  for (const std::uint64_t number : numbers) {
    const auto at = open_.find(number);
    if (at != open_.end() && !at->second.given && at->second.host == host)
      return loan_message{loan_step::asked, number, at->second.asked, self_, at->second.team};
  }
  return std::nullopt;
}

std::uint64_t token_loans::end_round(const std::vector<std::uint64_t>& numbers) {
  const std::scoped_lock lock{mutex_};
  const std::uint64_t lent = progress_of(numbers).lent;
  for (const std::uint64_t number : numbers) {
    const auto at = open_.find(number);
    if (at == open_.end())
      continue;
    if (at->second.given) {
      open_.erase(at);
      continue;
    }
    silent_.note_silence(at->second.host, time_.now());
    at->second.awaited = false;
  }
  return lent;
}

std::vector<token_holder> token_loans::order(const std::vector<token_holder>& holders) {
  std::vector<token_holder> may_answer;
  random_source random{0};
  {
    const std::scoped_lock lock{mutex_};
    random = random_source{random_()};
    std::copy_if(
        holders.begin(), holders.end(), std::back_inserter(may_answer),
        [&](const token_holder& holder) { return silent_.may_answer(holder.host, time_.now()); });
  }
  return borrowing_order(std::move(may_answer), is_near_, random);
}

std::optional<std::uint64_t> token_loans::ask(const std::string& host, const std::string& team,
                                              std::uint64_t tokens) {
  std::uint64_t number = 0;
  {
    const std::scoped_lock lock{mutex_};
    number = ++last_request_number_;
    loan_request& asked = open_[number];
    asked.host = host;
    asked.team = team;
    asked.asked = tokens;
    while (open_.size() > options_.max_open_requests)
      open_.erase(open_.begin());
  }
  if (!send_(host, encode_loan({loan_step::asked, number, tokens, self_, team}))) {
    const std::scoped_lock lock{mutex_};
    open_.erase(number);
    return std::nullopt;
  }
  return number;
}

bool token_loans::handle(std::string_view bytes) {
  const auto message = decode_loan(bytes);
  if (!message)
    return false;
  switch (message->step) {
  case loan_step::asked:
    lend(*message);
    break;
  case loan_step::given:
    return receive(*message);
  case loan_step::returned:
    take_back(*message);
    break;
  }
  return true;
}

// A duplicate request gets the same answer, also if that is 0: the borrower takes only the first
// answer, and would not use a second loan.
void token_loans::lend(const loan_message& asked) {
  const loan_key loan{asked.host, asked.team, asked.number};
  std::optional<std::uint64_t> before;
  {
    const std::scoped_lock lock{mutex_};
    before = lent_.given(loan);
  }
  const std::uint64_t given =
      before ? *before : manager_.lend(asked.team, asked.tokens, asked.host);
  if (!before) {
    const std::scoped_lock lock{mutex_};
    lent_.note(loan, given);
  }
  const bool sent =
      send_(asked.host, encode_loan({loan_step::given, asked.number, given, self_, asked.team}));
  if (given > 0)
    log_.write(severity::info, sent ? "tokens_lent" : "tokens_lent_to_unknown_host",
               {.team = asked.team}, {{log_field::tokens, given}, {log_field::peer, asked.host}});
}

// An answer is credited once, however late: the request that waited for it may have given up, but
// its tokens count as used at the lender. A host lends no more than it was asked for; tokens above
// that would not be counted as used by any host.
bool token_loans::receive(const loan_message& given) {
  {
    const std::scoped_lock lock{mutex_};
    const auto at = open_.find(given.number);
    if (at == open_.end() || at->second.taken || at->second.team != given.team)
      return true;
    if (given.tokens > at->second.asked)
      return false;
    at->second.taken = true;
    silent_.note_answer(given.host);
    if (given.tokens > 0)
      borrowed_.note(given.team, {given.host, given.number, given.tokens});
  }
  manager_.receive(given.team, given.tokens);
  bool awaited = false;
  {
    const std::scoped_lock lock{mutex_};
    if (const auto at = open_.find(given.number); at != open_.end()) {
      at->second.given = given.tokens;
      awaited = at->second.awaited;
    }
    answered_.notify_all();
  }
  if (!awaited)
    give_back(given.team);
  return true;
}

void token_loans::give_back(const std::string& team) {
  std::vector<borrowed_loan> idle;
  {
    const std::uint64_t unused = manager_.idle_loans(team);
    const std::scoped_lock lock{mutex_};
    idle = borrowed_.take(team, unused);
  }
  for (const borrowed_loan& loan : idle)
    send_back(team, loan);
}

// The tokens are debited before the message is sent: a lost message loses tokens, but none are used
// twice.
void token_loans::send_back(const std::string& team, const borrowed_loan& loan) {
  const std::uint64_t tokens = manager_.give_back(team, loan.tokens);
  if (tokens == 0) {
    const std::scoped_lock lock{mutex_};
    borrowed_.note(team, loan);
    return;
  }
  const bool sent =
      send_(loan.lender, encode_loan({loan_step::returned, loan.number, tokens, self_, team}));
  log_.write(severity::info, sent ? "tokens_returned" : "tokens_returned_to_unknown_host",
             {.team = team}, {{log_field::tokens, tokens}, {log_field::peer, loan.lender}});
}

void token_loans::take_back(const loan_message& returned) {
  std::uint64_t tokens = 0;
  {
    const std::scoped_lock lock{mutex_};
    tokens = lent_.close({returned.host, returned.team, returned.number}, returned.tokens);
  }
  if (tokens == 0)
    return;
  manager_.take_back(returned.team, tokens);
  log_.write(severity::info, "tokens_taken_back", {.team = returned.team},
             {{log_field::tokens, tokens}, {log_field::peer, returned.host}});
}

} // namespace sedgechute
