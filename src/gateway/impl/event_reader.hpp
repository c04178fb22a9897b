#pragma once

#include <cstdint>
#include <istream>
#include <optional>
#include <string>

namespace sedgechute {

/// \brief One server-sent event of an engine's stream.
struct stream_event {
  std::uint64_t position{}; ///< token number; 0 when the event carries none
  std::string data;

  /// \returns whether this is the finish marker, without which no stream is complete.
  [[nodiscard]] bool is_finish_marker() const noexcept { return data == "[DONE]"; }
};

/// \brief Reads server-sent events line by line; comment lines only prove that the peer lives.
class event_reader {
 public:
  explicit event_reader(std::istream& in) noexcept : in_{in} {}

  /// \returns the next event, or nothing when the connection ended or timed out before one was
  /// whole. A cut event is never returned.
  [[nodiscard]] std::optional<stream_event> next();

  /// \brief Like `next`, but returns at a comment line, too, with an event without data.
  [[nodiscard]] std::optional<stream_event> next_or_comment();

 private:
  [[nodiscard]] bool read_line();

  std::istream& in_;
  std::string line_;
};

} // namespace sedgechute
