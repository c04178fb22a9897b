#pragma once

#include "kernel/kernel.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace sedgechute {

/// \brief When a request that arrives has last come forward.
class arrival_progress {
 public:
  /// Fewer bytes in total do not count as progress.
  static constexpr std::size_t least_bytes = 512;

  explicit arrival_progress(time_ms began) noexcept : began_{began}, moved_{began} {}

  void note(std::size_t bytes, time_ms now) noexcept;
  [[nodiscard]] time_ms began() const noexcept { return began_; }
  [[nodiscard]] time_ms moved() const noexcept { return moved_; }

 private:
  time_ms began_;
  time_ms moved_;
  std::size_t since_{0}; ///< bytes since `moved_`
};

/// \brief What a connection waits for; the first ones give way first.
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

/// \brief Which kinds of connections may be closed to make room.
enum class room_for {
  body,       ///< of another request: unfinished requests give way
  connection, ///< another connection: any gives way that waits
};

/// \brief Chooses the connection that gives way where there is no room for all: of the first stage
/// with a connection that has been silent for `stall`, the one that has been so longest.
[[nodiscard]] std::optional<int> choose_yielding(std::span<const waiting_connection> waiting,
                                                 room_for wanted, time_ms now, time_ms stall);

} // namespace sedgechute
