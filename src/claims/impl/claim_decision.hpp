#pragma once

#include "claims/impl/answer_store.hpp"

#include <variant>

namespace sedgechute {

/// \brief A request that needs a claim before it may be dispatched.
struct claimed_request {
  team_id team;
  std::string key;
  std::uint64_t fingerprint{}; ///< stable hash of method, path and body
  bool idempotent{};
  /// The key was minted for this request and no other request can use it yet, so a refusal may
  /// report `not run` even if the holder is unreachable.
  bool fresh{};
};

/// \brief The request may be dispatched once; a call of a `finish_...` function must follow.
struct proceed_decision {
  std::uint64_t epoch{};
  std::uint32_t attempt{};
  bool may_have_run{};      ///< an earlier attempt may have run, so no refusal may report `not run`
  bool resume_only{};       ///< only resume the engine's stream; never start the request again
  endpoint_id endpoint;     ///< endpoint of an earlier attempt, empty if unknown
  std::uint64_t position{}; ///< tokens that the earlier attempt sent to the caller
  std::uint32_t run_attempt{}; ///< attempt number under which that endpoint started the run

  bool operator==(const proceed_decision&) const = default;
};

/// \brief The request runs on `host`, whose attempt can be joined.
struct join_decision {
  incarnation host;

  bool operator==(const join_decision&) const = default;
};

/// \brief The request was answered before, and the answer is still stored.
struct retained_decision {
  retained_answer answer;

  bool operator==(const retained_decision&) const = default;
};

/// \brief The request must not run; `kind` is the error to return to the caller.
struct refuse_decision {
  error_kind kind{error_kind::outcome_unknown};

  bool operator==(const refuse_decision&) const = default;
};

/// \brief The outcome of a `begin` or `look_up` call.
struct claim_decision {
  std::uint64_t ticket{}; ///< as returned by the call
  std::variant<proceed_decision, join_decision, retained_decision, refuse_decision> body;

  bool operator==(const claim_decision&) const = default;
};

/// \brief The state of a key as known locally, without asking other hosts.
struct claim_description {
  bool known{};
  request_state state{request_state::accepted};
  std::uint32_t attempt{};
  incarnation entry;
  bool answer_retained{};
  incarnation holder; ///< host that decides for the key; `host` is empty if there is none
  incarnation witness;
  std::uint64_t epoch{};
};

} // namespace sedgechute
