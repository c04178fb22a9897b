#pragma once

#include "kernel/kernel.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace sedgechute {

/// \brief Tells when a request that arrives last made progress.
class arrival_progress {
 public:
  /// Fewer bytes in total do not count as progress.
  static constexpr std::size_t least_bytes = 512;

  explicit arrival_progress(time_ms began) noexcept : began_{began}, last_{began} {}

  void note(std::size_t bytes, time_ms now) noexcept;
  [[nodiscard]] time_ms began() const noexcept { return began_; }
  [[nodiscard]] time_ms last() const noexcept { return last_; }

 private:
  time_ms began_;
  time_ms last_;
  std::size_t bytes_since_{0}; ///< since `last_`
};

/// \brief What a connection waits for, in the order of eviction.
enum class wait_stage {
  rest_of_request,
  end_of_refused, ///< the caller's reading of a refusal
  first_request,
  next_request,
};

template <>
struct enum_names<wait_stage> {
  static constexpr auto entries =
      enum_table<wait_stage>({{wait_stage::rest_of_request, "rest_of_request"},
                              {wait_stage::end_of_refused, "end_of_refused"},
                              {wait_stage::first_request, "first_request"},
                              {wait_stage::next_request, "next_request"}});
};

struct waiting_connection {
  int id{};
  wait_stage stage{};
  time_ms since; ///< last progress
};

/// \brief Which connections may be evicted.
enum class eviction_scope {
  unfinished_requests, ///< in the middle of a request
  any_connection,      ///< also those that wait for a request or for their caller to read
};

/// \brief Chooses the connection to evict: of the first stage with a connection that has been
/// silent for `stall`, the one that has been silent longest.
[[nodiscard]] std::optional<int> choose_eviction(std::span<const waiting_connection> waiting,
                                                 eviction_scope scope, time_ms now, time_ms stall);

} // namespace sedgechute
