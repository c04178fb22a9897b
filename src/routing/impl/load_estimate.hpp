#pragma once

#include "routing/impl/endpoint_info.hpp"

#include <vector>

namespace sedgechute {

/// \brief An endpoint's load as this host best knows it: its last report, corrected by what this
/// host has started and ended there since the figures were taken.
class load_estimate {
 public:
  void apply(const load_report& report, time_ms now);

  void started(std::uint32_t prompt_tokens, time_ms now);
  /// \brief The prompt has been read: `prompt_tokens` as given to `started`.
  void prompt_read(std::uint32_t prompt_tokens) noexcept;
  void ended(time_ms now);

  /// \returns requests believed to be at the endpoint, running or waiting
  [[nodiscard]] double at_endpoint() const noexcept;
  /// \returns prompt tokens believed to wait for being read
  [[nodiscard]] double unread_prompt() const noexcept;
  /// \returns places believed to be free; negative when requests wait for one
  [[nodiscard]] double room() const noexcept;

  [[nodiscard]] const load_report& last_report() const noexcept { return report_; }
  [[nodiscard]] bool reported() const noexcept { return reported_; }
  [[nodiscard]] time_ms taken_at() const noexcept { return taken_at_; }
  [[nodiscard]] std::uint32_t own_running() const noexcept { return own_running_; }

 private:
  /// One start (+1) or end (-1) by this host.
  struct change {
    time_ms at;
    std::int32_t delta{};
    std::uint32_t prompt_tokens{};
  };

  void record(change latest);

  load_report report_;
  time_ms taken_at_;
  bool reported_{};
  std::uint32_t own_running_{};
  double own_unread_{};
  double since_running_{};
  double since_prompt_{};
  double usual_prompt_{};
  std::vector<change> changes_;
};

} // namespace sedgechute
