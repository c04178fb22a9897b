#pragma once

#include "kernel/impl/enum_names.hpp"
#include "kernel/impl/time_ms.hpp"

#include <optional>
#include <stdexcept>
#include <string>

namespace sedgechute {

/// \brief Every way in which a request, a publish or a start can fail. The list is closed: a new
/// failure is added here and in the table of answers, never invented at the place of failure.
enum class error_kind {
  malformed_request,
  malformed_json,
  bad_encoding,
  payload_too_large,
  slow_caller,
  unauthenticated,
  forbidden,
  unknown_path,
  method_not_allowed,
  unknown_model,
  unknown_service,
  invalid_parameter,
  budget_exhausted,
  budget_unreachable,
  rate_limited,
  concurrency_limited,
  queue_full,
  deadline_unreachable,
  no_capacity,
  quarantined,
  key_reused,
  key_in_progress,
  key_unknown,
  outcome_unknown,
  answer_not_kept,
  endpoint_failed,
  stream_cut,
  build_gone,
  not_ready,
  stopping,
  caller_gone,
  log_unavailable,
  publish_conflict,
  invalid_document,
  invalid_settings,
  internal
};

/// \brief What a refusal says about the caller's request.
enum class run_outcome {
  not_run, ///< no attempt under this request or key ran or still can
  unknown, ///< an attempt may have run
  partial, ///< an attempt ran and part of its answer was delivered
  ran,     ///< an attempt ran to its end
};

/// \brief How an error kind is answered.
struct error_answer {
  int http_status;
  run_outcome outcome;
  bool retryable;      ///< the same request may succeed later
  time_ms retry_after; ///< least wait to suggest when retryable
  std::string_view meaning;
};

/// \returns the one table's row for `kind`.
[[nodiscard]] const error_answer& answer_for(error_kind kind) noexcept;

/// \brief An error that says what failed, where and why.
class error : public std::runtime_error {
 public:
  /// \param where  the thing concerned: a file and pointer, a header, a team, an endpoint
  /// \param why    the reason, in words for the reader of the message
  /// \param retry_after  least wait to suggest, where the place of failure knows better than the
  /// table
  error(error_kind kind, std::string where, std::string why,
        std::optional<time_ms> retry_after = std::nullopt);

  [[nodiscard]] error_kind kind() const noexcept { return kind_; }
  [[nodiscard]] const std::string& where() const noexcept { return where_; }
  [[nodiscard]] const std::string& why() const noexcept { return why_; }
  [[nodiscard]] std::optional<time_ms> retry_after() const noexcept { return retry_after_; }

 private:
  error_kind kind_;
  std::string where_;
  std::string why_;
  std::optional<time_ms> retry_after_;
};

template <>
struct enum_names<run_outcome> {
  static constexpr auto entries =
      enum_table<run_outcome>({{run_outcome::not_run, "not_run"},
                               {run_outcome::unknown, "outcome_unknown"},
                               {run_outcome::partial, "partial"},
                               {run_outcome::ran, "ran"}});
};

template <>
struct enum_names<error_kind> {
  static constexpr auto entries =
      enum_table<error_kind>({{error_kind::malformed_request, "malformed_request"},
                              {error_kind::malformed_json, "malformed_json"},
                              {error_kind::bad_encoding, "bad_encoding"},
                              {error_kind::payload_too_large, "payload_too_large"},
                              {error_kind::slow_caller, "slow_caller"},
                              {error_kind::unauthenticated, "unauthenticated"},
                              {error_kind::forbidden, "forbidden"},
                              {error_kind::unknown_path, "unknown_path"},
                              {error_kind::method_not_allowed, "method_not_allowed"},
                              {error_kind::unknown_model, "unknown_model"},
                              {error_kind::unknown_service, "unknown_service"},
                              {error_kind::invalid_parameter, "invalid_parameter"},
                              {error_kind::budget_exhausted, "budget_exhausted"},
                              {error_kind::budget_unreachable, "budget_unreachable"},
                              {error_kind::rate_limited, "rate_limited"},
                              {error_kind::concurrency_limited, "concurrency_limited"},
                              {error_kind::queue_full, "queue_full"},
                              {error_kind::deadline_unreachable, "deadline_unreachable"},
                              {error_kind::no_capacity, "no_capacity"},
                              {error_kind::quarantined, "quarantined"},
                              {error_kind::key_reused, "key_reused"},
                              {error_kind::key_in_progress, "key_in_progress"},
                              {error_kind::key_unknown, "key_unknown"},
                              {error_kind::outcome_unknown, "outcome_unknown"},
                              {error_kind::answer_not_kept, "answer_not_kept"},
                              {error_kind::endpoint_failed, "endpoint_failed"},
                              {error_kind::stream_cut, "stream_cut"},
                              {error_kind::build_gone, "build_gone"},
                              {error_kind::not_ready, "not_ready"},
                              {error_kind::stopping, "stopping"},
                              {error_kind::caller_gone, "caller_gone"},
                              {error_kind::log_unavailable, "log_unavailable"},
                              {error_kind::publish_conflict, "publish_conflict"},
                              {error_kind::invalid_document, "invalid_document"},
                              {error_kind::invalid_settings, "invalid_settings"},
                              {error_kind::internal, "internal"}});
};

} // namespace sedgechute
