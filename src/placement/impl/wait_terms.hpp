#pragma once

namespace sedgechute {

/// \brief The load that a request meets at an endpoint, from which its wait follows.
struct wait_terms {
  double open{};   ///< requests that run or wait there
  double slots{1}; ///< requests that it runs at a time
  double tokens{}; ///< prompt tokens to be read until its first event, its own included

  /// \returns the requests beyond the slots, with this one
  [[nodiscard]] double beyond() const noexcept { return open + 1 > slots ? open + 1 - slots : 0; }
  /// \returns the part of the slots in use, with this request
  [[nodiscard]] double fill() const noexcept { return (open + 1) / slots; }
};

/// \brief What each unit of load adds to the wait, in milliseconds.
struct wait_weights {
  double base{};       ///< an idle endpoint
  double for_open{};   ///< each request that runs or waits
  double for_beyond{}; ///< each request beyond the slots, in addition
  double for_token{};  ///< each prompt token

  [[nodiscard]] double wait_ms(const wait_terms& terms) const noexcept {
    return base + for_open * terms.open + for_beyond * terms.beyond() + for_token * terms.tokens;
  }
};

} // namespace sedgechute
