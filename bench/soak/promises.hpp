#pragma once

#include "observations.hpp"

#include <map>
#include <ostream>
#include <span>
#include <string>
#include <vector>

namespace sedgechute::soak {

/// \brief Bounds of the promises, as the platform states them, and of this soak's settings.
struct promised_bounds {
  time_ms stable{3000};         ///< so long a host must be undisturbed to be held to a bound
  time_ms propagation{2000};    ///< a configuration is in force so long after its acknowledgement
  time_ms downgrade_slack{250}; ///< no older version so long after a newer one showed
  time_ms drain{2000};          ///< an endpoint that leaves gets requests no longer than this
  time_ms route_timeout{2000};
  time_ms answer_slack{500};      ///< beyond the route's time-out
  time_ms deadline_slack{500};    ///< beyond the caller's own deadline
  time_ms left_slack{500};        ///< after a caller has left
  time_ms loss_slack{200};        ///< within which an unread request may be cut by a planned stop
  time_ms not_ready_within{1000}; ///< of the signal to stop
  double retry_ratio{0.2};
  std::uint64_t retry_slack{50};
  time_ms retry_window{10000};
  std::size_t crashes{3};      ///< after which a request must not reach further endpoints
  std::size_t part_crashes{5}; ///< the same for requests with one part in their prompts
  std::size_t late_crashes{3}; ///< that are allowed later than `stable` after them
  time_ms limit_window{4000};
  double limit_overage{1.5};      ///< part of an endpoint's limit that it may get in that window
  double limit_slack{5};          ///< requests beyond it
  time_ms pause_slack{500};       ///< within which requests on their way reach a pausing endpoint
  std::size_t pause_arrivals{2};  ///< that are allowed after it
  time_ms leaving_bound{2000};    ///< for requests after an endpoint has said that it leaves
  std::size_t brittle_falls{2};   ///< of the endpoints of a service, while they are brittle
  double brittle_falls_part{0.1}; ///< of their number, beyond that
  double served_part{2.0 / 3};    ///< of what other hosts serve, while a host reaches no endpoint
  double failed_slack{10};        ///< requests of such hosts that may fail beyond that
  double failed_part{0.02};       ///< and a part of all requests
  std::size_t resumes{12};        ///< of streams, from which on the share that goes on counts
  double resumed_part{0.5};       ///< of the share of new streams that begin
  std::size_t few{3};             ///< so many requests of one kind may miss a promise about timing
};

/// \brief Looks through everything that was seen for what broke one promise.
using promise_check = std::vector<std::string> (*)(const observations& seen,
                                                   const promised_bounds& bounds);

struct promise {
  std::string_view name;
  promise_check check;
};

[[nodiscard]] std::span<const promise> promises() noexcept;

/// \returns what was broken, each with the promise's name in front; empty when nothing was
[[nodiscard]] std::vector<std::string> broken_promises(const observations& seen,
                                                       const promised_bounds& bounds);
/// \brief A team's budget and its use at the end of what was seen.
struct team_balance {
  std::uint64_t prepaid{};
  std::uint64_t used{};
  std::uint64_t most_above{}; ///< tokens used above what was paid by then, after any step
};

[[nodiscard]] std::map<std::string, team_balance> balances_of(const observations& seen);

[[nodiscard]] std::string summary_of(const observations& seen);
/// \brief Writes what was seen, line by line in the order of time, as the hosts' logs tell it.
/// \param wall  time of day, less the time of the observations
void write_lines(const observations& seen, time_ms wall, std::ostream& out);

// Each accepted request has one whole answer or one true refusal.
[[nodiscard]] std::vector<std::string> check_answers(const observations& seen,
                                                     const promised_bounds& bounds);
// What endpoints run is what callers sent, at a service that the configuration names.
[[nodiscard]] std::vector<std::string> check_unchanged(const observations& seen,
                                                       const promised_bounds& bounds);
// What may not be repeated runs once; what may be, at no more endpoints than its route allows.
[[nodiscard]] std::vector<std::string> check_runs(const observations& seen,
                                                  const promised_bounds& bounds);
// Endpoints are given no more time than the caller has left.
[[nodiscard]] std::vector<std::string> check_deadlines(const observations& seen,
                                                       const promised_bounds& bounds);
// Nothing is sent for a caller that has left.
[[nodiscard]] std::vector<std::string> check_left(const observations& seen,
                                                  const promised_bounds& bounds);
// A request ends soon after the time-out of its route.
[[nodiscard]] std::vector<std::string> check_timeouts(const observations& seen,
                                                      const promised_bounds& bounds);
// No connection ends without an answer to a request that a sound endpoint has got; with only
// planned work, no request is lost at all.
[[nodiscard]] std::vector<std::string> check_lost(const observations& seen,
                                                  const promised_bounds& bounds);
// An answer that sound endpoints have begun does not end before its time because they are silent.
[[nodiscard]] std::vector<std::string> check_silence(const observations& seen,
                                                     const promised_bounds& bounds);
// No team uses more than it has paid for, at any step.
[[nodiscard]] std::vector<std::string> check_budgets(const observations& seen,
                                                     const promised_bounds& bounds);
// Repeated sends of all hosts together stay within their part of the requests.
[[nodiscard]] std::vector<std::string> check_retries(const observations& seen,
                                                     const promised_bounds& bounds);
// A configuration is in force in time, and no older one after it; nothing is denied that all allow.
[[nodiscard]] std::vector<std::string> check_configurations(const observations& seen,
                                                            const promised_bounds& bounds);
// An endpoint that leaves gets no new requests.
[[nodiscard]] std::vector<std::string> check_draining(const observations& seen,
                                                      const promised_bounds& bounds);
// Requests that crash endpoints are held back by all hosts, and no others are.
[[nodiscard]] std::vector<std::string> check_crashes(const observations& seen,
                                                     const promised_bounds& bounds);
// Endpoints that name a limit get no more than it allows, from all hosts together.
[[nodiscard]] std::vector<std::string> check_limits(const observations& seen,
                                                    const promised_bounds& bounds);
// Brittle endpoints are not made to end by refusals.
[[nodiscard]] std::vector<std::string> check_brittle(const observations& seen,
                                                     const promised_bounds& bounds);
// A host sends nothing to an endpoint that has asked it for a pause, until its end.
[[nodiscard]] std::vector<std::string> check_pauses(const observations& seen,
                                                    const promised_bounds& bounds);
// A host sends nothing to an endpoint for long after it has said that it leaves.
[[nodiscard]] std::vector<std::string> check_leaving(const observations& seen,
                                                     const promised_bounds& bounds);
// Hosts that reach no endpoint serve about as much as others.
[[nodiscard]] std::vector<std::string> check_cut_off(const observations& seen,
                                                     const promised_bounds& bounds);
// A stream holds events of one build, and about as many go on as new ones begin.
[[nodiscard]] std::vector<std::string> check_builds(const observations& seen,
                                                    const promised_bounds& bounds);
// A host ends when it is told to, in its grace, without an error; until then it is not ready.
[[nodiscard]] std::vector<std::string> check_stops(const observations& seen,
                                                   const promised_bounds& bounds);

} // namespace sedgechute::soak
