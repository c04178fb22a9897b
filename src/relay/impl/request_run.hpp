#pragma once

#include "gateway/impl/request_header.hpp"
#include "relay/impl/event_splitter.hpp"
#include "relay/impl/request_relay.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief One request on its way: what it was promised, where it was sent, what its caller has.
class request_run {
 public:
  request_run(request_relay& relay, incoming_request& in);
  request_run(const request_run&) = delete;
  request_run& operator=(const request_run&) = delete;
  ~request_run();

  [[nodiscard]] after_answer go();

 private:
  void admit();
  void find_route();
  void find_team();
  void choose_service();
  /// \throws error when this host stops before the request can have come to its end
  void check_time_left() const;
  void reserve_tokens();
  void settle_tokens() noexcept;
  /// \returns of its team's budget
  [[nodiscard]] std::uint64_t tokens_used() const noexcept;
  [[nodiscard]] after_answer run_sends();
  [[nodiscard]] send_outcome send_once();
  [[nodiscard]] send_outcome exchange(const placement& place);
  [[nodiscard]] connect_result reach(const placement& place) const;
  /// \returns how long an endpoint may say nothing before the request goes elsewhere
  [[nodiscard]] time_ms patience_with_endpoint() const;
  /// \returns until when the next bytes of a reply are waited for
  [[nodiscard]] time_ms reply_deadline() const;
  [[nodiscard]] std::string endpoint_request(const placement& place);
  [[nodiscard]] send_outcome read_reply(const placement& place, connection& link);
  [[nodiscard]] send_outcome take_answer(const placement& place, connection& link);
  [[nodiscard]] send_outcome take_stream(const placement& place, connection& link);
  [[nodiscard]] bool pass_events(const std::string& events);
  [[nodiscard]] send_outcome end_of(io_status status) const;
  [[nodiscard]] bool deliver_reply(const std::string& body);
  /// \returns false when the caller has failed, or reads nothing
  [[nodiscard]] bool write_to_caller(std::string_view bytes);
  /// \returns the header that the caller gets, without what tells the body's end
  [[nodiscard]] response_head answer_head() const;
  [[nodiscard]] bool begin_stream_answer();
  [[nodiscard]] bool may_go_on(send_outcome end);
  /// \returns whether the rules of the route allow another send after a run that may have begun
  [[nodiscard]] bool may_run_again() const noexcept;
  [[nodiscard]] after_answer give_up(send_outcome end);
  [[nodiscard]] after_answer refuse(const error& reason);
  [[nodiscard]] message_framing reply_framing() const;
  /// \returns whether the endpoint's connection may carry another exchange after this reply.
  [[nodiscard]] bool reusable(const message_framing& framing, connection& link) const;
  [[nodiscard]] bool runs_once() const noexcept;
  [[nodiscard]] time_ms now() const noexcept { return relay_.parts_.time.now(); }
  [[nodiscard]] after_answer done() const noexcept;
  [[nodiscard]] std::string_view team_name() const noexcept;
  void log_send(const placement& place, send_outcome end, time_ms began);
  void log_end(int status, std::string_view reason);

  request_relay& relay_;
  incoming_request& in_;
  caller_watch watch_;
  caller_watch stop_watch_; ///< for waits on the caller itself
  config_ptr config_;
  request_terms terms_;
  const route* route_{nullptr};
  const team_terms* team_{nullptr};
  std::string service_;
  std::uint64_t event_tokens_{1};
  time_ms deadline_;
  std::uint64_t reserved_{0};
  std::vector<endpoint_id> sent_to_;
  int unreachable_{0};
  bool may_have_run_{false};
  response_head reply_;         ///< the header that the caller gets: of the first run of a stream
  response_head current_reply_; ///< of the send in progress
  std::string reply_body_;
  bool reply_reusable_{false};
  event_splitter events_;
  bool stream_begun_{false};
  bool prompt_read_{false}; ///< the endpoint of the send in progress has begun to answer
  bool caller_failed_{false};
  std::optional<time_ms> first_event_;
};

} // namespace sedgechute
