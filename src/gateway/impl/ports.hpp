#pragma once

#include "gateway/impl/engine_chunk.hpp"
#include "kernel/kernel.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief What a caller presents.
struct access_request {
  std::string bearer;
  std::string class_name; ///< empty asks for the contract's default
  model_id model;         ///< of a chat request
  std::string service;    ///< of a call to a plain service
  std::string method;     ///< of a call to a plain service
};

/// \brief What the contract in force grants it.
struct access_grant {
  team_id team;
  std::uint64_t contract_revision{};
  std::string class_name;
  int priority{5};
  time_ms deadline{};
  time_ms first_token_objective{};
  double objective{0.99}; ///< part of the class's requests that must meet it
  pool_id pool;
  std::uint64_t max_output_tokens{};
  bool idempotent_by_default{true};
  std::uint64_t tokens_per_call{0}; ///< price of a call to a plain service
  time_ms answer_timeout{30000};    ///< longest silence of a plain service
};

/// \brief Contracts and fleet settings, as far as a request needs them.
/// \brief A request's end, for logs, metrics and the account of what the host did.
struct ended_request {
  request_id id;
  std::string key;
  team_id team;
  std::string class_name;
  pool_id pool;
  endpoint_id endpoint;
  int attempts{};
  std::optional<error_kind> refused; ///< nothing when answered
  std::string reason;
  std::uint64_t tokens_billed{};
  std::optional<time_ms> first_token; ///< from acceptance
  time_ms objective;                  ///< for the first token; 0 without one
  double objective_share{0.99};       ///< part of the class's requests that must meet it
  time_ms total{};
};

class access_port {
 public:
  access_port() = default;
  access_port(const access_port&) = delete;
  access_port& operator=(const access_port&) = delete;
  virtual ~access_port() = default;

  /// \throws error `unauthenticated`
  [[nodiscard]] virtual team_id authenticate(const std::string& bearer) = 0;

  /// \throws error `unauthenticated`, `forbidden`, `unknown_model` or `unknown_service`
  [[nodiscard]] virtual access_grant admit(const access_request& request) = 0;

  /// \returns models that the team of `bearer` may use.
  /// \throws error `unauthenticated`
  [[nodiscard]] virtual std::vector<model_id> models(const std::string& bearer) = 0;
};

/// \brief What the rest of the host tells the callers' side, and is told by it.
class host_port {
 public:
  host_port() = default;
  host_port(const host_port&) = delete;
  host_port& operator=(const host_port&) = delete;
  virtual ~host_port() = default;

  /// \returns why the balancer should send nothing here; empty when it may.
  [[nodiscard]] virtual std::string not_ready_reason() = 0;
  /// \brief Counts a request in; a stop waits for those that are in.
  /// \throws error `not_ready`, or `stopping` once the host takes no new work
  virtual void enter() = 0;
  virtual void leave() noexcept = 0;
  [[nodiscard]] virtual std::string metrics_text() = 0;
  [[nodiscard]] virtual request_id new_request_id() = 0;
  virtual void request_ended(const ended_request& ended) = 0;
  virtual void note_internal_error(const std::string& what) noexcept = 0;
};

/// \brief Tokens set aside for one request.
struct token_reservation {
  std::uint64_t number{};
  team_id team;
  std::uint64_t bound{};
};

class budget_port {
 public:
  budget_port() = default;
  budget_port(const budget_port&) = delete;
  budget_port& operator=(const budget_port&) = delete;
  virtual ~budget_port() = default;

  /// \brief Sets `bound` tokens aside. Attempts under the same key share one reservation.
  /// \throws error `budget_exhausted` or `budget_unreachable`
  [[nodiscard]] virtual token_reservation reserve(const team_id& team, const std::string& key,
                                                  std::uint64_t bound) = 0;

  /// \brief Bills `used` tokens, once, and gives the rest back.
  virtual void settle(const token_reservation& reservation, std::uint64_t used) = 0;

  /// \returns what is left of the team's budget as far as this host knows.
  [[nodiscard]] virtual std::uint64_t remaining(const team_id& team) = 0;
};

/// \brief One attempt's place on an endpoint.
struct dispatch_turn {
  std::uint64_t number{};
  endpoint_id endpoint;
  std::string address;
};

struct dispatch_request {
  access_grant grant;
  model_id model;
  std::uint64_t prompt_bytes{};
  std::uint64_t output_bound{}; ///< most tokens that the answer may have
  std::uint64_t fingerprint{};
  std::vector<std::uint64_t> prefix_blocks;
  std::vector<endpoint_id> avoid; ///< endpoints that failed this request
  time_ms accepted;
};

enum class turn_outcome {
  answered,    ///< a whole answer came
  not_run,     ///< the endpoint never ran it
  failed,      ///< the endpoint broke off the run, or says that it has none
  lost,        ///< the same, and a new connection found no endpoint
  caller_left, ///< we cancelled it
};

template <>
struct enum_names<turn_outcome> {
  static constexpr auto entries =
      enum_table<turn_outcome>({{turn_outcome::answered, "answered"},
                                {turn_outcome::not_run, "not_run"},
                                {turn_outcome::failed, "failed"},
                                {turn_outcome::lost, "lost"},
                                {turn_outcome::caller_left, "caller_left"}});
};

