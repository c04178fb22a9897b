#pragma once

#include "relay/impl/connection.hpp"
#include "relay/impl/event_splitter.hpp"
#include "relay/impl/message_head.hpp"
#include "relay/impl/planned_stop.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sedgechute {

/// \brief The answer to one caller: what it will get, and what it has. A stream may come from
/// several runs; the caller sees one header and each event once.
class caller_answer {
 public:
  /// \param stop  ends waits for the caller; once it has begun, a header says that its connection
  ///   is closed behind the answer
  caller_answer(connection& caller, const planned_stop& stop);

  /// \brief The header of a run. A stream keeps that of its first run.
  void take_head(const response_head& head);
  /// \brief Keeps the body of an endpoint's error, for the case that no other endpoint answers.
  void keep_body(std::string body) { kept_body_ = std::move(body); }

  // All that write return false when the caller has failed, or reads nothing.
  [[nodiscard]] bool deliver(const std::string& body);
  [[nodiscard]] bool deliver_kept() { return deliver(kept_body_); }
  [[nodiscard]] bool pass_events(const std::string& events);
  [[nodiscard]] bool end_stream();
  [[nodiscard]] bool write(std::string_view bytes);

  [[nodiscard]] event_splitter& events() noexcept { return events_; }
  [[nodiscard]] const event_splitter& events() const noexcept { return events_; }
  [[nodiscard]] int status() const noexcept { return head_.status; }
  [[nodiscard]] bool stream_begun() const noexcept { return stream_begun_; }
  [[nodiscard]] bool caller_failed() const noexcept { return caller_failed_; }
  /// \returns whether its header says that the connection ends
  [[nodiscard]] bool told_end() const noexcept { return told_end_; }
  /// \returns whether the stop of the host ended a write
  [[nodiscard]] bool cut() const noexcept { return cut_; }
  /// \returns when the first event, or the answer, was ready for the caller
  [[nodiscard]] std::optional<time_ms> first_ready() const noexcept { return first_ready_; }
  void note_ready();

 private:
  /// \returns the header that the caller gets, without what tells the body's end
  [[nodiscard]] response_head answer_head();
  [[nodiscard]] bool begin_stream();

  connection& caller_;
  const planned_stop& stop_;
  caller_watch stop_watch_;
  response_head head_;
  std::string kept_body_;
  event_splitter events_;
  bool stream_begun_{false};
  bool caller_failed_{false};
  bool cut_{false};
  bool told_end_{false};
  std::optional<time_ms> first_ready_;
};

} // namespace sedgechute
