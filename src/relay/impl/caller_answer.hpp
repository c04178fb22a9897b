#pragma once

#include "admission/admission.hpp"
#include "relay/impl/connection.hpp"
#include "relay/impl/event_splitter.hpp"
#include "relay/impl/message_head.hpp"
#include "relay/impl/planned_stop.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sedgechute {

/// \brief Whole events; each group is sent as one chunk.
using event_groups = std::vector<std::string>;

/// \brief Writes the answer to one caller and records what has been sent. A stream may be put
/// together from several runs; the caller sees one header and each event once.
class caller_answer {
 public:
  /// \param stop  interrupts writes to the caller at its cut; once it has begun, headers contain
  ///   `Connection: close`
  caller_answer(connection& caller, const planned_stop& stop);

  /// \brief Sets the header of the answer. A stream keeps the header of its first run.
  void take_head(const response_head& head);
  /// \brief Stores the body of an endpoint's error, for `deliver_kept` if no other endpoint
  /// answers.
  /// \param held  counts its bytes
  void keep_body(std::string body, held_bytes::guard held) {
    kept_body_ = std::move(body);
    kept_held_ = std::move(held);
  }

  // These return false when the connection failed, the caller did not read in time, or the stop of
  // the host interrupted the write.
  [[nodiscard]] bool deliver(const std::string& body);
  [[nodiscard]] bool deliver_kept() { return deliver(kept_body_); }
  [[nodiscard]] bool forward_events(const event_groups& events);
  [[nodiscard]] bool end_stream();
  [[nodiscard]] bool write(std::string_view bytes, std::string_view more = {});

  [[nodiscard]] event_splitter& events() noexcept { return events_; }
  [[nodiscard]] const event_splitter& events() const noexcept { return events_; }
  [[nodiscard]] int status() const noexcept { return head_.status; }
  [[nodiscard]] bool stream_begun() const noexcept { return stream_begun_; }
  [[nodiscard]] bool caller_failed() const noexcept { return caller_failed_; }
  /// \returns whether the header sent contains `Connection: close`
  [[nodiscard]] bool announced_close() const noexcept { return announced_close_; }
  /// \returns whether the stop of the host interrupted the last write
  [[nodiscard]] bool cut() const noexcept { return cut_; }
  /// \returns when the first event, or the whole answer, was ready to be written; nothing before
  [[nodiscard]] std::optional<time_ms> first_ready() const noexcept { return first_ready_; }
  void note_ready();

 private:
  /// \returns the header for the caller, without `Content-Length` and `Transfer-Encoding`
  [[nodiscard]] response_head answer_head();
  [[nodiscard]] bool begin_stream();

  connection& caller_;
  const planned_stop& stop_;
  caller_watch stop_watch_;
  response_head head_;
  std::string kept_body_;
  held_bytes::guard kept_held_;
  event_splitter events_;
  bool stream_begun_{false};
  bool caller_failed_{false};
  bool cut_{false};
  bool announced_close_{false};
  std::optional<time_ms> first_ready_;
};

} // namespace sedgechute
