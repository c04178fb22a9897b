#pragma once

#include "pool/impl/world.hpp"

#include <string>
#include <vector>

namespace sedgechute::pool {

/// \brief What callers of one kind of request got.
struct kind_figures {
  std::string name;
  std::size_t requests{0};
  std::size_t in_time{0};
  std::size_t late{0};
  std::size_t refused{0};
  std::size_t left{0};
  double first_p50_ms{0}; ///< to the first event, of those that got one
  double first_p99_ms{0};
  double owed{0};
  double earned{0};
  reading read;
};

struct run_figures {
  std::vector<kind_figures> kinds;
  double owed{0};
  double earned{0};
  reading read;
  std::uint64_t preemptions{0};
  std::uint64_t tokens_read{0};

  [[nodiscard]] double worth() const noexcept { return owed > 0 ? earned / owed : 0; }
};

/// \brief Of the requests that came from `from_ms` on.
[[nodiscard]] run_figures figures_of(const world& played, double from_ms);

/// \brief Adds up several runs; quantiles become their means.
[[nodiscard]] run_figures mean_of(const std::vector<run_figures>& runs);

} // namespace sedgechute::pool
