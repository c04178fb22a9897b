#pragma once

#include "placement/impl/wait_terms.hpp"

#include <array>
#include <cstddef>

namespace sedgechute {

/// \brief Learns from answers what each unit of load adds to the wait at the endpoints of a
/// service: least squares with a prior, without negative weights. Recent answers count more, and
/// outliers less.
class service_times {
 public:
  /// \param initial  holds until enough answers tell better
  explicit service_times(const wait_weights& initial) noexcept;

  /// \param took_ms  from sending to the first event or the whole answer, at the usual work time
  /// \param factor   how slow the endpoint is compared with those of the service
  void note(const wait_terms& terms, double took_ms, double factor) noexcept;
  [[nodiscard]] const wait_weights& weights() const noexcept { return weights_; }

  /// \brief Records the prompt tokens that an endpoint had to read for a request.
  void note_request(double tokens) noexcept;
  /// \returns the mean of these
  [[nodiscard]] double mean_tokens() const noexcept { return mean_tokens_; }
  /// \returns the mean wait at the usual work time, in milliseconds
  [[nodiscard]] double mean_wait_ms() const noexcept { return mean_wait_; }

  /// \returns what one more request adds to the wait of the next, in milliseconds
  [[nodiscard]] double step_ms(const wait_terms& load) const noexcept;

  /// \returns by what factor nearly full endpoints take longer, for those of which it is not known
  [[nodiscard]] double nearly_full_factor() const noexcept { return nearly_full_; }

 private:
  static constexpr std::size_t terms = 4;
  using vector = std::array<double, terms>;

  void solve() noexcept;

  wait_weights weights_;
  vector prior_precision_{};
  vector initial_{};
  std::array<vector, terms> products_{}; ///< weighted sums of the products of terms
  vector results_{};                     ///< weighted sums of terms times duration
  unsigned unsolved_{};                  ///< answers since the last solution
  double nearly_full_{1};
  double mean_tokens_{};
  double mean_wait_{};
  unsigned requests_{};
  double mean_factor_{1}; ///< of the endpoints that answered
};

} // namespace sedgechute
