#pragma once

#include "relay/impl/admitted_request.hpp"
#include "relay/impl/caller_answer.hpp"
#include "relay/impl/endpoint_exchange.hpp"
#include "relay/impl/request_accounting.hpp"
#include "relay/impl/request_relay.hpp"
#include "relay/impl/send_rules.hpp"
#include "relay/impl/silence_rules.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace sedgechute {

/// \brief Handles one request: admits it, sends it as often as allowed and writes one answer.
class request_run {
 public:
  request_run(request_relay& relay, incoming_request& in);
  request_run(const request_run&) = delete;
  request_run& operator=(const request_run&) = delete;
  ~request_run();

  [[nodiscard]] connection_action run();

 private:
  /// \throws error when the maximum number of requests is exceeded
  void check_capacity() const;
  /// \throws error when this host will stop before the request is likely to end
  void check_time_left() const;
  void check_overload();
  /// \returns nothing when the request may run
  [[nodiscard]] std::optional<content_refusal> crash_refusal();
  /// \returns whether the request, which is refused for a part of its prompt, tries that part
  [[nodiscard]] bool begins_trial();
  /// \throws error when the content of the request may not run
  void check_content();
  /// \brief Finds the build at which a stream that the caller takes up may go on.
  /// \throws error `build_gone` when there is none, or when it is not known which one it is
  void find_build();
  /// \returns the build that all endpoints have had since before the stream began
  [[nodiscard]] std::optional<build_hash> find_sole_build() const;
  /// \returns whether endpoints of a build may be sent this request
  [[nodiscard]] bool is_served(build_hash build);
  /// \returns the id of the attempt that began the stream
  [[nodiscard]] const std::string& stream_origin() const noexcept;
  /// \brief Records the build of the endpoint that begins the stream.
  void note_begun(const placement& place);
  [[nodiscard]] connection_action run_sends();
  [[nodiscard]] bool may_send_again(send_outcome end);
  /// \returns whether requests of different priorities compete for the places of its service
  [[nodiscard]] bool has_rivals() const;
  /// \returns whether the request may wait for a free place
  [[nodiscard]] bool may_wait() const noexcept { return competes_ && possible_runs_ == 0; }
  /// \returns what orders the request among those that wait for a place
  [[nodiscard]] queued_request queue_entry() const;
  /// \brief Waits for a free place, if the request may.
  /// \throws error when it is refused
  [[nodiscard]] place_waits::outcome await_place();
  [[noreturn]] void refuse_place(refusal_cause cause);
  /// \returns nothing when the request has been sent to every suitable endpoint
  /// \throws error when there is no suitable endpoint at all
  [[nodiscard]] std::optional<placement> choose_placement();
  /// \returns whether the request can be forwarded to other hosts, as no endpoint of this host's
  /// has received it
  [[nodiscard]] bool may_forward() const;
  /// \returns whether it can, and this host does not reach all endpoints of the service
  [[nodiscard]] bool lacks_paths() const;
  /// \brief Forwards the request to other hosts, one after the other, until one accepts it.
  [[nodiscard]] send_outcome forward();
  /// \returns the service, with the build where only one may serve the request
  [[nodiscard]] std::string forward_subject() const;
  [[nodiscard]] send_outcome forward_to(const forward_target& to);
  [[nodiscard]] send_outcome exchange_with_host(const forward_target& to,
                                                std::unique_ptr<connection> link);
  [[nodiscard]] connection_action end_forwarded(send_outcome end);
  /// \throws error when this host has another configuration than the one that forwarded the request
  void check_version(const config_ptr& in_force) const;
  /// \brief A send that has not ended, or one that another send has taken over.
  struct open_send {
    placement& place;
    time_ms began;
    connection* link{nullptr}; ///< null until it is connected
    std::size_t number{};      ///< of the send; 0 when the endpoint was not reached
    std::optional<content_run> run{};
    reply_progress progress{};
    bool stalled{false}; ///< its endpoint was silent for long while others were not
    bool ended{false};
    bool long_answer{false}; ///< its answer has shown that the parts of the prompt are harmless
    time_ms silent_since{};  ///< begin of the last silence of its endpoint
    std::optional<silence_decision> noted{}; ///< last decision on that silence
    std::optional<time_ms> others_back{};    ///< since when others go on that were silent as well
  };

