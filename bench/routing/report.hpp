#pragma once

#include "kernels.hpp"
#include "summary.hpp"

#include <ostream>
#include <span>

namespace sedgechute::bench {

enum class way_of_routing { fleet, oracle, naive };

inline constexpr double settling_ms = 10'000.0;
inline constexpr std::uint32_t flooding_team = 3;

struct run_record {
  scenario setting;
  way_of_routing way{way_of_routing::fleet};
  summary figures;
  double detected_ms{-1.0};
  double recovered_ms{-1.0};
  double other_chat_p99_ms{};   ///< from the fault on
  double settled_chat_p99_ms{}; ///< from some seconds later on
  std::size_t wrongly_quarantined{};
  double bytes_per_s{};    ///< that each host sent to the others
  double messages_per_s{}; ///< likewise
};

void print(std::ostream& out, const run_record& record);
void print(std::ostream& out, const kernel_times& kernels);
/// \brief One line for each figure that must be reached: wanted, measured, verdict.
void print_targets(std::ostream& out, std::span<const run_record> records,
                   const kernel_times& kernels);
/// \brief Everything as one JSON object on one line.
void print_json(std::ostream& out, std::span<const run_record> records,
                const kernel_times& kernels);

} // namespace sedgechute::bench

template <>
struct sedgechute::enum_names<sedgechute::bench::way_of_routing> {
  using enum sedgechute::bench::way_of_routing;
  static constexpr auto entries = enum_table<sedgechute::bench::way_of_routing>(
      {{fleet, "fleet"}, {oracle, "oracle"}, {naive, "naive"}});
};
