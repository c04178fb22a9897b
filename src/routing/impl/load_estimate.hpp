#pragma once

#include "routing/impl/endpoint_info.hpp"

#include <array>
#include <vector>

namespace sedgechute {

/// \brief Prompt tokens that wait to be read, by urgency: engines read the more urgent first.
using unread_by_urgency = std::array<double, urgency_count>;

/// \brief An endpoint's load as this host best knows it: its last report, corrected by what this
/// host has started and ended there since the figures were taken.
class load_estimate {
 public:
  void apply(const load_report& report, time_ms now);

  void started(std::size_t urgency, std::uint32_t prompt_tokens, time_ms now);
  /// \brief The prompt has been read: urgency and tokens as given to `started`.
  void prompt_read(std::size_t urgency, std::uint32_t prompt_tokens) noexcept;
  void ended(time_ms now);

  /// \brief Another host's requests there have changed, by its own word.
  void change_others(double running, const unread_by_urgency& unread, double sign) noexcept;

  /// \param all_heard  every host that sends to this endpoint has told of its use lately
  void set_view(bool all_heard, time_ms staleness) noexcept;

  /// \returns requests believed to be at the endpoint, running or waiting
  [[nodiscard]] double at_endpoint() const noexcept;
  /// \returns prompt tokens believed to be read before those of a new request
  [[nodiscard]] double unread_before(std::size_t urgency) const noexcept;
  /// \returns places believed to be free; negative when requests wait for one
  [[nodiscard]] double room() const noexcept;
  /// \returns how old the knowledge of other hosts' requests is
  [[nodiscard]] time_ms staleness(time_ms now) const noexcept;

  [[nodiscard]] const load_report& last_report() const noexcept { return report_; }
  [[nodiscard]] bool reported() const noexcept { return reported_; }
  [[nodiscard]] time_ms taken_at() const noexcept { return taken_at_; }
  [[nodiscard]] std::uint32_t own_running() const noexcept { return own_running_; }
  [[nodiscard]] const unread_by_urgency& own_unread() const noexcept { return own_unread_; }

 private:
  /// One start (+1) or end (-1) by this host.
  struct change {
    time_ms at;
    std::int32_t delta{};
  };

  void record(change latest);

  load_report report_;
  time_ms taken_at_;
  bool reported_{};
  std::uint32_t own_running_{};
  unread_by_urgency own_unread_{};
  double others_running_{};
  unread_by_urgency others_unread_{};
  bool all_heard_{};
  time_ms told_staleness_;
  double since_running_{};
  double usual_prompt_{};
  std::vector<change> changes_;
};

} // namespace sedgechute
