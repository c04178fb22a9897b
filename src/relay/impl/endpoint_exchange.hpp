#pragma once

#include "admission/admission.hpp"
#include "gateway/impl/body_decoder.hpp"
#include "gateway/impl/request_header.hpp"
#include "relay/impl/admitted_request.hpp"
#include "relay/impl/caller_answer.hpp"
#include "relay/impl/connection.hpp"
#include "relay/impl/endpoint_directory.hpp"
#include "relay/impl/message_head.hpp"
#include "relay/impl/send_outcome.hpp"
#include "relay/impl/wire_dialect.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace sedgechute {

/// \brief Limits of an exchange with an endpoint or with another host.
struct exchange_bounds {
  std::size_t max_reply_head{};
  std::size_t max_buffered_body{}; ///< of an answer that is not a stream
  std::size_t max_event{};         ///< of a stream
  std::size_t max_stream{};        ///< its body
  bool with_host{false};           ///< the other end is a host that passes on an endpoint's reply
  held_bytes* memory{nullptr};     ///< counts what is buffered of the answer; null: nothing does
};

/// \brief Bounds what is read of a reply after the deadline of its request. What has arrived by
/// then is delivered, also late.
struct late_reading {
  std::size_t bytes_left{std::size_t{256} << 10U};

  /// \param got  bytes that were read just now
  /// \returns whether to go on reading
  [[nodiscard]] bool may_go_on(time_ms now, time_ms deadline, std::size_t got) noexcept;
};

/// \brief A wait for an endpoint that has sent nothing since `since`.
struct endpoint_silence {
  time_ms since;
  time_ms stall_after; ///< silence after which another endpoint is likely to be faster
};

/// \brief How far the reply of an endpoint has come.
struct reply_progress {
  bool head_read{false};
  bool prompt_read{false}; ///< the endpoint has begun to answer
  bool unframed{false};    ///< only the end of the connection ends the body
  time_ms written;         ///< for how long the endpoint has written the body
  std::optional<time_ms> last_written{};
};

/// \brief Sends one request on one connection to an endpoint and passes its reply to the caller.
class endpoint_exchange {
 public:
  struct parts {
    const wire_dialect& dialect;
    endpoint_directory& endpoints;
    const clock& time;
    const admitted_request& request;
    const placement& place;
    caller_watch& watch;
    caller_answer& answer;
    reply_progress& progress;
    std::function<void()> before_first_event{}; ///< called before the caller receives it
    /// Called before the caller receives anything of the reply.
    std::function<void()> before_answer{};
    /// Called each time that a part of the answer has been read.
    std::function<void()> on_written{};
    /// Returns for how long the next events of a stream are collected; empty: they never are.
    std::function<time_ms()> event_delay{};
    /// Called while the endpoint is silent; empty: the exchange waits until the deadline.
    /// Returns when to call it again; nothing: the request has ended otherwise.
    std::function<std::optional<time_ms>(const endpoint_silence&)> on_silence{};
    /// Called once, `max_overlap` after the request was sent, unless the answer has begun: closes
    /// the connections of earlier sends, whose endpoints would work on the request as well.
    std::function<void()> end_overlap{};
  };

  /// \param sends  number of sends of the request, including this one
  endpoint_exchange(const parts& joined, const exchange_bounds& bounds, connection& link,
                    int sends);

  /// \param head  header of the request
  [[nodiscard]] send_outcome run(std::string_view head, std::string_view body);

  /// \returns whether the connection may carry another exchange
  [[nodiscard]] bool reusable() const noexcept { return reusable_; }
  /// \returns how often events were collected before they were forwarded
  [[nodiscard]] std::size_t delayed_reads() const noexcept { return delayed_reads_; }

 private:
  [[nodiscard]] send_outcome read_reply();
  [[nodiscard]] io_status read_final_head();
  /// \returns whether the header belongs to a reply to this request
  [[nodiscard]] bool is_reply(const reply_terms& terms) const;
  /// \returns whether a reply to this request is an endpoint's answer
  [[nodiscard]] bool is_answer(const reply_terms& terms) const;
  /// \brief Takes what the endpoint says of itself in a reply to this request.
  void note_terms(const reply_terms& terms);
  [[nodiscard]] send_outcome take_answer();
  [[nodiscard]] send_outcome take_stream();
  /// \brief Keeps a refusal by the other host for the caller.
  [[nodiscard]] send_outcome take_host_refusal();
  /// \brief Makes the reply the answer to the caller.
  void begin_answer();
  /// \brief Calls `read` until it succeeds, fails or the deadline of the request passes.
  /// \param read  receives the deadline of its wait
  template <typename Read>
  [[nodiscard]] io_status read_patiently(const Read& read);
  [[nodiscard]] time_ms next_wake_up() const noexcept;
  void end_overlap();
  /// \returns why to stop reading, `ok` to go on
  [[nodiscard]] io_status check_interruption();
  [[nodiscard]] io_status fill();
  /// \brief Sends the caller the whole events that have been read.
  /// \param events  the position in the stream behind them
  /// \returns `ok` or `caller_left`
  [[nodiscard]] io_status forward(event_groups& whole, const event_splitter& events);
  /// \brief Lets the next events of a stream collect, if the host's load requires it.
  /// \returns why to stop, `ok` to go on
  [[nodiscard]] io_status collect_events();
  /// \brief Counts the bytes that are buffered of the answer. While the limit does not allow them,
  /// nothing is read from the endpoint.
  /// \returns why not to read on; `timed_out`: the deadline of the request has passed
  [[nodiscard]] io_status hold(std::size_t bytes);
  /// \returns the state of the body when it has ended or is too large
  [[nodiscard]] body_state read_body(body_decoder& body, std::string& bytes);
  [[nodiscard]] bool may_reuse();
  /// \returns whether nothing shows that the endpoint has sent a whole answer
  /// \param has_content  a byte of the body, or an event
  [[nodiscard]] bool is_unproven(bool has_content) const noexcept;
  void note_prompt_read();
  /// \brief Records that the endpoint has written a part of its answer.
  void note_written();
  void note_heard();
  [[nodiscard]] time_ms stall_after() const;
  [[nodiscard]] send_outcome end_of(io_status status) const;

  parts parts_;
  exchange_bounds bounds_;
  connection& link_;
  int sends_;
  time_ms last_heard_;
  time_ms next_check_; ///< of the silence of the endpoint
  time_ms next_interruption_check_;
  std::optional<time_ms> overlap_end_;
  late_reading late_;
  io_status stopped_{io_status::ok}; ///< why reading has stopped short of the memory
  response_head reply_;
  message_framing framing_{body_framing::until_close, 0}; ///< of the reply
  held_bytes::guard held_;    ///< of the answer, while it is read and written
  bool link_used_{false};     ///< the connection has carried another request
  bool names_request_{false}; ///< the reply bears the id of this request
  bool answer_begun_{false};
  bool reusable_{false};
  std::size_t delayed_reads_{0};
};

/// \returns the header of the request for the endpoint of `place`
/// \param resume_behind  last event that the caller has received
[[nodiscard]] std::string endpoint_request(const request_head& head, std::size_t body_bytes,
                                           const admitted_request& as, const placement& place,
                                           std::optional<std::uint64_t> resume_behind,
                                           const wire_dialect& dialect, time_ms now);

/// \returns how the end of the reply's body is determined; nothing when the header contradicts
/// itself, or its length or coding cannot be read
[[nodiscard]] std::optional<message_framing> reply_framing(const response_head& reply);

} // namespace sedgechute
