#pragma once

#include "gateway/impl/engine_chunk.hpp"
#include "gateway/impl/event_reader.hpp"
#include "gateway/impl/refusal.hpp"

#include <cstdint>
#include <string>

namespace sedgechute {

/// \brief What the caller is told at the end of a complete answer.
struct answer_summary {
  request_id id;
  host_id host;
  endpoint_id endpoint;
  int attempts{};
  std::string finish_reason;
  token_usage usage;
  std::uint64_t tokens_billed{};
  std::uint64_t tokens_remaining{}; ///< of the team's budget, as far as this host knows
};

/// \returns the summary as a JSON object.
[[nodiscard]] std::string to_json(const answer_summary& summary);

/// \brief Where an answer goes: a caller's connection, or a record that retries read.
///
/// Exactly one of `complete` and `fail` is called, once, as the last call.
class answer_sink {
 public:
  answer_sink() = default;
  answer_sink(const answer_sink&) = delete;
  answer_sink& operator=(const answer_sink&) = delete;
  virtual ~answer_sink() = default;

  /// \brief The events that follow are of a new run: what came of another is void.
  virtual void begin_run() {}
  /// \brief Takes one event of the engine.
  /// \returns false when the receiver has gone
  [[nodiscard]] virtual bool event(const stream_event& event) = 0;
  virtual void complete(const answer_summary& summary) = 0;
  virtual void fail(const refusal& refused) = 0;

  /// \returns whether part of the answer was delivered already, so that no other run may replace
  /// this one.
  [[nodiscard]] virtual bool delivered() const noexcept = 0;

  /// \returns whether the receiver is known to have gone; called while the request waits.
  [[nodiscard]] virtual bool gone() noexcept = 0;
};

} // namespace sedgechute
