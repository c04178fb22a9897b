#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sedgechute {

/// \brief Splits a stream of server-sent events into complete events, so that the caller never gets
/// a partial event and another endpoint can resume after the last complete one.
class event_splitter {
 public:
  void feed(std::string_view bytes) { pending_ += bytes; }

  /// \returns the complete events received since the last call; may be empty
  [[nodiscard]] std::string take_whole();

  /// \returns whether bytes of a partial event are buffered
  [[nodiscard]] bool inside_event() const noexcept { return !pending_.empty(); }
  [[nodiscard]] std::size_t unfinished_bytes() const noexcept { return pending_.size(); }
  /// \returns the id of the last returned event that had one
  [[nodiscard]] std::optional<std::uint64_t> last_id() const noexcept { return last_id_; }
  /// \returns the number of events returned so far
  [[nodiscard]] std::uint64_t events() const noexcept { return events_; }
  /// \brief Discards the bytes of a partial event.
  void drop_unfinished() noexcept {
    pending_.clear();
    searched_ = 0;
  }

 private:
  void note_event(std::string_view event);

  std::string pending_;
  std::size_t searched_{0}; ///< bytes of the partial event before its last line
  std::optional<std::uint64_t> last_id_;
  std::uint64_t events_{0};
};

} // namespace sedgechute
