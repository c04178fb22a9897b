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
  /// The key was minted for this request just now and nobody else knows it, so that a refusal can
  /// say `not run` even when the holder can't be reached.
  bool fresh{};
};

/// \brief Run it: dispatch once, then report by one of the `finish` calls.
struct proceed_decision {
  std::uint64_t epoch{};
  std::uint32_t attempt{};
  bool may_have_run{};         ///< an earlier attempt may have run: no refusal may say `not run`
  bool resume_only{};          ///< take up the engine's stream; never start the request anew
  endpoint_id endpoint;        ///< of an earlier attempt, empty if not known
  std::uint64_t position{};    ///< tokens that the earlier attempt passed on
  std::uint32_t run_attempt{}; ///< attempt under which that endpoint knows the run

  bool operator==(const proceed_decision&) const = default;
};

/// \brief Another host runs it: join its attempt there.
struct join_decision {
  incarnation host;

  bool operator==(const join_decision&) const = default;
};

/// \brief It was answered before.
struct retained_decision {
  retained_answer answer;

  bool operator==(const retained_decision&) const = default;
};

/// \brief Tell the caller so.
struct refuse_decision {
  error_kind kind{error_kind::outcome_unknown};

  bool operator==(const refuse_decision&) const = default;
};

struct claim_decision {
  std::uint64_t ticket{};
  std::variant<proceed_decision, join_decision, retained_decision, refuse_decision> body;

  bool operator==(const claim_decision&) const = default;
};

/// \brief How a key stands, as far as this host knows without asking.
struct claim_description {
  bool known{};
  request_state state{request_state::accepted};
  std::uint32_t attempt{};
  incarnation entry;
  bool answer_retained{};
  incarnation holder; ///< who decides for the key; an empty host if nobody does
  incarnation witness;
  std::uint64_t epoch{};
};

} // namespace sedgechute
