#pragma once

#include "relay/impl/admitted_request.hpp"
#include "relay/impl/caller_answer.hpp"
#include "relay/impl/request_accounts.hpp"
#include "relay/impl/request_relay.hpp"
#include "relay/impl/send_rules.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace sedgechute {

/// \brief One request on its way: admitted, sent as often as allowed, and ended with one answer.
class request_run {
 public:
  request_run(request_relay& relay, incoming_request& in);
  request_run(const request_run&) = delete;
  request_run& operator=(const request_run&) = delete;
  ~request_run();

  [[nodiscard]] after_answer go();

 private:
  /// \throws error when more requests are open here than this host carries
  void check_room() const;
  /// \throws error when this host stops before the request can have come to its end
  void check_time_left() const;
  void check_processor();
  [[nodiscard]] after_answer run_sends();
  [[nodiscard]] bool may_send_again(send_outcome end);
  /// \returns nothing when it was sent to every endpoint that could take it
  /// \throws error when there is none at all
  [[nodiscard]] std::optional<placement> find_place();
  [[nodiscard]] send_outcome send_once(const placement& place);
  /// \param prompt_read  set to whether the endpoint has begun to answer
  [[nodiscard]] send_outcome send_to(const placement& place, bool& prompt_read);
  [[nodiscard]] send_outcome exchange(const placement& place, std::unique_ptr<connection> link,
                                      bool& prompt_read);
  [[nodiscard]] connect_result reach(const placement& place);
  /// \param why  there is none
  [[nodiscard]] send_outcome without_connection(io_status why) noexcept;
  [[nodiscard]] after_answer note_answered();
  [[nodiscard]] after_answer give_up(send_outcome end);
  /// \brief Passes on the error that the last endpoint answered.
  [[nodiscard]] after_answer deliver_error(std::string_view reason);
  [[nodiscard]] after_answer refuse(const error& reason);
  [[nodiscard]] bool ends_connection() const noexcept;
  [[nodiscard]] after_answer done() const noexcept;
  [[nodiscard]] send_progress progress() const noexcept;
  /// \returns of its team's budget
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
  std::vector<endpoint_id> sent_to_;
  std::vector<endpoint_hash> avoid_; ///< incarnations that it was sent to
  int unreachable_{0};
  bool may_have_run_{false};
  bool last_on_connection_{false}; ///< its caller had better go elsewhere
  bool told_end_{false};           ///< a refusal says that its connection ends
};

} // namespace sedgechute