struct turn_report {
  turn_outcome outcome{};
  token_usage usage;
  std::optional<time_ms> first_token; ///< from dispatch
};

/// \brief Queues, limits, choice of endpoint and retry budget.
class dispatch_port {
 public:
  dispatch_port() = default;
  dispatch_port(const dispatch_port&) = delete;
  dispatch_port& operator=(const dispatch_port&) = delete;
  virtual ~dispatch_port() = default;

  /// \brief Waits for the request's turn.
  /// \param abandoned  asked now and then while waiting; true ends the wait
  /// \throws error `rate_limited`, `concurrency_limited`, `queue_full`, `deadline_unreachable`,
  /// `no_capacity`, `quarantined`, or `caller_gone` when abandoned
  [[nodiscard]] virtual dispatch_turn acquire(const dispatch_request& request,
                                              const std::function<bool()>& abandoned) = 0;

  /// \brief Ends the turn and says how it went.
  virtual void release(const dispatch_turn& turn, const dispatch_request& request,
                       const turn_report& report) = 0;

  /// \returns how long to wait before another attempt; nothing when the retry budget is spent.
  [[nodiscard]] virtual std::optional<time_ms> retry_after_failure(const dispatch_request& request,
                                                                   int attempts) = 0;
};

/// \brief Answers that other hosts are giving or have retained.
class answer_sink;
enum class follow_end { answered, refused, unreachable };

class peer_answers_port {
 public:
  peer_answers_port() = default;
  peer_answers_port(const peer_answers_port&) = delete;
  peer_answers_port& operator=(const peer_answers_port&) = delete;
  virtual ~peer_answers_port() = default;

  /// \brief Relays the answer under a key from the host that gives it, from its first event.
  /// `unreachable` tells that nothing final was passed to the sink.
  [[nodiscard]] virtual follow_end follow(const host_id& host, const team_id& team,
                                          const std::string& key, answer_sink& sink) = 0;
};

struct key_request {
  team_id team;
  std::string key;
  std::uint64_t fingerprint{}; ///< of what is asked for
  bool idempotent{};
};

enum class key_action {
  proceed, ///< this host runs the request
  follow,  ///< an attempt runs on the host named
  replay,  ///< it was answered: the answer is `answer`
  refuse,  ///< the decision is `kind`
};

/// \brief A complete answer as it is kept for retries.
struct kept_answer {
  endpoint_id endpoint;
  int status{};
  std::string content_type;
  std::string body;
};

/// \brief Where an earlier attempt may still be running.
struct earlier_run {
  endpoint_id endpoint;
  std::string address;
  request_id id;
};

struct key_decision {
  key_action action{};
  std::uint64_t ticket{}; ///< when proceeding
  request_id run;         ///< id under which endpoints shall know this attempt
  bool may_have_run{};    ///< an earlier attempt may have run
  bool resume_only{};     ///< take the earlier run up; never start the request anew
  std::optional<earlier_run> earlier;
  std::uint32_t run_attempt{}; ///< attempt that started the earlier run
  host_id host;                ///< where to follow
  kept_answer answer;
  error_kind kind{};
};

/// \brief What became of a key.
struct key_status {
  std::string state;   ///< empty when nothing is known
  std::string outcome; ///< `not_run`, `outcome_unknown`, `answered` or `running`
  host_id host;
  request_id run;
};

/// \brief Idempotency keys: who runs a request, once.
class claim_port {
 public:
  claim_port() = default;
  claim_port(const claim_port&) = delete;
  claim_port& operator=(const claim_port&) = delete;
  virtual ~claim_port() = default;

  /// \brief Asks for the right to run; waits for the decision.
  [[nodiscard]] virtual key_decision begin(const key_request& request) = 0;
  /// \brief Notes where the run will be; to be called before the endpoint is asked.
  virtual void dispatching(std::uint64_t ticket, const endpoint_id& endpoint) = 0;
  /// \brief Notes that the run of an earlier attempt is taken up where it is.
  virtual void resuming([[maybe_unused]] std::uint64_t ticket,
                        [[maybe_unused]] const endpoint_id& endpoint,
                        [[maybe_unused]] std::uint32_t run_attempt) {}
  virtual void answered(std::uint64_t ticket, const kept_answer& answer) = 0;
  /// \brief Nothing was dispatched, for the reason `kind`; waits until that is settled.
  /// \returns what the caller may be told: `kind`, or `outcome_unknown`
  [[nodiscard]] virtual error_kind refused(std::uint64_t ticket, error_kind kind) = 0;
  /// \brief The request was dispatched and its outcome is not known.
  virtual void unknown(std::uint64_t ticket) = 0;
  /// \returns a key that this data centre decides for; empty while it cannot.
  [[nodiscard]] virtual std::string mint() = 0;
  /// \returns what is known of a key here or at whoever decides for it.
  [[nodiscard]] virtual key_status look_up(const team_id& team, const std::string& key) = 0;
};

} // namespace sedgechute
