#include "placement/impl/service_times.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute {

namespace {

// Answers count by half after 700 more: enough for four weights, and a service changes with its
// traffic within minutes.
constexpr double kept_per_answer = 0.999;

// Solving takes well under a microsecond, yet small hosts need not do it for each answer.
constexpr unsigned answers_per_solution = 8;

// An answer may be late for reasons that no load explains, such as a paused machine. Beyond this
// multiple of what was expected it counts with the square root of its excess.
constexpr double outlier_multiple = 3;

// Answers quicker than this cannot be told apart, as time is counted in milliseconds.
constexpr double shortest_ms = 1;

constexpr double mean_step = 0.02;

constexpr double nearly_full_fill = 0.875;

} // namespace

service_times::service_times(const wait_weights& initial) noexcept
    : weights_{initial}, initial_{initial.base, initial.for_open, initial.for_beyond,
                                  initial.for_token} {
  // The inverse variance of each weight: the initial one may be off by its own size.
  for (std::size_t i = 0; i < terms; ++i) {
    const double size = std::max(initial_[i], i == 0 ? 20.0 : 0.001);
    prior_precision_[i] = 1 / (size * size);
  }
}

// Errors grow with the duration, so answers are weighted by the inverse of its square; else a few
// long prompts would decide all weights.
//
// Fast endpoints get more requests, so without the factor a high load would seem to shorten the
// wait. It is taken relative to its mean: else the weights and all factors could drift apart.
void service_times::note(const wait_terms& load, double took_ms, double factor) noexcept {
  mean_factor_ += (factor - mean_factor_) * mean_step;
  const double expected = std::max(weights_.wait_ms(load), shortest_ms);
  double took = std::max(took_ms * mean_factor_ / factor, shortest_ms);
  mean_wait_ += (took - mean_wait_) * (mean_wait_ == 0 ? 1 : mean_step);
  if (load.fill() > nearly_full_fill && load.beyond() <= 1)
    nearly_full_ += (std::clamp(took / expected, 1.0, 4.0) - nearly_full_) * mean_step;
  if (took > outlier_multiple * expected)
    took = outlier_multiple * expected * std::sqrt(took / (outlier_multiple * expected));
  const double scale = std::max(expected, took);
  const double weight = 1 / (scale * scale);
  const vector row{1, load.open, load.beyond(), load.tokens};
  for (std::size_t i = 0; i < terms; ++i) {
    for (std::size_t k = 0; k < terms; ++k)
      products_[i][k] = products_[i][k] * kept_per_answer + weight * row[i] * row[k];
    results_[i] = results_[i] * kept_per_answer + weight * row[i] * took;
  }
  if (++unsolved_ >= answers_per_solution)
    solve();
}

// Coordinate descent from the last solution; the prior keeps each diagonal element above 0.
void service_times::solve() noexcept {
  constexpr int sweeps = 6;
  unsolved_ = 0;
  vector x{weights_.base, weights_.for_open, weights_.for_beyond, weights_.for_token};
  for (int sweep = 0; sweep < sweeps; ++sweep)
    for (std::size_t i = 0; i < terms; ++i) {
      double rest = results_[i] + prior_precision_[i] * initial_[i];
      for (std::size_t k = 0; k < terms; ++k)
        rest -= k == i ? 0 : products_[i][k] * x[k];
      x[i] = std::max(0.0, rest / (products_[i][i] + prior_precision_[i]));
    }
  weights_ = {x[0], x[1], x[2], x[3]};
}

void service_times::note_request(double tokens) noexcept {
  requests_ = std::min(requests_ + 1, 200U);
  mean_tokens_ += (tokens - mean_tokens_) / requests_;
}

// Requests in free slots make nobody wait as yet, but they bring the endpoint nearer to the point
// at which they do.
double service_times::step_ms(const wait_terms& load) const noexcept {
  const double step = weights_.for_open + weights_.for_beyond * std::min(1.0, load.fill()) +
                      weights_.for_token * mean_tokens_;
  return std::max(step, mean_wait_ / std::max(load.slots, 1.0));
}

} // namespace sedgechute
