#include "kernel/impl/error.hpp"

#include <array>
#include <utility>

namespace sedgechute {

namespace {

using enum error_kind;
using enum run_outcome;

constexpr time_ms never{0};
constexpr time_ms soon{1000};
constexpr time_ms later{5000};

// One row a kind, in the order of the enumeration; the static_assert below keeps them in step.
constexpr std::array answers{
    std::pair{malformed_request, error_answer{400, not_run, false, never,
                                              "the request is not valid HTTP for this path"}},
    std::pair{malformed_json, error_answer{400, not_run, false, never,
                                           "the body is not valid JSON of the expected shape"}},
    std::pair{bad_encoding,
              error_answer{400, not_run, false, never, "the body is not valid UTF-8"}},
    std::pair{payload_too_large, error_answer{413, not_run, false, never,
                                              "the body or a header is larger than allowed"}},
    std::pair{slow_caller,
              error_answer{408, not_run, true, soon, "the request did not arrive in time"}},
    std::pair{unauthenticated, error_answer{401, not_run, false, never, "no valid key was given"}},
    std::pair{forbidden,
              error_answer{403, not_run, false, never, "the contract does not allow this"}},
    std::pair{unknown_path,
              error_answer{404, not_run, false, never, "nothing is served at this path"}},
    std::pair{method_not_allowed,
              error_answer{405, not_run, false, never, "this path takes another method"}},
    std::pair{unknown_model, error_answer{404, not_run, false, never, "no pool serves this model"}},
    std::pair{unknown_service,
              error_answer{404, not_run, false, never, "no service has this name"}},
    std::pair{invalid_parameter,
              error_answer{400, not_run, false, never, "a parameter is out of range"}},
    std::pair{budget_exhausted,
              error_answer{402, not_run, false, never,
                           "the team's prepaid budget cannot cover this request"}},
    std::pair{budget_unreachable, error_answer{503, not_run, true, later,
                                               "the budget cannot be drawn on from here now"}},
    std::pair{rate_limited,
              error_answer{429, not_run, true, soon, "the team's rate limit is reached"}},
    std::pair{concurrency_limited,
              error_answer{429, not_run, true, soon, "the team's concurrency limit is reached"}},
    std::pair{queue_full, error_answer{429, not_run, true, soon, "the team's queue is full"}},
    std::pair{deadline_unreachable, error_answer{503, not_run, true, later,
                                                 "the request cannot start before its deadline"}},
    std::pair{no_capacity,
              error_answer{503, not_run, true, soon, "no endpoint can take the request now"}},
    std::pair{quarantined, error_answer{422, not_run, false, never,
                                        "this content ended the endpoints that ran it"}},
    std::pair{key_reused, error_answer{409, not_run, false, never,
                                       "the idempotency key belongs to another request body"}},
    std::pair{key_in_progress,
              error_answer{409, unknown, true, soon, "an attempt under this key is still running"}},
    std::pair{key_unknown,
              error_answer{404, unknown, false, never, "nothing is known of this key"}},
    std::pair{outcome_unknown, error_answer{504, unknown, false, never,
                                            "an attempt may have run; ask again under its key"}},
    std::pair{answer_not_kept,
              error_answer{410, ran, false, never,
                           "the request was answered once; its answer is no longer kept"}},
    std::pair{endpoint_failed, error_answer{502, unknown, true, soon,
                                            "the endpoint failed while it ran the request"}},
    std::pair{stream_cut, error_answer{502, partial, false, never,
                                       "the answer was cut and could not be resumed"}},
    std::pair{build_gone, error_answer{409, not_run, false, never,
                                       "the stream cannot go on; its build is gone or unknown"}},
    std::pair{not_ready, error_answer{503, not_run, true, soon, "this host is not ready yet"}},
    std::pair{stopping, error_answer{503, not_run, true, soon, "this host is stopping"}},
    std::pair{caller_gone,
              error_answer{499, partial, false, never, "the caller left before the end"}},
    std::pair{log_unavailable,
              error_answer{503, not_run, true, later, "the platform's log cannot be reached"}},
    std::pair{publish_conflict,
              error_answer{409, not_run, false, never, "another revision was published first"}},
    std::pair{invalid_document,
              error_answer{422, not_run, false, never, "the document is not valid"}},
    std::pair{invalid_settings,
              error_answer{500, not_run, false, never, "the host's settings are not valid"}},
    std::pair{internal,
              error_answer{500, unknown, true, soon, "an unexpected error inside the host"}},
};

consteval bool rows_match_names() {
  const auto& names = enum_names<error_kind>::entries;
  if (answers.size() != names.size())
    return false;
  for (std::size_t i = 0; i < answers.size(); ++i)
    if (answers[i].first != names[i].first || static_cast<std::size_t>(answers[i].first) != i)
      return false;
  return true;
}
static_assert(rows_match_names(), "each error kind needs one row, in order");

std::string message(error_kind kind, const std::string& where, const std::string& why) {
  std::string text{name_of(kind)};
  if (!where.empty())
    text += " at " + where;
  if (!why.empty())
    text += ": " + why;
  return text;
}

} // namespace

const error_answer& answer_for(error_kind kind) noexcept {
  return answers[static_cast<std::size_t>(kind)].second;
}

error::error(error_kind kind, std::string where, std::string why,
             std::optional<time_ms> retry_after)
    : std::runtime_error{message(kind, where, why)}, kind_{kind}, where_{std::move(where)},
      why_{std::move(why)}, retry_after_{retry_after} {}

} // namespace sedgechute
