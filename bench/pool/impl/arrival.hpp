#pragma once

#include "pool/impl/deployment.hpp"
#include "pool/impl/engine.hpp"
#include "relay/relay.hpp"

#include <vector>

namespace sedgechute::pool {

/// \brief One request of a caller.
struct arrival {
  double at_ms{};
  std::uint32_t kind{};
  std::uint32_t team{};
  std::uint32_t host{};
  std::vector<prompt_piece> pieces; ///< the last one is the request's own
  std::uint32_t prompt_tokens{};
  std::uint32_t output_tokens{};
  generation_terms terms; ///< the same as a host reads it

  [[nodiscard]] std::size_t shared_pieces() const noexcept { return pieces.size() - 1; }
};

/// \brief How traffic differs from the usual.
struct traffic {
  double load{1}; ///< times the usual
  double duration_ms{40'000};
  double surge{1}; ///< times the traffic, within the span below
  double surge_from_ms{0};
  double surge_until_ms{0};
  std::uint32_t surging_teams{0};     ///< 0: all; else only the first so many
  std::vector<double> kind_factors{}; ///< times the rate of each kind; empty: the usual
  std::uint64_t seed{1};
};

/// \returns requests in the order of their coming; the same seed gives the same
[[nodiscard]] std::vector<arrival> make_arrivals(const deployment& of, const traffic& how);

} // namespace sedgechute::pool