  /// \returns how the request ended, if another send that was begun meanwhile has concluded it
  [[nodiscard]] send_outcome send_once(placement& place);
  [[nodiscard]] send_outcome send_to(open_send& one);
  [[nodiscard]] send_outcome exchange(open_send& one, std::unique_ptr<connection> link);
  void end_send(open_send& one, send_outcome end);
  void note_written(open_send& one);
  /// \brief Lets bytes of the sends that wait for silent endpoints end the waits of the last one.
  void watch_other_sends();
  /// \brief Ends the sends that wait for silent endpoints, as the last one has yielded something or
  /// has run beside them for as long as two may.
  void end_other_sends();
  /// \returns the time until it is to be called again; nothing when the request has concluded
  [[nodiscard]] std::optional<time_ms> consider_silence(open_send& one,
                                                        const endpoint_silence& silence);
  /// \returns an endpoint for a second send, with a retry taken from the budget
  /// \param decision  set to why there is none
  [[nodiscard]] std::optional<placement> place_beside(const service_activity& others,
                                                      silence_decision& decision);
  /// \returns whether the first send goes on
  [[nodiscard]] bool send_beside(open_send& one, placement& place);
  /// \returns whether others that were silent as well went on only a moment ago
  [[nodiscard]] bool others_just_back(const open_send& one) const noexcept;
  void note_silence(open_send& one, silence_decision decision, time_ms silent_for,
                    const service_activity& others);
  [[nodiscard]] connect_result open_connection(placement& place);
  /// \param why  the status of the failed connect
  [[nodiscard]] send_outcome connect_failure(io_status why) noexcept;
  /// \brief Chooses an endpoint, at a brittle one with its arbiter's grant.
  /// \param avoid  incarnations of endpoints that are not chosen
  [[nodiscard]] std::optional<placement> find_placement(std::vector<endpoint_hash> avoid);
  /// \returns nothing when the arbiter of the endpoint grants the request
  [[nodiscard]] std::optional<time_ms> ask_for_room(const placement& place);
  void end_grant(const placement& place, send_outcome end);
  /// \brief Records that an endpoint has refused the request unrun.
  void note_refused(const placement& place);
  [[nodiscard]] connection_action note_answered();
  [[nodiscard]] connection_action give_up(send_outcome end);
  /// \returns the `Retry-After` of a request for which no endpoint has room
  [[nodiscard]] time_ms full_retry_after();
  /// \brief Forwards the error response of the last endpoint.
  [[nodiscard]] connection_action deliver_error(std::string_view reason);
  [[nodiscard]] connection_action refuse(const error& reason);
  [[nodiscard]] bool ends_connection() const noexcept;
  [[nodiscard]] connection_action done() const noexcept;
  [[nodiscard]] send_progress progress() const;
  /// \returns the tokens used of the team's budget
  [[nodiscard]] std::uint64_t used() const noexcept;
  [[nodiscard]] time_ms now() const noexcept { return relay_.parts_.time.now(); }
  void log_end(int status, std::string_view reason);

  request_relay& relay_;
  incoming_request& in_;
  caller_watch watch_;
  caller_answer answer_;
  request_records records_;
  admitted_request admitted_;
  std::uint64_t reserved_{0};
  bool competes_{false}; ///< may wait for a place, and its durations are recorded
  bool on_trial_{false}; ///< is sent once though a part of its prompt is refused
  std::vector<endpoint_id> sent_to_;
  std::vector<endpoint_hash> avoid_; ///< incarnations that the request was sent to
  std::optional<build_hash> build_;  ///< of the stream, once it has begun
  std::vector<open_send*> open_sends_;
  std::optional<send_outcome> concluded_; ///< how a later send ended that took over from others
  int unreachable_{0};
  int possible_runs_{0};           ///< sends that were run, at least in part, or may have been
  bool error_kept_{false};         ///< the answer holds the error of an endpoint
  bool refused_by_brittle_{false}; ///< no other brittle endpoint is to refuse it as well
  bool refused_by_host_{false};    ///< the answer holds the refusal of another host
  bool last_on_connection_{false}; ///< the caller should connect to another host
  bool announced_close_{false};    ///< the refusal contains `Connection: close`
};

} // namespace sedgechute
