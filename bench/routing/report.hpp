#pragma once

#include "kernels.hpp"
#include "summary.hpp"

#include <ostream>
#include <span>

namespace sedgechute::bench {

enum class way_of_routing { fleet, oracle, naive };

inline constexpr std::uint32_t faulty_replica = 1;
inline constexpr std::uint32_t flooding_team = 3;

struct run_record {
  scenario setting;
  way_of_routing way{way_of_routing::fleet};
  summary figures;
  double detected_ms{-1.0};
  double recovered_ms{-1.0};
  double other_chat_p99_ms{};
  std::size_t wrongly_quarantined{};
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
