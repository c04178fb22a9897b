#include "prepaid/impl/token_loans.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sedgechute {

token_loans::token_loans(std::string self, budget_desk& desk, sender send, near_test is_near,
                         const loan_options& options, const clock& time, structured_log& log)
    : self_{std::move(self)}, desk_{desk}, send_{std::move(send)}, is_near_{std::move(is_near)},
      options_{options}, time_{time}, log_{log}, random_{random_source::from_system()} {
  desk_.lend_by([this](const token_demand& demand, const std::vector<token_holder>& from) {
    return borrow(demand, from);
  });
  // An answer to a question of an earlier life must not be taken for one of this life.
  last_number_ = random_() >> 1U;
}

std::uint64_t token_loans::borrow(const token_demand& demand,
                                  const std::vector<token_holder>& from) {
  const time_ms began = time_.now();
  const time_ms until = began + options_.all_within;
  std::uint64_t got = 0;
  std::size_t asked = 0;
  for (const token_holder& holder : order(from)) {
    if (got >= demand.tokens || asked == options_.most_asked || time_.now() >= until)
      break;
    ++asked;
    got += ask(holder.host, demand.team, demand.tokens - got, until).value_or(0);
  }
  if (asked > 0)
    log_.write(severity::info, "tokens_borrowed", {.request = demand.request, .team = demand.team},
               {{log_field::tokens, demand.tokens},
                {log_field::granted, got},
                {log_field::count, asked},
                {log_field::duration_ms, time_.now() - began}});
  return got;
}

std::vector<token_holder> token_loans::order(const std::vector<token_holder>& holders) {
  std::vector<token_holder> may_answer;
  random_source random{0};
  {
    const std::scoped_lock lock{mutex_};
    random = random_source{random_()};
    for (const token_holder& holder : holders) {
      const auto silent = silent_until_.find(holder.host);
      if (silent == silent_until_.end() || time_.now() >= silent->second)
        may_answer.push_back(holder);
    }
  }
  return asking_order(std::move(may_answer), is_near_, random);
}

std::optional<std::uint64_t> token_loans::ask(const std::string& host, const std::string& team,
                                              std::uint64_t tokens, time_ms until) {
  std::uint64_t number = 0;
  {
    const std::scoped_lock lock{mutex_};
    number = ++last_number_;
    open_[number] = {team, tokens, false, std::nullopt};
    while (open_.size() > options_.most_open)
      open_.erase(open_.begin());
  }
  if (!send_(host, encode_loan({loan_step::asked, number, tokens, self_, team})))
    return std::nullopt;
  std::unique_lock lock{mutex_};
  const time_ms wait = std::min(options_.answer_within, until - time_.now());
  answered_.wait_for(lock, std::chrono::milliseconds{std::max<std::int64_t>(wait.count(), 0)}, [&] {
    const auto at = open_.find(number);
    return at == open_.end() || at->second.given;
  });
  const auto at = open_.find(number);
  if (at == open_.end() || !at->second.given) {
    silent_until_[host] = time_.now() + options_.silent_for;
    return std::nullopt; // the question stays open: its answer may still come
  }
  const std::uint64_t given = *at->second.given;
  open_.erase(at);
  return given;
}

bool token_loans::take(std::string_view bytes) {
  const auto message = decode_loan(bytes);
  if (!message)
    return false;
  switch (message->step) {
  case loan_step::asked:
    lend(*message);
    break;
  case loan_step::given:
    return receive(*message);
  }
  return true;
}

void token_loans::lend(const loan_message& asked) {
  const std::uint64_t given = desk_.lend(asked.team, asked.tokens);
  const bool sent =
      send_(asked.host, encode_loan({loan_step::given, asked.number, given, self_, asked.team}));
  if (given > 0)
    log_.write(severity::info, sent ? "tokens_lent" : "tokens_lent_to_unknown_host",
               {.team = asked.team}, {{log_field::tokens, given}, {log_field::peer, asked.host}});
}

// Tokens are taken whenever they come, once: who waited for them may have given up, but they count
// as used where they were given. A host gives no more than it was asked for; more would be tokens
// that count nowhere.
bool token_loans::receive(const loan_message& given) {
  {
    const std::scoped_lock lock{mutex_};
    const auto at = open_.find(given.number);
    if (at == open_.end() || at->second.taken || at->second.team != given.team)
      return true;
    if (given.tokens > at->second.asked)
      return false;
    at->second.taken = true;
    silent_until_.erase(given.host);
  }
  desk_.receive(given.team, given.tokens);
  const std::scoped_lock lock{mutex_};
  if (const auto at = open_.find(given.number); at != open_.end())
    at->second.given = given.tokens;
  answered_.notify_all();
  return true;
}

} // namespace sedgechute
