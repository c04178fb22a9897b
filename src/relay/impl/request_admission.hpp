#pragma once

#include "admission/admission.hpp"
#include "relay/impl/admitted_request.hpp"
#include "relay/impl/host_pressure.hpp"
#include "relay/impl/refusal_cause.hpp"

#include <cstdint>
#include <optional>

namespace sedgechute {

/// \brief Which new requests a host under load refuses, and when their callers are to return.
/// Requests of different priorities are chosen by priority and team, others by the draw of the
/// host's load. Thread-safe.
class request_admission {
 public:
  request_admission(host_pressure pressure, const retry_hint_options& hints, const clock& time);

  /// \returns whether priorities and teams decide
  [[nodiscard]] bool is_selective(const config_ptr& config) const noexcept {
    return pressure_.refused_fraction && config && config->priorities_differ();
  }
  /// \returns whether the next new request may have to be refused
  /// \param config  in force; null before the first
  [[nodiscard]] bool may_shed(const config_ptr& config) const;
  /// \brief Decides about a request for which `may_shed` returned true.
  [[nodiscard]] bool sheds(const admitted_request& request);
  /// \brief Counts a request that was accepted without a decision.
  void note_accepted(const admitted_request& request);
  /// \brief Counts a refusal.
  /// \returns the number since the last log line, if one is due
  [[nodiscard]] std::optional<std::uint64_t> note_refused();
  /// \returns the fraction of new requests that the host's load requires to be refused
  [[nodiscard]] double refused_fraction() const;
  /// \returns the `Retry-After` of a refused request
  /// \param drawn  uniform random number in [0, 1) for the jitter
  [[nodiscard]] time_ms retry_after(const admitted_request& request, double drawn);

 private:
  /// \returns the fraction of new requests to be refused by priority and team; nothing where the
  /// draw decides
  [[nodiscard]] std::optional<double> selective_fraction(const config_ptr& config) const;

  host_pressure pressure_;
  retry_hint_options hints_;
  const clock& time_;
  mutable ordered_mutex mutex_{lock_rank::queues};
  selective_shedding shedding_;
  std::uint64_t refused_{0};         ///< since the last log line
  std::optional<time_ms> logged_at_; ///< when that was written
};

/// \returns what decides whether a request goes before others
[[nodiscard]] request_flow flow_of(const admitted_request& request);

} // namespace sedgechute
