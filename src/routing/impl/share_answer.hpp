#pragma once

#include "routing/impl/share_plan.hpp"

#include <absl/container/flat_hash_map.h>

namespace sedgechute {

/// \brief Divides the sum of all hosts' reports once and answers each host for the teams that it
/// named.
///
/// An answer is as long as the report that it answers, regardless of the number of teams in the
/// fleet, and yields the same plan as the whole sum.
class share_answers {
 public:
  share_answers(share_report all, const share_policy& policy);

  /// \param asked  a host's report that is included in the sum
  [[nodiscard]] share_report answer_to(const share_report& asked) const;

 private:
  share_report all_;
  std::vector<team_grant> grants_;
  absl::flat_hash_map<team_id, std::size_t> places_;
  share_report unnamed_answer_; ///< the answer to a report without teams
};

} // namespace sedgechute
