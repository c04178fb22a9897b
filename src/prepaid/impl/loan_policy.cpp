#include "prepaid/impl/loan_policy.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

std::uint64_t tokens_for(double rate, time_ms window, std::uint64_t prepaid) noexcept {
  constexpr double ms_per_second = 1000;
  const double tokens = rate * static_cast<double>(window.count()) / ms_per_second;
  return static_cast<std::uint64_t>(
      std::min(tokens, max_kept_fraction * static_cast<double>(prepaid)));
}

namespace {

// One lost or late message must not take a holder out of use for long: a team has six of them. A
// host that is cut off for seconds costs a few questions.
constexpr time_ms first_pause{30};
constexpr time_ms longest_pause{1000};

} // namespace

void silent_hosts::note_silence(const std::string& host, time_ms now) {
  silence& of = hosts_[host];
  if (now < of.until)
    return;
  of.pause = of.pause == time_ms{} ? first_pause : std::min(of.pause + of.pause, longest_pause);
  of.until = now + of.pause;
}

bool silent_hosts::may_answer(const std::string& host, time_ms now) const {
  const auto at = hosts_.find(host);
  return at == hosts_.end() || now >= at->second.until;
}

loan_round::loan_round(std::vector<token_holder> order, std::uint64_t needed, std::uint64_t ahead,
                       time_ms until, const loan_round_options& options)
    : order_{std::move(order)}, needed_{needed}, ahead_{ahead}, until_{until}, options_{options} {}

// A request with a short wait still asks several holders. One in four questions of a network that
// loses 5 % of the messages and delays 10 % for long has no answer in 30 ms: with two questions in
// a wait of 75 ms, one request in fifteen would get none.
time_ms loan_round::answer_timeout() const {
  const time_ms part{(until_ - first_asked_at_).count() / options_.questions_in_wait};
  return std::clamp(part, std::min(options_.least_answer_timeout, options_.answer_timeout),
                    options_.answer_timeout);
}

// Hosts are asked again while time is left: after a start of all hosts two holders may have all
// tokens, and the messages to both be lost. A question that is not answered in time stays open: the
// message or its answer may only be late, and whatever arrives counts.
loan_round::action loan_round::next(std::uint64_t lent, std::size_t answers, time_ms now) {
  if (lent >= needed_ || now >= until_)
    return {};
  const time_ms answer_due = last_asked_at_ + answer_timeout();
  if (asked_ > answers && now < answer_due)
    return {.kind = action_kind::wait, .host = {}, .until = std::min(answer_due, until_)};
  if (!order_.empty() && asked_ >= order_.size() && now < answer_due)
    return {.kind = action_kind::wait, .host = {}, .until = std::min(answer_due, until_)};
  if (!order_.empty() && asked_ < options_.max_hosts_asked) {
    if (asked_ == 0)
      first_asked_at_ = now;
    last_asked_at_ = now;
    return {.kind = action_kind::ask,
            .host = order_[asked_++ % order_.size()].host,
            .tokens = needed_ + ahead_ - lent,
            .until = {}};
  }
  return {};
}

} // namespace sedgechute
