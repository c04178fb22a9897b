#pragma once

#include "observations.hpp"
#include "received_answer.hpp"
#include "relay/relay.hpp"
#include "soak_endpoints.hpp"
#include "soak_hosts.hpp"
#include "soak_operator.hpp"
#include "soak_shape.hpp"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sedgechute::soak {

/// \brief Callers of all hosts, each on a thread of its own.
class soak_callers {
 public:
  soak_callers(const soak_shape& shape, const soak_hosts& hosts, const soak_endpoints& endpoints,
               const soak_operator& versions, recorder& seen, const clock& time,
               std::uint64_t seed);
  soak_callers(const soak_callers&) = delete;
  soak_callers& operator=(const soak_callers&) = delete;
  ~soak_callers();

  /// \brief From now on all callers use tokens of the first team.
  void spend_first_team() noexcept { spending_ = true; }
  /// \brief From now on callers take up streams that were broken off, at any host.
  void take_up_streams() noexcept { resuming_ = true; }
  /// \brief A caller sends one content again and again that crashes the endpoints that run it.
  void send_poison(std::uint64_t number, time_ms until);
  /// \brief A caller sends requests with one part in their prompts that crashes endpoints.
  void send_poison_part(std::uint64_t number, time_ms until);
  void stop();
  /// \returns the part of ordinary requests that are served now, tried for `tries` of each kind
  [[nodiscard]] double served_now(int tries);

 private:
  struct kept_connection {
    std::unique_ptr<connection> link;
    int life{}; ///< of the host's process
    bool used{false};
  };
  /// One caller: it keeps a connection to each host for as long as that lasts.
  struct caller {
    explicit caller(std::uint64_t seed) : random{seed} {}
    random_source random;
    std::vector<kept_connection> kept; ///< by host
  };
  /// A content that crashes the endpoints that run it.
  struct poison_content {
    std::uint64_t number{};
    call_kind kind{};
    bool by_part{}; ///< a part of the prompt is the cause, and no two requests are alike
  };
  /// What a caller is about to send.
  struct call_plan {
    sent_request request;
    std::string text;
    bool leaves{false}; ///< before the answer
  };

  void call_forever(std::uint64_t seed);
  void call_with_poison(caller& by, const poison_content& content, time_ms until);
  /// \param ordinary  kind of a request that every version allows and whose caller waits; none: any
  [[nodiscard]] call_plan plan(caller& by, std::optional<call_kind> ordinary);
  /// \returns the status of a whole answer, 0 without one
  int call(caller& by, std::optional<call_kind> ordinary);
  int call(caller& by, call_plan plan);
  /// \returns the next attempt for a stream that was broken off; nothing when it is not taken up
  [[nodiscard]] std::optional<call_plan> resume_plan(caller& by, const sent_request& broken,
                                                     const outcome& got);
  /// \brief Makes a planned request ask for a content that crashes endpoints.
  static void poison(call_plan& plan, const poison_content& content, caller& by);
  /// \brief Takes the connection to use, new or kept.
  /// \returns whether there is one
  [[nodiscard]] bool connect(caller& by, std::size_t host, outcome& got);
  /// \brief Sends a request and reads its answer as far as it comes.
  [[nodiscard]] std::optional<received_answer> exchange(connection& link, const call_plan& plan);
  /// \brief Notes the events that have come since the last look.
  void note_delivered(const sent_request& of, const received_answer& answer, int& counted);

  soak_shape shape_;
  const soak_hosts& hosts_;
  const soak_endpoints& endpoints_;
  const soak_operator& versions_;
  recorder& seen_;
  const clock& time_;
  std::uint64_t seed_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> spending_{false};
  std::atomic<bool> resuming_{false};
  std::atomic<std::uint64_t> attempts_{0};
  std::vector<std::thread> threads_;
};

} // namespace sedgechute::soak
