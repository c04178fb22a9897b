#pragma once

#include "routing/impl/endpoint_info.hpp"

#include <array>
#include <vector>

namespace sedgechute {

/// \brief Prompt tokens that wait for prefill, by urgency; engines prefill the more urgent first.
using unread_by_urgency = std::array<double, urgency_count>;

/// \brief Estimate of an endpoint's load: its last report, corrected by this host's starts and ends
/// since the report was taken, or the use that all hosts have reported.
class load_estimate {
 public:
  /// \brief Applies a load report; one older than the last is ignored.
  void apply(const load_report& report, time_ms now);

  /// \brief Counts a request that this host has sent.
  void started(std::size_t urgency, std::uint32_t prompt_tokens, time_ms now);
  /// \brief Counts a finished prefill; arguments as given to `started`.
  void prompt_read(std::size_t urgency, std::uint32_t prompt_tokens) noexcept;
  /// \brief Counts the end of one of this host's requests.
  void ended(time_ms now);

  /// \brief Adds (`sign` 1) or subtracts (`sign` -1) requests that another host has reported.
  void change_others(double running, const unread_by_urgency& unread, double sign) noexcept;

  /// \brief Selects the source of the estimate.
  /// \param all_reported  every host that sends to this endpoint has reported its use lately
  /// \param staleness  assumed age of their reports
  void set_load_source(bool all_reported, time_ms staleness) noexcept;

  /// \returns estimated requests at the endpoint, running or waiting
  [[nodiscard]] double at_endpoint() const noexcept;
  /// \returns estimated prompt tokens that are prefilled before a new request's
  [[nodiscard]] double unread_before(std::size_t urgency) const noexcept;
  /// \returns estimated free places; negative if requests wait for one
  [[nodiscard]] double room() const noexcept;
  /// \returns age of the information on other hosts' requests
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
  bool all_reported_{};
  time_ms reported_use_staleness_;
  double running_change_{};
  double average_prompt_tokens_{};
  std::vector<change> changes_;
};

} // namespace sedgechute
