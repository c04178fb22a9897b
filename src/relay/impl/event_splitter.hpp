#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sedgechute {

/// \brief Cuts a stream of server-sent events into whole events, so that an event that its endpoint
/// broke off never reaches the caller and another endpoint can go on behind the last whole one.
class event_splitter {
 public:
  void feed(std::string_view bytes) { pending_ += bytes; }

  /// \returns the whole events that have come and were not taken yet; may be empty
  [[nodiscard]] std::string take_whole();

  /// \returns whether bytes of an unfinished event are left.
  [[nodiscard]] bool inside_event() const noexcept { return !pending_.empty(); }
  /// \returns the id of the last event taken that had one
  [[nodiscard]] std::optional<std::uint64_t> last_id() const noexcept { return last_id_; }
  /// \returns events taken
  [[nodiscard]] std::uint64_t events() const noexcept { return events_; }
  /// \brief Drops what is left of an unfinished event.
  void drop_unfinished() noexcept { pending_.clear(); }

 private:
  void note_event(std::string_view event);

  std::string pending_;
  std::optional<std::uint64_t> last_id_;
  std::uint64_t events_{0};
};

} // namespace sedgechute
